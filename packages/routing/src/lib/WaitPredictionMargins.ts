const INITIAL_MARGIN = 1.3;
const MIN_MARGIN = 1.1;
const MAX_MARGIN = 2.5;
/**
 * Gain for a ratio above the margin; it is high so that an underestimated wait takes effect
 * immediately.
 */
const RISE_GAIN = 0.5;
/** Gain for a ratio below the margin. */
const FALL_GAIN = 0.03;
/** Predictions below this are too short to learn from, in milliseconds. */
const MIN_PREDICTED_MS = 30;
const MAX_KEYS = 20_000;

/**
 * Learns by which factor the requests of a class wait longer than predicted, because later
 * requests with precedence are served before them.
 *
 * @public
 */
export class WaitPredictionMargins {
  private readonly margins = new Map<string, number>();

  // Commands.

  /** Learns from a wait that ended or was abandoned. */
  record(key: string, predictedMs: number, waitedMs: number): void {
    if (predictedMs < MIN_PREDICTED_MS) return;
    const margin = this.read(key);
    const ratio = waitedMs / predictedMs;
    const gain = ratio > margin ? RISE_GAIN : FALL_GAIN;
    const next = margin + gain * (ratio - margin);
    if (this.margins.size >= MAX_KEYS) this.margins.clear();
    this.margins.set(key, Math.min(MAX_MARGIN, Math.max(MIN_MARGIN, next)));
  }

  // Queries.

  /** Returns the factor by which a predicted wait is multiplied. */
  read(key: string): number {
    return this.margins.get(key) ?? INITIAL_MARGIN;
  }
}
