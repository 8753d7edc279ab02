/** Times that govern a group, in milliseconds. @public */
export interface RaftTiming {
  /** Time between a leader's heartbeats. */
  readonly heartbeatMs: number;
  /** Silence after which a voter may stand for election, and within which it refuses its vote. */
  readonly electionMinMs: number;
  /** Longest random election timeout, and the time after which a leader without a quorum stops. */
  readonly electionMaxMs: number;
  /**
   * Longest election timeout of a member that has heard no leader since its start, so that a group
   * that restarts as a whole soon has one; absent: as at any other time.
   */
  readonly startupElectionMaxMs?: number;
  /** Time allowed for a vote or for entries. */
  readonly requestTimeoutMs: number;
  /** Time allowed for one chunk of a snapshot. */
  readonly chunkTimeoutMs: number;
  /** Time allowed for a new member to catch up before its addition fails; absent: a minute. */
  readonly catchUpTimeoutMs?: number;
}

/** Times for members a few milliseconds apart. @public */
export const DEFAULT_RAFT_TIMING: RaftTiming = {
  heartbeatMs: 100,
  electionMinMs: 500,
  electionMaxMs: 1_000,
  requestTimeoutMs: 400,
  chunkTimeoutMs: 2_000,
};
