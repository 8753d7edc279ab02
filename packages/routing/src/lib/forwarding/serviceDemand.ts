import {filterTable, isTable, limitCount} from '@sycamorehead/schema';
import {URGENCY_CLASSES} from './computeUrgency.js';

/** Work asked for lately, by customer; the unit is that of the work of a request. @public */
export type CustomerTable = Readonly<Record<string, number>>;

/** Requests that ended lately, and how many of them got a place. @public */
export type OutcomeCounts = readonly [ended: number, served: number];

/** Outcomes by kind of request, and by kind and size. @public */
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

/** The demand for a service of which nothing is known. @public */
export const NO_DEMAND: ServiceDemand = {
  placesPerSecond: 0,
  waiting: [],
  customers: {},
  outcomes: {},
};

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
  const {placesPerSecond, waiting, customers, outcomes} = value;
  const classes: readonly unknown[] = Array.isArray(waiting) ? waiting : [];
  return {
    placesPerSecond: limitCount(placesPerSecond),
    waiting: classes
      .slice(0, URGENCY_CLASSES)
      .map(count => limitCount(count, maxWaiting)),
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
      addDemand((sums[service] ??= copyDemand(NO_DEMAND)), demand, 1);
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
  const entries = Object.entries(total).map(([service, demand]) => {
    const rest = copyDemand(demand);
    addDemand(rest, part[service] ?? NO_DEMAND, -1);
    return [service, limitDemand(rest)];
  });
  return Object.fromEntries(entries) as DemandTable;
}

/** A demand to which others are added in place. */
interface DemandSum {
  placesPerSecond: number;
  readonly waiting: number[];
  readonly customers: Record<string, number>;
  readonly outcomes: Record<string, OutcomeCounts>;
}

function copyDemand(demand: ServiceDemand): DemandSum {
  return {
    placesPerSecond: demand.placesPerSecond,
    waiting: [...demand.waiting],
    customers: {...demand.customers},
    outcomes: {...demand.outcomes},
  };
}

/** Adds the other demand with a sign; nothing becomes negative. */
function addDemand(sum: DemandSum, other: ServiceDemand, sign: 1 | -1): void {
  const add = (mine = 0, theirs = 0) => Math.max(0, mine + sign * theirs);
  const {customers, outcomes, waiting} = sum;
  sum.placesPerSecond = add(sum.placesPerSecond, other.placesPerSecond);
  other.waiting.forEach((count, index) => {
    waiting[index] = add(waiting[index], count);
  });
  for (const [customer, work] of Object.entries(other.customers)) {
    customers[customer] = add(customers[customer], work);
  }
  for (const [name, [ended, served]] of Object.entries(other.outcomes)) {
    const [knownEnded, knownServed] = outcomes[name] ?? [0, 0];
    outcomes[name] = [add(knownEnded, ended), add(knownServed, served)];
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
  const entries = Object.entries(table)
    .map(([name, value]) => ({name, value, size: getSize(value)}))
    .filter(({size}) => size > 0);
  if (entries.length > MAX_DEMAND_NAMES) {
    entries.sort((first, second) => second.size - first.size);
  }
  const kept = entries.slice(0, MAX_DEMAND_NAMES);
  return Object.fromEntries(kept.map(({name, value}) => [name, value]));
}
