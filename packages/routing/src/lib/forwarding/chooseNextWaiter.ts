/** Where a waiting request stands in the order of its queue. @public */
export interface WaiterRank {
  /** Lower goes first. */
  readonly urgency: number;
  /** What its customer got lately. */
  readonly served: number;
  /** The time until which it can be sent and be answered in time, on the monotonic clock. */
  readonly startBy: number;
}

/**
 * Compares two waiting requests: by urgency, then the customer that got less, then the time left.
 *
 * @returns a negative number if the first one goes first.
 * @example
 * ```ts
 * ranks.sort(compareRanks);
 * ```
 * @public
 */
export function compareRanks(first: WaiterRank, second: WaiterRank): number {
  return (
    first.urgency - second.urgency ||
    first.served - second.served ||
    first.startBy - second.startBy
  );
}

/** A waiting request and what it needs. @public */
export interface RankedWaiter {
  readonly rank: WaiterRank;
  /** Requests with the same needs can be sent to the same servers, but for their size. */
  readonly needs: string;
  /** Its size, in the unit that decides where it fits. */
  readonly size: number;
}

/**
 * The needs for which a place was not found, each with the largest size for which there may be one. @public
 */
export type RoomByNeeds = ReadonlyMap<string, number>;

/**
 * Chooses the waiting request that goes next, so that one that finds no place holds up none that could.
 *
 * @example
 * ```ts
 * const next = chooseNextWaiter(waiters, new Map([['old', 12_000]]));
 * ```
 * @public
 */
export function chooseNextWaiter<Waiter extends RankedWaiter>(
  waiters: Iterable<Waiter>,
  rooms: RoomByNeeds,
): Waiter | undefined {
  let next: Waiter | undefined;
  for (const waiter of waiters) {
    if (waiter.size > (rooms.get(waiter.needs) ?? Infinity)) continue;
    if (!next || compareRanks(waiter.rank, next.rank) < 0) next = waiter;
  }
  return next;
}
