import type {KnownServer} from '@sycamorehead/membership';
import type {WorkClass} from './AdmissionQueue.js';
import type {RoutingContext} from './RoutingContext.js';
import type {ServerState} from './FleetView.js';

/** The slots of a server slower than this multiple of the typical one are scaled down. */
const STRAGGLER_FACTOR = 2;

/** The number of this entry's requests of each class. @public */
export type WorkClassCounts = Readonly<Record<WorkClass, number>>;

/** The requests that this entry has and may have in flight on a set of servers. @public */
export interface EntryCapacity {
  /** The requests allowed, of both classes together. */
  readonly allowance: number;
  /** The long requests allowed among them. */
  readonly longAllowance: number;
  /** This entry's running requests, including those admitted and not yet dispatched. */
  readonly running: number;
  readonly longRunning: number;
  /** This entry's share of `totalSlots`. */
  readonly slots: number;
  /**
   * The slots of these servers, without those of ejected servers and scaled down for stragglers.
   */
  readonly totalSlots: number;
  /** The typical time between tokens, in milliseconds. */
  readonly typicalTokenMs: number;
}

/**
 * Divides the servers' slots among the entries, in proportion to the requests that run and wait at
 * each entry. The slots of a straggler are scaled down by its slowness; those of an ejected server
 * do not count.
 *
 * @example
 * ```ts
 * computeEntryCapacity(context, servers, {limit: 1.2, queued, admitted}).allowance;
 * ```
 * @internal
 */
export function computeEntryCapacity(
  context: RoutingContext,
  servers: readonly KnownServer[],
  own: {
    /** The requests allowed per slot. */
    readonly limit: number;
    readonly queued: WorkClassCounts;
    /** Requests admitted and not finished, on any server. */
    readonly admitted: WorkClassCounts;
  },
): EntryCapacity {
  const states = context.view.describe(servers);
  const typicalTokenMs = context.view.computeTypicalTokenMs(servers);
  const slots = sumSlots(states, typicalTokenMs);
  const ids = new Set(states.map(({id}) => id));
  const work = sumOwnWork(context, ids);
  const pending = countPending(context, own.admitted);
  const running = work.count + pending.short + pending.long;
  const longRunning = work.long + pending.long;
  const queued = own.queued.short + own.queued.long;
  const others = sumPeerDemand(context, ids);
  const share = (running + queued + 1) / (running + queued + 1 + others.all);
  const longOwn = longRunning + own.queued.long + 1;
  const longShare = longOwn / (longOwn + others.long);
  return {
    allowance: slots * own.limit * share,
    longAllowance: context.reserve.computeLongSlots(slots) * longShare,
    running,
    longRunning,
    slots: slots * share,
    totalSlots: slots,
    typicalTokenMs,
  };
}

function sumSlots(
  states: readonly ServerState[],
  typicalTokenMs: number,
): number {
  return states.reduce((sum, {slots, tokenMs, isEjected}) => {
    if (isEjected) return sum;
    const slowness = tokenMs / typicalTokenMs;
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

/** Counts the admitted requests that have no running attempt yet. */
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
