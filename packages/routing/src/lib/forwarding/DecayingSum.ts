/**
 * A sum whose parts decay exponentially with their age.
 *
 * @example
 * ```ts
 * const answers = new DecayingSum(2_000);
 * answers.add(1);
 * answers.value; // 0.37 two seconds later
 * ```
 * @public
 */
export class DecayingSum {
  private total = 0;
  private setAt = performance.now();

  constructor(
    /** Time in which a part decays to 1/e, in milliseconds. */
    private readonly lifetimeMs: number,
  ) {}

  add(amount: number): void {
    this.set(this.value + amount);
  }

  /** Replaces the sum. */
  set(total: number): void {
    this.total = total;
    this.setAt = performance.now();
  }

  get value(): number {
    if (this.total === 0) return 0;
    const ageMs = performance.now() - this.setAt;
    return this.total * Math.exp(-ageMs / this.lifetimeMs);
  }
}
