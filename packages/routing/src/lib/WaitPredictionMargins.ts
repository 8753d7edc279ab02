const START = 1.3;
const MIN = 1.1;
const MAX = 2.5;
/** Share of a new ratio above the margin; a wait that was too short a guess shows at once. */
const RISE = 0.5;
/** Share of a new ratio below the margin. */
const FALL = 0.03;
/** Predictions below this say nothing, in milliseconds. */
const MIN_PREDICTED_MS = 30;
const MAX_KEYS = 20_000;

/**
 * How much longer requests of a customer and class waited than was predicted, because others with
 * a better claim came after them.
 *
 * @public
 */
export class WaitPredictionMargins {
  private readonly margins = new Map<string, number>();

  // Commands.

  /** Learns from a wait that ended, or from one that was given up. */
  record(key: string, predictedMs: number, waitedMs: number): void {
    if (predictedMs < MIN_PREDICTED_MS) return;
    const margin = this.read(key);
    const ratio = waitedMs / predictedMs;
    const gain = ratio > margin ? RISE : FALL;
    const next = margin + gain * (ratio - margin);
    if (this.margins.size >= MAX_KEYS) this.margins.clear();
    this.margins.set(key, Math.min(MAX, Math.max(MIN, next)));
  }

  // Queries.

  /** Reads the factor to be put on a predicted wait. */
  read(key: string): number {
    return this.margins.get(key) ?? START;
  }
}
