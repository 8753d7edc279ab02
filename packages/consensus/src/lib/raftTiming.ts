/** Intervals and timeouts of a group, in milliseconds. @public */
export interface RaftTiming {
  /** Interval between the heartbeats of a leader. */
  readonly heartbeatMs: number;
  /**
   * Shortest random election timeout. A member also refuses to vote for others for this long after
   * its last contact with a leader.
   */
  readonly electionMinMs: number;
  /** Longest random election timeout. A leader without a quorum for this long steps down. */
  readonly electionMaxMs: number;
  /**
   * Longest election timeout of a member that has had no contact with a leader since its start, so
   * that a group that restarts as a whole elects a leader soon. By default `electionMinMs` and
   * `electionMaxMs` apply from the start.
   */
  readonly startupElectionMaxMs?: number;
  /** Timeout of a vote, append or transfer request. */
  readonly requestTimeoutMs: number;
  /** Timeout of a snapshot request, which carries one chunk. */
  readonly chunkTimeoutMs: number;
  /** Time within which a new member must catch up, else adding it fails. Default: one minute. */
  readonly catchUpTimeoutMs?: number;
}

/** Default timing for members with a round trip of a few milliseconds. @public */
export const DEFAULT_RAFT_TIMING: RaftTiming = {
  heartbeatMs: 100,
  electionMinMs: 500,
  electionMaxMs: 1_000,
  requestTimeoutMs: 400,
  chunkTimeoutMs: 2_000,
};
