import type {WaiterRank} from './chooseNextWaiter.js';
import type {ClassifiedRequest, QueuePolicy} from './QueuePolicy.js';

/** A waiting request whose rank is kept up to date. @internal */
export interface RatedWaiter {
  readonly classified: ClassifiedRequest;
  rank: WaiterRank;
}

/**
 * Keeps the ranks of waiting requests up to date. A queue of hundreds asks at each place that comes free;
 * only the requests whose standing has changed since, or that have become late, are rated again.
 *
 * @internal
 */
export class WaiterRanks {
  private updatedAt = -Infinity;
  /** When the next of them becomes late, on the monotonic clock. */
  private nextLateAt = Infinity;

  constructor(private readonly policy: QueuePolicy) {}

  /** Records a request that begins to wait, with its rank. */
  add({classified}: RatedWaiter): void {
    this.nextLateAt = Math.min(this.nextLateAt, classified.request.startBy);
  }

  /** Rates again what has changed. */
  update(waiters: Iterable<RatedWaiter>, now: number): void {
    const {policy, updatedAt} = this;
    const {isAll, customers} = policy.takeChanges(now);
    const isAnyLate = now > this.nextLateAt;
    this.updatedAt = now;
    if (!isAll && customers.size === 0 && !isAnyLate) return;
    this.nextLateAt = Infinity;
    for (const waiter of waiters) {
      const {customer, request} = waiter.classified;
      const {startBy} = request;
      const isLate = now > startBy;
      if (!isLate && startBy < this.nextLateAt) this.nextLateAt = startBy;
      const hasBecomeLate = isLate && startBy >= updatedAt;
      if (isAll || hasBecomeLate || customers.has(customer)) {
        waiter.rank = policy.rateRequest(waiter.classified, now);
      }
    }
  }
}
