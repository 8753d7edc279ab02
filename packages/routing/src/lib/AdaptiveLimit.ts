import {SampleWindow} from './SampleWindow.js';

const WINDOW = 32;
const MIN_SAMPLES = 8;
const INTERVAL_MS = 250;
const START = 1.25;
const MIN = 0.5;
const MAX = 1.5;
const INCREASE = 0.03;
const DECREASE = 0.93;
/** The limit falls once first tokens take more than this multiple of the best time. */
const TOLERATED_FACTOR = 4;
const TOLERATED_MS = 20;
/** Growth of the remembered best time at each step, so that it follows lasting changes. */
const FLOOR_GROWTH = 1.005;

/**
 * Limits the requests in flight per server slot. The limit rises by a constant while it restricts
 * admission and falls by a factor while first tokens are late, because requests then queue inside
 * the servers, where they can no longer be refused.
 *
 * @public
 */
export class AdaptiveLimit {
  private factor = START;
  private floorMs = Infinity;
  private samples = new SampleWindow(WINDOW);
  private steppedAt = performance.now();

  // Commands.

  /** Records the time to the first token of a short request. */
  record(firstTokenMs: number): void {
    this.samples.add(firstTokenMs);
  }

  /** Adapts the limit, at most once per interval. */
  update(isBinding: boolean): void {
    const now = performance.now();
    if (now - this.steppedAt < INTERVAL_MS) return;
    this.steppedAt = now;
    if (this.samples.count < MIN_SAMPLES) return;
    const fastMs = this.samples.computeQuantile(0.1) ?? 0;
    const medianMs = this.samples.computeQuantile(0.5) ?? 0;
    this.samples = new SampleWindow(WINDOW);
    this.floorMs = Math.min(this.floorMs * FLOOR_GROWTH, fastMs);
    const isLate = medianMs > this.floorMs * TOLERATED_FACTOR + TOLERATED_MS;
    if (isLate) this.factor = Math.max(MIN, this.factor * DECREASE);
    else if (isBinding) this.factor = Math.min(MAX, this.factor + INCREASE);
  }

  // Queries.

  /** Returns the requests allowed per slot. */
  read(): number {
    return this.factor;
  }
}
