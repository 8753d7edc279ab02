/** Time limits on what an entry does for its callers, in milliseconds. @public */
export interface EntryTimeouts {
  /** Limit on the time from the arrival of a model request to the end of its answer. */
  readonly answerMs: number;
  /** Maximum time for which a streaming caller may read nothing of its answer. */
  readonly callerStallMs: number;
  /** Maximum time for which a complete answer waits for its bill to be recorded. */
  readonly commitWaitMs: number;
}

/** The timeouts used if the settings specify none. @public */
export const DEFAULT_ENTRY_TIMEOUTS: EntryTimeouts = {
  answerMs: 120_000,
  callerStallMs: 30_000,
  commitWaitMs: 10_000,
};
