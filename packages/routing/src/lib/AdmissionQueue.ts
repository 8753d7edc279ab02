import type {RoutedRequest} from './routingTypes.js';
import type {WorkEstimate} from './WorkEstimator.js';

const MAX_QUEUED = 2_048;
/** Requests looked at for one that may run now. */
const MAX_SCANNED = 64;

/** Class of work that queues apart. @public */
export type WorkClass = 'short' | 'long';

/** A request that waits for leave to run. @public */
export interface QueuedRequest {
  readonly request: RoutedRequest;
  readonly work: WorkEstimate;
  readonly queuedAt: number;
  /** Wait expected when it was queued, in milliseconds. */
  readonly predictedMs: number;
  /** Monotonic time after which the deadline can no longer be met. */
  readonly startBy: number;
  /** Place in the queue: the lowest comes first. */
  readonly order: number;
  readonly grant: () => void;
  readonly refuse: (error: Error) => void;
}

/**
 * Requests that wait, the one that must start earliest first. Who is let in decides on fairness;
 * the order only sees to it that whatever was let in starts in time.
 *
 * @public
 */
export class AdmissionQueue {
  private readonly items: Readonly<Record<WorkClass, QueuedRequest[]>> = {
    short: [],
    long: [],
  };

  // Commands.

  /** Adds a request; tells whether there was room. */
  enqueue(item: QueuedRequest): boolean {
    if (this.size >= MAX_QUEUED) return false;
    const list = this.items[classify(item.work)];
    const place = list.findIndex(({order}) => order > item.order);
    list.splice(place < 0 ? list.length : place, 0, item);
    return true;
  }

  /** Removes a request that runs now or is refused. */
  remove(item: QueuedRequest): void {
    const list = this.items[classify(item.work)];
    const place = list.indexOf(item);
    if (place >= 0) list.splice(place, 1);
  }

  // Queries.

  /** Requests of both classes. */
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

  /** Finds the request that comes next, of those that may run now. */
  findNext(
    isRunnable: (item: QueuedRequest) => boolean,
  ): QueuedRequest | undefined {
    const [short, long] = [this.items.short, this.items.long].map(list =>
      list.slice(0, MAX_SCANNED).find(isRunnable),
    );
    if (!short || !long) return short ?? long;
    return short.order <= long.order ? short : long;
  }

  /** Sums the work that would run before a new request of a class, one customer's or all. */
  sumUnitsAhead(
    workClass: WorkClass,
    order: number,
    customer?: string,
  ): number {
    return this.items[workClass].reduce((sum, item) => {
      if (item.order > order) return sum;
      const isMeant = !customer || item.request.customer.customer === customer;
      return isMeant ? sum + item.work.units : sum;
    }, 0);
  }

  /** Tells whether everything that waits still starts in time once a new request is put in. */
  isFeasibleWith(
    work: WorkEstimate,
    startBy: number,
    unitsPerMs: number,
  ): boolean {
    const now = performance.now();
    let ahead = 0;
    let isPlaced = false;
    for (const item of this.items[classify(work)]) {
      if (!isPlaced && item.order > startBy) {
        isPlaced = true;
        ahead += work.units;
      }
      // What comes before the new request is not delayed by it.
      if (isPlaced && now + ahead / unitsPerMs > item.startBy) return false;
      ahead += item.work.units;
    }
    return true;
  }
}

/** Tells the class of work. @internal */
export function classify({isLong}: Pick<WorkEstimate, 'isLong'>): WorkClass {
  return isLong ? 'long' : 'short';
}
