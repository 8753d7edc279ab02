/** The number of buckets into which the window is divided. */
const BUCKETS = 20;
/** Fraction of the allowance that is used, so that the bound holds although counts lag. */
const SAFETY_FACTOR = 0.8;

/** Settings of a RetryBudget. @public */
export interface RetryBudgetOptions {
  /** Sends beyond the first that are allowed for each request. */
  readonly ratio: number;
  /** Additional sends allowed in each window, over all entries together. */
  readonly slack: number;
  readonly windowMs: number;
}

interface Bucket {
  tick: number;
  requests: number;
  extras: number;
}

/**
 * Limits the repeated sends to one service, which are those beyond the first of each request. Each
 * entry counts its own requests and takes an equal share of the slack, so that the sum over all
 * entries stays within the bound without coordination.
 *
 * @public
 */
export class RetryBudget {
  private readonly buckets: Bucket[] = Array.from({length: BUCKETS}, () => ({
    tick: -Infinity,
    requests: 0,
    extras: 0,
  }));

  constructor(private readonly options: RetryBudgetOptions) {}

  // Commands.

  /** Counts a request of a caller. */
  recordRequest(): void {
    this.getBucket().requests += 1;
  }

  /** Charges one send beyond the first and returns whether the budget allows it. */
  acquire(entryCount: number): boolean {
    if (!this.hasCapacity(entryCount)) return false;
    this.getBucket().extras += 1;
    return true;
  }

  // Queries.

  /** Returns whether one more send would be allowed within a fraction of the budget. */
  hasCapacity(entryCount: number, fraction = 1): boolean {
    const {ratio, slack} = this.options;
    const {requests, extras} = this.sumWindow();
    const allowance = ratio * requests + slack / Math.max(1, entryCount);
    return extras + 1 <= allowance * SAFETY_FACTOR * fraction;
  }

  private sumWindow(): {requests: number; extras: number} {
    const oldest = this.getTick() - BUCKETS;
    const sum = {requests: 0, extras: 0};
    for (const {tick, requests, extras} of this.buckets) {
      if (tick <= oldest) continue;
      sum.requests += requests;
      sum.extras += extras;
    }
    return sum;
  }

  private getBucket(): Bucket {
    const tick = this.getTick();
    const index = tick % BUCKETS;
    const known = this.buckets[index];
    if (known?.tick === tick) return known;
    const fresh = {tick, requests: 0, extras: 0};
    this.buckets[index] = fresh;
    return fresh;
  }

  private getTick(): number {
    return Math.floor((performance.now() * BUCKETS) / this.options.windowMs);
  }
}
