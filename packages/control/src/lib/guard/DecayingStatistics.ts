/**
 * Mean and variance of a sequence, in which older values weigh less.
 *
 * @internal
 */
export class DecayingStatistics {
  count = 0;
  mean = 0;
  private squares = 0;

  /** @param memory Number of values that count in the long run. */
  constructor(private readonly memory: number) {}

  /** Takes one value. */
  observe(value: number): void {
    const decay = 1 - 1 / this.memory;
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
