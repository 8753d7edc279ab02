/** Part of the window added to it, since orders reach the weight store with some delay. */
const MARGIN = 0.05;

/** The weight store's limit. @public */
export interface WeightStoreRate {
  /** Loads that may begin in a window. */
  readonly loads: number;
  readonly windowMs: number;
}

/**
 * Spaces loads evenly at the weight store's rate, without bursts: a new leader does not know
 * what its predecessor has begun.
 *
 * @internal
 */
export class LoadPacer {
  private nextAt = 0;

  constructor(private readonly rate: WeightStoreRate) {}

  // Commands.

  /** Takes the right to begin a load now; false where it is too early. */
  tryAcquire(): boolean {
    const now = performance.now();
    if (now < this.nextAt) return false;
    const {loads, windowMs} = this.rate;
    const spacing = (windowMs * (1 + MARGIN)) / loads;
    // A call that comes a little late keeps the schedule; an idle time earns nothing.
    const slack = (windowMs * MARGIN) / 2;
    this.nextAt = Math.max(this.nextAt, now - slack) + spacing;
    return true;
  }

  /** Begins nothing for a while, after the store has refused a load. */
  pause(ms: number): void {
    this.nextAt = Math.max(this.nextAt, performance.now() + ms);
  }

  // Queries.

  /** Returns the time until a load may begin, in milliseconds. */
  getWaitMs(): number {
    return Math.max(0, this.nextAt - performance.now());
  }
}
