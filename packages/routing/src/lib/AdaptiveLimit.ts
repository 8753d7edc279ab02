import {SampleWindow} from './SampleWindow.js';

const SAMPLE_WINDOW = 32;
const MIN_SAMPLES = 8;
const UPDATE_INTERVAL_MS = 250;
const INITIAL_FACTOR = 1.25;
const MIN_FACTOR = 0.5;
const MAX_FACTOR = 1.5;
const INCREASE = 0.03;
const DECREASE_FACTOR = 0.93;
/**
 * First tokens are late if their median time exceeds this multiple of the best time plus
 * TOLERATED_MS.
 */
const TOLERATED_FACTOR = 4;
/** Constant part of the tolerated time to the first token, in milliseconds. */
const TOLERATED_MS = 20;
/**
 * Factor by which the remembered best time grows at each update, so that it follows lasting
 * changes.
 */
const BEST_TIME_GROWTH = 1.005;

/**
 * Limits the requests in flight per server slot. The limit rises by a constant while it restricts
 * admission and falls by a factor while first tokens are late, because requests then queue inside
 * the servers, where they can no longer be refused.
 *
 * @public
 */
export class AdaptiveLimit {
  private factor = INITIAL_FACTOR;
  private bestMs = Infinity;
  private samples = new SampleWindow(SAMPLE_WINDOW);
  private steppedAt = performance.now();

  // Commands.

  /** Records the time to the first token of a short request. */
  record(firstTokenMs: number): void {
    this.samples.add(firstTokenMs);
  }

  /**
   * Adapts the limit, at most once per interval. `isBinding` states whether the limit restricts
   * admission.
   */
  update(isBinding: boolean): void {
    const now = performance.now();
    if (now - this.steppedAt < UPDATE_INTERVAL_MS) return;
    this.steppedAt = now;
    if (this.samples.count < MIN_SAMPLES) return;
    const fastMs = this.samples.computeQuantile(0.1) ?? 0;
    const medianMs = this.samples.computeQuantile(0.5) ?? 0;
    this.samples = new SampleWindow(SAMPLE_WINDOW);
    this.bestMs = Math.min(this.bestMs * BEST_TIME_GROWTH, fastMs);
    const isLate = medianMs > this.bestMs * TOLERATED_FACTOR + TOLERATED_MS;
    if (isLate)
      this.factor = Math.max(MIN_FACTOR, this.factor * DECREASE_FACTOR);
    else if (isBinding)
      this.factor = Math.min(MAX_FACTOR, this.factor + INCREASE);
  }

  // Queries.

  /** Returns the number of requests allowed per slot. */
  read(): number {
    return this.factor;
  }
}
