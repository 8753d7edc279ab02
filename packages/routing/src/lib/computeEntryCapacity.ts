import type {KnownServer} from '@sycamorehead/membership';
import type {WorkClass} from './AdmissionQueue.js';
import type {RoutingContext} from './RoutingContext.js';
import type {ServerState} from './FleetView.js';

/** A server slower than this many times the typical one counts with fewer slots. */
const STRAGGLER_FACTOR = 2;

/** Requests of this entry by class. @public */
export type WorkClassCounts = Readonly<Record<WorkClass, number>>;

/** What this entry may have under way on a set of servers. @public */
export interface EntryCapacity {
  /** Requests allowed, of either class. */
  readonly allowance: number;
  /** Long requests allowed among them. */
  readonly longAllowance: number;
  /** Requests under way from here, those admitted and not yet dispatched included. */
  readonly running: number;
  readonly longRunning: number;
  /** Slots that this entry's part stands for. */
  readonly slots: number;
  /** Slots of all those servers. */
  readonly totalSlots: number;
  /** Typical time between tokens, in milliseconds. */
  readonly typicalTokenMs: number;
}

/**
 * Divides the servers' slots among the entries, each by its part of the requests that run and
 * wait on all of them. A straggler's slots count by its speed.
 *
 * @example
 * ```ts
 * computeRoom(context, servers, {limit: 1.2, queued, admitted}).allowance;
 * ```
 * @internal
 */
export function computeEntryCapacity(
  context: RoutingContext,
  servers: readonly KnownServer[],
  own: {
    /** Requests allowed for each slot. */
    readonly limit: number;
    readonly queued: WorkClassCounts;
    /** Requests admitted and not finished, whatever servers they are on. */
    readonly admitted: WorkClassCounts;
  },
): EntryCapacity {
  const states = context.view.describe(servers);
  const typicalMs = context.view.computeTypicalTokenMs(servers);
  const slots = sumSlots(states, typicalMs);
  const ids = new Set(states.map(({id}) => id));
  const work = sumOwnWork(context, ids);
  const pending = countPending(context, own.admitted);
  const running = work.count + pending.short + pending.long;
  const longRunning = work.long + pending.long;
  const queued = own.queued.short + own.queued.long;
  const others = sumPeerDemand(context, ids);
  const part = (running + queued + 1) / (running + queued + 1 + others.all);
  const longOwn = longRunning + own.queued.long + 1;
  const longPart = longOwn / (longOwn + others.long);
  return {
    allowance: slots * own.limit * part,
    longAllowance: context.reserve.computeLongSlots(slots) * longPart,
    running,
    longRunning,
    slots: slots * part,
    totalSlots: slots,
    typicalTokenMs: typicalMs,
  };
}

function sumSlots(states: readonly ServerState[], typicalMs: number): number {
  return states.reduce((sum, {slots, tokenMs, isEjected}) => {
    if (isEjected) return sum;
    const slowness = tokenMs / typicalMs;
    return sum + (slowness > STRAGGLER_FACTOR ? slots / slowness : slots);
  }, 0);
}

function sumOwnWork(context: RoutingContext, ids: ReadonlySet<string>) {
  const total = {count: 0, long: 0};
  for (const id of ids) {
    const {count, long} = context.tracker.readWork(id);
    total.count += count;
    total.long += long;
  }
  return total;
}

/** Requests admitted that no attempt runs for yet. */
function countPending(
  context: RoutingContext,
  admitted: WorkClassCounts,
): WorkClassCounts {
  const total = {count: 0, long: 0};
  for (const id of context.tracker.listBusy()) {
    const {count, long} = context.tracker.readWork(id);
    total.count += count;
    total.long += long;
  }
  const short = total.count - total.long;
  return {
    short: Math.max(0, admitted.short - short),
    long: Math.max(0, admitted.long - total.long),
  };
}

function sumPeerDemand(context: RoutingContext, ids: ReadonlySet<string>) {
  const total = {all: 0, long: 0};
  for (const {servers, queued} of context.peers.listFreshReports()) {
    total.all += queued.short + queued.long + 1;
    total.long += queued.long + 1;
    for (const {server, count, long} of servers) {
      if (!ids.has(server)) continue;
      total.all += count;
      total.long += long;
    }
  }
  return total;
}
