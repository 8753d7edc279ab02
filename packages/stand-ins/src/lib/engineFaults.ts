/** Faults that a stand-in engine can inject. @public */
export interface EngineFaults {
  /** Factor by which the duration of each step is multiplied; 1 is healthy. */
  slowFactor: number;
  /** Number of tokens after which the connection is reset. */
  resetAfterTokens?: number;
  /** Number of tokens after which the stream ends without its terminal frame. */
  truncateAfterTokens?: number;
  /** Number of tokens after which nothing more is sent while the connection remains open. */
  silentAfterTokens?: number;
  /** Delay of the figures in the load report, in milliseconds. */
  reportLagMs: number;
  /** Whether new requests are refused with 503 and `"ran":"no"`. */
  refuses: boolean;
  /** Whether ordered loads start but never finish. */
  loadsNeverFinish?: boolean;
  /** Whether priorities are ignored. */
  ignoresPriority: boolean;
}

/** The settings of a healthy engine. @public */
export const NO_FAULTS: EngineFaults = {
  slowFactor: 1,
  reportLagMs: 200,
  refuses: false,
  ignoresPriority: false,
};
