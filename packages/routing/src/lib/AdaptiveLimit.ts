import {SampleWindow} from './SampleWindow.js';

const WINDOW = 32;
const MIN_SAMPLES = 8;
const INTERVAL_MS = 250;
const START = 1.25;
const MIN = 0.5;
const MAX = 1.5;
const INCREASE = 0.03;
const DECREASE = 0.93;
/** First tokens may take this many times the best time before the limit falls. */
const TOLERATED_FACTOR = 4;
const TOLERATED_MS = 20;
/** Growth of the remembered best time at each step, so that it follows lasting changes. */
const FLOOR_GROWTH = 1.005;

/**
 * How many requests may be under way for each slot of the servers. Rises by a constant while it
 * holds requests back, falls by a factor while first tokens come late, since they then queue in the
 * servers, where nothing can be refused.
 *
 * @public
 */
export class AdaptiveLimit {
  private factor = START;
  private floorMs = Infinity;
  private samples = new SampleWindow(WINDOW);
  private steppedAt = performance.now();

  // Commands.

  /** Notes the time to the first token of a short request. */
  record(firstTokenMs: number): void {
    this.samples.add(firstTokenMs);
  }

  /** Adapts, at most once in an interval. */
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

  /** Reads the requests allowed for each slot. */
  read(): number {
    return this.factor;
  }
}
