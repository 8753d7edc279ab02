/** Faults that a stand-in engine can be told to show. @public */
export interface EngineFaults {
  /** Factor on the time of each step; 1 is healthy. */
  slowFactor: number;
  /** Resets the connection after this many tokens. */
  resetAfterTokens?: number;
  /** Ends the stream without its terminal frame after this many tokens. */
  truncateAfterTokens?: number;
  /** Goes silent for good after this many tokens, connection open. */
  silentAfterTokens?: number;
  /** Age of the figures in the load report, in milliseconds. */
  reportLagMs: number;
  /** Refuses new work with 503 and `"ran":"no"`. */
  refuses: boolean;
  /** Begins ordered loads, but never finishes one. */
  loadsNeverFinish?: boolean;
  /** Ignores priorities. */
  ignoresPriority: boolean;
}

/** An engine without faults. @public */
export const NO_FAULTS: EngineFaults = {
  slowFactor: 1,
  reportLagMs: 200,
  refuses: false,
  ignoresPriority: false,
};
