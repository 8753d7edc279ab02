/**
 * Exponentially weighted mean and variance of a sequence.
 *
 * @internal
 */
export class DecayingStatistics {
  count = 0;
  mean = 0;
  private squares = 0;

  /** @param effectiveCount Effective number of values in the long run. */
  constructor(private readonly effectiveCount: number) {}

  /** Adds one value. */
  observe(value: number): void {
    const decay = 1 - 1 / this.effectiveCount;
    this.count = this.count * decay + 1;
    const difference = value - this.mean;
    this.mean += difference / this.count;
    this.squares = this.squares * decay + difference * (value - this.mean);
  }

  get variance(): number {
    return this.count > 0 ? this.squares / this.count : 0;
  }

  /** Standard error of the mean, with a floor on the variance for small counts. */
  get standardError(): number {
    return Math.sqrt((this.variance + 1 / this.count ** 2) / this.count);
  }
}
