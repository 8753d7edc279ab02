import type {RaftTiming} from '@sycamorehead/consensus';

/**
 * Raft timing for network latencies and disk syncs of a few milliseconds each.
 *
 * @internal
 */
export const FLEET_RAFT_TIMING: RaftTiming = {
  heartbeatMs: 100,
  electionMinMs: 500,
  electionMaxMs: 1_000,
  // Ten times the duration of a vote with its two syncs, so that split votes are rare.
  startupElectionMaxMs: 300,
  requestTimeoutMs: 400,
  chunkTimeoutMs: 1_000,
  catchUpTimeoutMs: 4_000,
};
