import {filterTable, isTable, limitCount} from '@sycamorehead/schema';
import {URGENCY_CLASSES} from './computeUrgency.js';

/** Work asked for lately, by customer; the unit is that of the work of a request. @public */
export type CustomerTable = Readonly<Record<string, number>>;

/** Requests that ended lately, and how many of them got a place. @public */
export type OutcomeCounts = readonly [ended: number, served: number];

/** Outcomes by kind of request, by kind and size, and by kind and priority. @public */
export type OutcomeTable = Readonly<Record<string, OutcomeCounts>>;

/** What entries know of the demand for one service and of the places that it gets. @public */
export interface ServiceDemand {
  /** Places that requests take, or that come free, in a second. */
  readonly placesPerSecond: number;
  /** Waiting requests by urgency class, the most urgent first. */
  readonly waiting: readonly number[];
  readonly customers: CustomerTable;
  readonly outcomes: OutcomeTable;
}

/** Demand by service. @public */
export type DemandTable = Readonly<Record<string, ServiceDemand>>;

/** The part of a demand that changes within moments. @public */
export type QueuedDemand = Pick<ServiceDemand, 'placesPerSecond' | 'waiting'>;

/** Waiting requests and places by service. @public */
export type WaitingTable = Readonly<Record<string, QueuedDemand>>;

/** The demand for a service of which nothing is known. @public */
export const NO_DEMAND: ServiceDemand = {
  placesPerSecond: 0,
  waiting: [],
  customers: {},
  outcomes: {},
};

const NO_OUTCOMES: OutcomeCounts = [0, 0];

/** Maximum number of customers, or of outcomes, in the demand for one service: the largest ones. */
const MAX_DEMAND_NAMES = 64;
/** Maximum number of waiting requests that count of one entry, for each urgency class. */
const MAX_WAITING = 500;

/**
 * Filters the demand that another process has sent: what has not the shape of a demand is left out, and
 * numbers are limited.
 *
 * @param entries - Number of entries over which it is summed.
 * @example
 * ```ts
 * filterDemand({drafts: {waiting: [-1, 1e9]}}, 1).drafts?.waiting; // [0, 500]
 * ```
 * @public
 */
export function filterDemand(table: unknown, entries: number): DemandTable {
  const maxWaiting = MAX_WAITING * Math.max(1, entries);
  return filterTable(table, value => filterService(value, maxWaiting));
}

function filterService(
  value: unknown,
  maxWaiting: number,
): ServiceDemand | undefined {
  if (!isTable(value)) return undefined;
  const {customers, outcomes} = value;
  return {
    ...filterQueued(value, maxWaiting),
    customers: limitNames(
      filterTable(customers, work => limitCount(work)),
      work => work,
    ),
    outcomes: limitNames(
      filterTable(outcomes, filterOutcome),
      ([ended]) => ended,
    ),
  };
}

/**
 * Filters the waiting requests that another process has sent, like `filterDemand`.
 *
 * @example
 * ```ts
 * filterWaiting({drafts: {waiting: [-1, 1e9]}}, 1).drafts?.waiting; // [0, 500]
 * ```
 * @public
 */
export function filterWaiting(table: unknown, entries: number): WaitingTable {
  const maxWaiting = MAX_WAITING * Math.max(1, entries);
  return filterTable(table, value =>
    isTable(value) ? filterQueued(value, maxWaiting) : undefined,
  );
}

function filterQueued(
  {placesPerSecond, waiting}: Readonly<Record<string, unknown>>,
  maxWaiting: number,
): QueuedDemand {
  const classes: readonly unknown[] = Array.isArray(waiting) ? waiting : [];
  return {
    placesPerSecond: limitCount(placesPerSecond),
    waiting: classes
      .slice(0, URGENCY_CLASSES)
      .map(count => limitCount(count, maxWaiting)),
  };
}

function filterOutcome(value: unknown): OutcomeCounts | undefined {
  if (!Array.isArray(value)) return undefined;
  const ended = limitCount(value[0]);
  return [ended, limitCount(value[1], ended)];
}

/**
 * Sums tables of demand.
 *
 * @example
 * ```ts
 * sumDemand([{drafts: mine}, {drafts: theirs}]).drafts;
 * ```
 * @public
 */
export function sumDemand(tables: readonly DemandTable[]): DemandTable {
  const sums: Record<string, DemandSum> = {};
  for (const table of tables) {
    for (const [service, demand] of Object.entries(table)) {
      addDemand((sums[service] ??= buildDemandSum()), demand);
    }
  }
  const entries = Object.entries(sums).map(([service, sum]) => [
    service,
    limitDemand(sum),
  ]);
  return Object.fromEntries(entries) as DemandTable;
}

