import type {RoutedRequest} from './routingTypes.js';
import type {WorkEstimate} from './WorkEstimator.js';

const MAX_QUEUED = 2_048;

/** Class of work that queues apart. @public */
export type WorkClass = 'short' | 'long';

/** A request that waits for leave to run. @public */
export interface QueuedRequest {
  readonly request: RoutedRequest;
  readonly work: WorkEstimate;
  /** Monotonic time after which the deadline can no longer be met. */
  readonly startBy: number;
  readonly grant: () => void;
  readonly refuse: (error: Error) => void;
}

interface CustomerQueue {
  readonly weight: number;
  readonly items: Readonly<Record<WorkClass, QueuedRequest[]>>;
}

/**
 * Requests that wait, by customer and class. The customer with the least recent use for its weight
 * comes first, so that unused shares are lent out; of its classes the one whose head has the least
 * time left.
 *
 * @public
 */
export class AdmissionQueue {
  private readonly customers = new Map<string, CustomerQueue>();
  private readonly sizes: Record<WorkClass, number> = {short: 0, long: 0};

  /** @param readUse - work of a customer that all entries admitted in the last second. */
  constructor(private readonly readUse: (customer: string) => number) {}

  // Commands.

  /** Adds a request; tells whether there was room. */
  enqueue(item: QueuedRequest): boolean {
    if (this.size >= MAX_QUEUED) return false;
    const {customer, weight} = item.request.customer;
    const queue = this.customers.get(customer) ?? {
      weight,
      items: {short: [], long: []},
    };
    this.customers.set(customer, queue);
    const workClass = classify(item.work);
    queue.items[workClass].push(item);
    this.sizes[workClass] += 1;
    return true;
  }

  /** Removes a request. */
  remove(item: QueuedRequest): void {
    const {customer} = item.request.customer;
    const {items} = this.customers.get(customer) ?? {};
    const workClass = classify(item.work);
    const place = items?.[workClass].indexOf(item) ?? -1;
    if (!items || place < 0) return;
    items[workClass].splice(place, 1);
    this.sizes[workClass] -= 1;
    if (items.short.length + items.long.length > 0) return;
    this.customers.delete(customer);
  }

  // Queries.

  /** Requests of both classes. */
  get size(): number {
    return this.sizes.short + this.sizes.long;
  }

  /** Counts the requests of a class. */
  count(workClass: WorkClass): number {
    return this.sizes[workClass];
  }

  /** Lists the requests whose deadline can no longer be met. */
  listExpired(now: number): QueuedRequest[] {
    return [...this.customers.values()].flatMap(({items}) =>
      [...items.short, ...items.long].filter(({startBy}) => startBy < now),
    );
  }

  /** Finds the request that comes next, of those that may run now. */
  findNext(
    isRunnable: (item: QueuedRequest) => boolean,
  ): QueuedRequest | undefined {
    const ranked = [...this.customers]
      .map(([customer, {weight, items}]) => ({
        items,
        level: this.readUse(customer) / weight,
      }))
      .sort((left, right) => left.level - right.level);
    for (const {items} of ranked) {
      const next = [items.short[0], items.long[0]]
        .filter(head => head !== undefined)
        .sort((left, right) => left.startBy - right.startBy)
        .find(isRunnable);
      if (next) return next;
    }
    return undefined;
  }

  /**
   * Sums the work of a class that would run before a new request: of its customer all that waits,
   * of each other customer what brings it to the same use for its weight.
   */
  sumUnitsAhead({customer}: RoutedRequest, work: WorkEstimate): number {
    const workClass = classify(work);
    const own = sumUnits(this.customers.get(customer.customer), workClass);
    const use = this.readUse(customer.customer);
    const level = (use + own + work.units) / customer.weight;
    let ahead = own;
    for (const [name, queue] of this.customers) {
      if (name === customer.customer) continue;
      const due = level * queue.weight - this.readUse(name);
      ahead += Math.min(sumUnits(queue, workClass), Math.max(0, due));
    }
    return ahead;
  }
}

/** Tells the class of work. @internal */
export function classify({isLong}: Pick<WorkEstimate, 'isLong'>): WorkClass {
  return isLong ? 'long' : 'short';
}

function sumUnits(queue: CustomerQueue | undefined, workClass: WorkClass) {
  const items = queue?.items[workClass] ?? [];
  return items.reduce((sum, {work}) => sum + work.units, 0);
}
