/** A ring buffer of the newest samples of a quantity. @public */
export class SampleWindow {
  private readonly samples: number[] = [];
  private next = 0;

  constructor(private readonly size: number) {}

  /** Adds a sample, which replaces the oldest one if the window is full. */
  add(sample: number): void {
    if (this.samples.length < this.size) this.samples.push(sample);
    else this.samples[this.next] = sample;
    this.next = (this.next + 1) % this.size;
  }

  /** The number of samples. */
  get count(): number {
    return this.samples.length;
  }

  /** Computes a quantile by the nearest rank; undefined without samples. */
  computeQuantile(quantile: number): number | undefined {
    const sorted = [...this.samples].sort((left, right) => left - right);
    const rank = Math.ceil(quantile * sorted.length);
    return sorted[Math.max(rank, 1) - 1];
  }

  /** Computes the mean of the samples above a bound; undefined if there is none. */
  computeMeanAbove(bound: number): number | undefined {
    const above = this.samples.filter(sample => sample > bound);
    if (above.length === 0) return undefined;
    return above.reduce((sum, sample) => sum + sample, 0) / above.length;
  }
}
