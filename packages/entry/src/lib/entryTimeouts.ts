/** Time limits on what an entry does for its callers, in milliseconds. @public */
export interface EntryTimeouts {
  /** From a model request's arrival to its whole answer. */
  readonly answerMs: number;
  /** For which a streaming caller may take nothing of its answer. */
  readonly callerStallMs: number;
  /** For which a ready answer waits until its bill is recorded. */
  readonly commitWaitMs: number;
}

/** Limits used where the settings give none. @public */
export const DEFAULT_ENTRY_TIMEOUTS: EntryTimeouts = {
  answerMs: 120_000,
  callerStallMs: 30_000,
  commitWaitMs: 10_000,
};
