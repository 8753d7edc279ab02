const MS_PER_SECOND = 1_000;
/** Part of the places that callers who return may count on; others have asked meanwhile. */
const RETURN_FRACTION = 0.25;
/** Part of the time that a caller has left for which it heeds a delay. */
const HEEDED_FRACTION = 1 / 3;
/** Minimum delay, in milliseconds, of a caller that heeds it. */
const MIN_DELAY_MS = 250;
/** Part of the heeded time over which callers are spread for whom no room is expected in time. */
const LATE_SPREAD_FRACTION = 0.5;

/** What the return of a refused caller depends on. @public */
export interface ReturnInput {
  /** Time after which the queue is expected to have moved on, in milliseconds. */
  readonly waitMs: number;
  /** Time for which the caller waits for its answer, in milliseconds. */
  readonly leftMs: number;
  /** Places that come free in a second at this entry. */
  readonly placesPerSecond: number;
}

/**
 * Spreads the returns of refused callers over the time in which room comes free, under the load of a
 * burst: callers that all return at once would find the same queue.
 *
 * @public
 */
export class ReturnSchedule {
  private nextAt = -Infinity;

  constructor(private readonly random: () => number = Math.random) {}

  /**
   * Reserves the time at which a refused caller may return.
   *
   * @returns the delay in milliseconds.
   * @example
   * ```ts
   * returns.reserveDelay({waitMs: 800, leftMs: 6_000, placesPerSecond: 4});
   * ```
   */
  reserveDelay({waitMs, leftMs, placesPerSecond}: ReturnInput): number {
    const now = performance.now();
    // A caller without time for another try comes with a new request, if at all.
    const isOver = leftMs <= MIN_DELAY_MS;
    const heededMs = isOver ? MIN_DELAY_MS : leftMs * HEEDED_FRACTION;
    const spacingMs =
      MS_PER_SECOND / Math.max(1, placesPerSecond * RETURN_FRACTION);
    const earliest = now + Math.max(MIN_DELAY_MS, waitMs);
    const at = Math.max(earliest, this.nextAt) + spacingMs * this.random();
    if (at <= now + heededMs) {
      this.nextAt = Math.max(earliest, this.nextAt) + spacingMs;
      return at - now;
    }
    return heededMs * (1 - LATE_SPREAD_FRACTION * this.random());
  }
}
