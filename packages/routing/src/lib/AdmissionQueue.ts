import type {RoutedRequest} from './routingTypes.js';
import type {WorkEstimate} from './WorkEstimator.js';

const MAX_QUEUED = 2_048;
const MAX_FLOWS = 20_000;

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

/** A customer's requests of one class. */
interface Flow {
  readonly items: Array<{readonly item: QueuedRequest; readonly tag: number}>;
  /** Virtual time at which the next request of the flow begins at the earliest. */
  nextTag: number;
}

/**
 * Requests that wait, fairly queued: each customer and class is a flow, and the request with the
 * lowest start tag comes first. A flow's tags advance by work over weight, so that customers share
 * by weight what is contended, and unused shares are lent out.
 *
 * @public
 */
export class AdmissionQueue {
  private readonly flows = new Map<string, Flow>();
  private readonly sizes: Record<WorkClass, number> = {short: 0, long: 0};
  /** Start tag of the last request that left to run. */
  private virtualTime = 0;

  /** @param readWeight - a customer's weight at this entry. */
  constructor(
    private readonly readWeight: (request: RoutedRequest) => number,
  ) {}

  // Commands.

  /** Adds a request; tells whether there was room. */
  enqueue(item: QueuedRequest): boolean {
    if (this.size >= MAX_QUEUED || this.flows.size >= MAX_FLOWS) return false;
    const {request, work} = item;
    const key = formatFlow(request, work);
    const flow = this.flows.get(key) ?? {items: [], nextTag: 0};
    this.flows.set(key, flow);
    const tag = Math.max(this.virtualTime, flow.nextTag);
    flow.items.push({item, tag});
    flow.nextTag = tag + work.units / this.readWeight(request);
    this.sizes[classify(work)] += 1;
    return true;
  }

  /** Removes a request that runs now or is refused. */
  remove({request, work}: QueuedRequest): void {
    const key = formatFlow(request, work);
    const flow = this.flows.get(key);
    const place =
      flow?.items.findIndex(({item}) => item.request === request) ?? -1;
    if (!flow || place < 0) return;
    const [removed] = flow.items.splice(place, 1);
    if (place === 0 && removed) {
      this.virtualTime = Math.max(this.virtualTime, removed.tag);
    }
    this.sizes[classify(work)] -= 1;
    if (flow.items.length === 0) this.prune();
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
    return [...this.flows.values()].flatMap(({items}) =>
      items.map(({item}) => item).filter(({startBy}) => startBy < now),
    );
  }

  /** Finds the request that comes next, of those that may run now. */
  findNext(
    isRunnable: (item: QueuedRequest) => boolean,
  ): QueuedRequest | undefined {
    return [...this.flows.values()]
      .flatMap(({items}) => items.slice(0, 1))
      .sort((left, right) => left.tag - right.tag)
      .map(({item}) => item)
      .find(isRunnable);
  }

  /** Sums the work of a class that would run before a new request. */
  sumUnitsAhead(request: RoutedRequest, work: WorkEstimate): number {
    const own = this.flows.get(formatFlow(request, work));
    const tag = Math.max(this.virtualTime, own?.nextTag ?? 0);
    let ahead = 0;
    for (const {items} of this.flows.values()) {
      for (const {item, tag: other} of items) {
        if (other > tag) break;
        if (item.work.isLong === work.isLong) ahead += item.work.units;
      }
    }
    return ahead;
  }

  /** Forgets empty flows that owe nothing any more. */
  private prune(): void {
    const isIdle = this.size === 0;
    for (const [key, {items, nextTag}] of this.flows) {
      if (items.length > 0) continue;
      if (isIdle || nextTag <= this.virtualTime) this.flows.delete(key);
    }
  }
}

/** Tells the class of work. @internal */
export function classify({isLong}: Pick<WorkEstimate, 'isLong'>): WorkClass {
  return isLong ? 'long' : 'short';
}

function formatFlow({customer}: RoutedRequest, work: WorkEstimate): string {
  return `${classify(work)} ${customer.customer}`;
}
