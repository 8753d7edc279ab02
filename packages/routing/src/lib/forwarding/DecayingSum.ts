const MS_PER_SECOND = 1_000;

/**
 * A sum of what was recorded lately: each part loses its weight exponentially.
 *
 * @example
 * ```ts
 * const placed = new DecayingSum(2_000);
 * placed.add(1);
 * placed.value; // 0.37 two seconds later
 * ```
 * @public
 */
export class DecayingSum {
  private total = 0;
  private setAt = performance.now();

  /** Creates a sum whose parts lose two thirds of their weight within `decayMs` milliseconds. */
  constructor(private readonly decayMs: number) {}

  add(amount: number): void {
    this.set(this.value + amount);
  }

  /** Replaces the sum. */
  set(total: number, now = performance.now()): void {
    this.total = total;
    this.setAt = now;
  }

  get value(): number {
    return this.total === 0 ? 0 : this.readAt(performance.now());
  }

  /** Returns the value at a time, for callers that read many sums at the same time. */
  readAt(now: number): number {
    if (this.total === 0) return 0;
    return this.total * Math.exp((this.setAt - now) / this.decayMs);
  }

  get perSecond(): number {
    return (this.value * MS_PER_SECOND) / this.decayMs;
  }
}