/**
 * Computes the demand that is left of a total without a part of it.
 *
 * @example
 * ```ts
 * computeOthersDemand(total, own).drafts?.waiting;
 * ```
 * @public
 */
export function computeOthersDemand(
  total: DemandTable,
  part: DemandTable,
): DemandTable {
  const rest: Record<string, ServiceDemand> = {};
  for (const service of Object.keys(total)) {
    const demand = total[service];
    if (!demand) continue;
    rest[service] = computeRest(demand, part[service] ?? NO_DEMAND);
  }
  return rest;
}

/** The total has the largest names only, so that none has to be left out of the rest. */
function computeRest(total: ServiceDemand, part: ServiceDemand): ServiceDemand {
  const customers: Record<string, number> = {};
  for (const name of Object.keys(total.customers)) {
    const left = (total.customers[name] ?? 0) - (part.customers[name] ?? 0);
    if (left > 0) customers[name] = left;
  }
  const outcomes: Record<string, OutcomeCounts> = {};
  for (const name of Object.keys(total.outcomes)) {
    const [ended, served] = total.outcomes[name] ?? NO_OUTCOMES;
    const [ownEnded, ownServed] = part.outcomes[name] ?? NO_OUTCOMES;
    const left = ended - ownEnded;
    if (left > 0) outcomes[name] = [left, Math.max(0, served - ownServed)];
  }
  return {...computeQueuedRest(total, part), customers, outcomes};
}

/**
 * Computes the waiting requests that are left of a total without a part of it.
 *
 * @example
 * ```ts
 * computeOthersWaiting(total, own).drafts?.waiting;
 * ```
 * @public
 */
export function computeOthersWaiting(
  total: WaitingTable,
  part: WaitingTable,
): WaitingTable {
  const rest: Record<string, QueuedDemand> = {};
  for (const service of Object.keys(total)) {
    const queued = total[service];
    if (!queued) continue;
    rest[service] = computeQueuedRest(queued, part[service] ?? NO_DEMAND);
  }
  return rest;
}

function computeQueuedRest(
  total: QueuedDemand,
  part: QueuedDemand,
): QueuedDemand {
  return {
    placesPerSecond: Math.max(0, total.placesPerSecond - part.placesPerSecond),
    waiting: total.waiting.map((count, index) =>
      Math.max(0, count - (part.waiting[index] ?? 0)),
    ),
  };
}

/** A demand to which others are added in place. */
interface DemandSum {
  placesPerSecond: number;
  readonly waiting: number[];
  readonly customers: Record<string, number>;
  readonly outcomes: Record<string, [ended: number, served: number]>;
}

function buildDemandSum(): DemandSum {
  return {placesPerSecond: 0, waiting: [], customers: {}, outcomes: {}};
}

function addDemand(sum: DemandSum, other: ServiceDemand): void {
  const {customers, outcomes, waiting} = sum;
  sum.placesPerSecond += other.placesPerSecond;
  other.waiting.forEach((count, index) => {
    waiting[index] = (waiting[index] ?? 0) + count;
  });
  for (const customer of Object.keys(other.customers)) {
    const work = other.customers[customer] ?? 0;
    customers[customer] = (customers[customer] ?? 0) + work;
  }
  for (const name of Object.keys(other.outcomes)) {
    const [ended, served] = other.outcomes[name] ?? NO_OUTCOMES;
    const known = outcomes[name];
    if (known) {
      known[0] += ended;
      known[1] += served;
    } else {
      outcomes[name] = [ended, served];
    }
  }
}

function limitDemand(sum: DemandSum): ServiceDemand {
  return {
    ...sum,
    customers: limitNames(sum.customers, work => work),
    outcomes: limitNames(sum.outcomes, ([ended]) => ended),
  };
}

/**
 * Leaves out the names without a value, and all but those with the largest ones.
 *
 * @example
 * ```ts
 * limitNames({clinic: 3, shop: 0}, work => work); // {clinic: 3}
 * ```
 * @public
 */
export function limitNames<Value>(
  table: Readonly<Record<string, Value>>,
  getSize: (value: Value) => number,
): Readonly<Record<string, Value>> {
  const names = Object.keys(table).filter(
    name => getSize(table[name] as Value) > 0,
  );
  if (names.length > MAX_DEMAND_NAMES) {
    const getNameSize = (name: string) => getSize(table[name] as Value);
    names.sort((first, second) => getNameSize(second) - getNameSize(first));
    names.length = MAX_DEMAND_NAMES;
  }
  const kept: Record<string, Value> = {};
  for (const name of names) kept[name] = table[name] as Value;
  return kept;
}
