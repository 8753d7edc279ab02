/** Fraction by which the window is extended, since orders reach the weight store with a delay. */
const WINDOW_MARGIN = 0.05;

/** Rate limit of the weight store. @public */
export interface WeightStoreRate {
  /** Maximum number of loads that may start within a window. */
  readonly loads: number;
  readonly windowMs: number;
}

/**
 * Spaces loads evenly at the weight store's rate limit. It allows no bursts, since a new leader does
 * not know which loads its predecessor has started.
 *
 * @internal
 */
export class LoadPacer {
  private nextAt = 0;

  constructor(private readonly rate: WeightStoreRate) {}

  // Commands.

  /** Reserves the start of a load now; returns false if it is too early. */
  tryAcquire(): boolean {
    const now = performance.now();
    if (now < this.nextAt) return false;
    const {loads, windowMs} = this.rate;
    const spacing = (windowMs * (1 + WINDOW_MARGIN)) / loads;
    // A slightly late call does not shift the schedule; idle time does not allow a burst.
    const slack = (windowMs * WINDOW_MARGIN) / 2;
    this.nextAt = Math.max(this.nextAt, now - slack) + spacing;
    return true;
  }

  /** Allows no load for the given time, after the store has rejected one. */
  pause(ms: number): void {
    this.nextAt = Math.max(this.nextAt, performance.now() + ms);
  }

  // Queries.

  /** Returns the time until the next load may start, in milliseconds. */
  getWaitMs(): number {
    return Math.max(0, this.nextAt - performance.now());
  }
}
