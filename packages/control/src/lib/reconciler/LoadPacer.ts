/** Part of the window added to it, since orders reach the weight store with some delay. */
const MARGIN = 0.03;

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
    const spacing = (this.rate.windowMs * (1 + MARGIN)) / this.rate.loads;
    // Time lost by a tick that came late is made good by at most one spacing.
    this.nextAt = Math.max(this.nextAt + spacing, now);
    return true;
  }

  /** Begins nothing for a while, after the store has refused a load. */
  hold(ms: number): void {
    this.nextAt = Math.max(this.nextAt, performance.now() + ms);
  }

  // Queries.

  /** Tells whether a load must wait for the rate. */
  isWaiting(): boolean {
    return performance.now() < this.nextAt;
  }
}
