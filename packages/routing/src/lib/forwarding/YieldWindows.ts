/**
 * Time for which an entry leaves free places to others, in milliseconds; they learn of the places by
 * the next exchanges of load.
 */
const YIELD_MS = 150;
const MS_PER_SECOND = 1_000;

/** What an entry knows of the competition for a place. @public */
export interface YieldInput {
  /** Class of this entry's own request. */
  readonly urgencyClass: number;
  /** Waiting requests of the other entries by urgency class. */
  readonly othersWaiting: readonly number[];
  /** Places that come free in a second at all entries. */
  readonly placesPerSecond: number;
}

/**
 * Leaves free places to more urgent requests that wait at other entries, under a load in which the
 * places come free at other entries than those where the urgent requests wait. Of the time at most half,
 * and no more places than there are such requests.
 *
 * @public
 */
export class YieldWindows {
  private yieldUntil = -Infinity;
  private decideAt = -Infinity;

  constructor(private readonly random: () => number = Math.random) {}

  /** The end of the last window, on the monotonic clock. */
  get endsAt(): number {
    return this.yieldUntil;
  }

  /**
   * Returns whether a request may not take a free place now, and begins a window if it is time.
   *
   * @example
   * ```ts
   * windows.checkYield({urgencyClass: 2, othersWaiting: [0, 3], placesPerSecond: 200});
   * ```
   */
  checkYield(input: YieldInput): boolean {
    const {urgencyClass, othersWaiting, placesPerSecond} = input;
    const urgent = othersWaiting
      .slice(0, urgencyClass)
      .reduce((sum, count) => sum + count, 0);
    if (urgent === 0) return false;
    const now = performance.now();
    if (now < this.yieldUntil) return true;
    if (now < this.decideAt) return false;
    const places = (placesPerSecond * YIELD_MS) / MS_PER_SECOND;
    const isYielding = this.random() * places < urgent;
    this.decideAt = now + YIELD_MS * (isYielding ? 2 : 1);
    if (isYielding) this.yieldUntil = now + YIELD_MS;
    return isYielding;
  }
}
