import type {RoutedRequest} from './routingTypes.js';
import type {WorkEstimate} from './WorkEstimator.js';

const MAX_QUEUED = 2_048;
/** Maximum number of requests of a class that are examined to find one that may run now. */
const MAX_SCANNED = 64;

/** A class of work, which has a queue of its own. @public */
export type WorkClass = 'short' | 'long';

/** A request that waits for admission. @public */
export interface QueuedRequest {
  readonly request: RoutedRequest;
  readonly work: WorkEstimate;
  readonly queuedAt: number;
  /** Wait expected when it was queued, in milliseconds. */
  readonly predictedMs: number;
  /** Monotonic time after which the deadline can no longer be met. */
  readonly startBy: number;
  /** Sort key in the queue; the lowest comes first. */
  readonly order: number;
  readonly grant: () => void;
  readonly refuse: (error: Error) => void;
}

/**
 * Queues requests, ordered by the time by which they must start. Fairness is decided when a
 * request is queued; the order only ensures that queued requests start in time.
 *
 * @public
 */
export class AdmissionQueue {
  private readonly items: Readonly<Record<WorkClass, QueuedRequest[]>> = {
    short: [],
    long: [],
  };

  // Commands.

  /** Adds a request and returns whether the queue had capacity for it. */
  enqueue(item: QueuedRequest): boolean {
    if (this.size >= MAX_QUEUED) return false;
    const list = this.items[classify(item.work)];
    const index = list.findIndex(({order}) => order > item.order);
    list.splice(index < 0 ? list.length : index, 0, item);
    return true;
  }

  /** Removes a request that is admitted or refused. */
  remove(item: QueuedRequest): void {
    const list = this.items[classify(item.work)];
    const index = list.indexOf(item);
    if (index >= 0) list.splice(index, 1);
  }

  // Queries.

  /** The number of requests of both classes. */
  get size(): number {
    return this.items.short.length + this.items.long.length;
  }

  /** Counts the requests of a class. */
  count(workClass: WorkClass): number {
    return this.items[workClass].length;
  }

  /** Lists the requests whose deadline can no longer be met. */
  listExpired(now: number): QueuedRequest[] {
    return [...this.items.short, ...this.items.long].filter(
      ({startBy}) => startBy < now,
    );
  }

  /** Finds the first request, in the order of the queue, that may run now. */
  findNext(
    isRunnable: (item: QueuedRequest) => boolean,
  ): QueuedRequest | undefined {
    const [short, long] = [this.items.short, this.items.long].map(list =>
      list.slice(0, MAX_SCANNED).find(isRunnable),
    );
    if (!short || !long) return short ?? long;
    return short.order <= long.order ? short : long;
  }

  /**
   * Sums the work of a class that would run before a new request with the given order, of one
   * customer if given.
   */
  sumUnitsAhead(
    workClass: WorkClass,
    order: number,
    customer?: string,
  ): number {
    return this.items[workClass].reduce((sum, item) => {
      if (item.order > order) return sum;
      const isIncluded =
        !customer || item.request.customer.customer === customer;
      return isIncluded ? sum + item.work.units : sum;
    }, 0);
  }

  /**
   * Returns whether the requests that a new one of the same class would delay still start in time.
   */
  isFeasibleWith(
    work: WorkEstimate,
    startBy: number,
    unitsPerMs: number,
  ): boolean {
    const now = performance.now();
    let unitsAhead = 0;
    let isInserted = false;
    for (const item of this.items[classify(work)]) {
      if (!isInserted && item.order > startBy) {
        isInserted = true;
        unitsAhead += work.units;
      }
      // Requests ahead of the new one are not delayed by it.
      if (isInserted && now + unitsAhead / unitsPerMs > item.startBy)
        return false;
      unitsAhead += item.work.units;
    }
    return true;
  }
}

/** Returns the class of work. @internal */
export function classify({isLong}: Pick<WorkEstimate, 'isLong'>): WorkClass {
  return isLong ? 'long' : 'short';
}
