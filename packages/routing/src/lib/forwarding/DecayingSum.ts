const MS_PER_SECOND = 1_000;

/**
 * A sum of what was recorded lately: each part loses its weight exponentially.
 *
 * @example
 * ```ts
 * const placed = new DecayingSum(2_000);
 * placed.add(1);
 * ```
 * @public
 */
export class DecayingSum {
  private sum = 0;
  private updatedAt = performance.now();

  /** Creates a sum whose parts lose two thirds of their weight within `decayMs` milliseconds. */
  constructor(private readonly decayMs: number) {}

  add(amount: number): void {
    this.sum = this.value + amount;
    this.updatedAt = performance.now();
  }

  get value(): number {
    const ageMs = performance.now() - this.updatedAt;
    return this.sum * Math.exp(-ageMs / this.decayMs);
  }

  get perSecond(): number {
    return (this.value * MS_PER_SECOND) / this.decayMs;
  }
}
