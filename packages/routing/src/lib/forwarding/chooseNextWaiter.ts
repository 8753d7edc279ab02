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
  /** Its size, in powers of two. */
  readonly sizeClass: number;
}

/**
 * The needs for which no place was found, each with the smallest size class; larger requests with the
 * same needs would find none either. @public
 */
export type BlockedNeeds = ReadonlyMap<string, number>;

/**
 * Chooses the waiting request that goes next, so that one that finds no place holds up none that could.
 *
 * @example
 * ```ts
 * const next = chooseNextWaiter(waiters, new Map([['old small', 10]]));
 * ```
 * @public
 */
export function chooseNextWaiter<Waiter extends RankedWaiter>(
  waiters: Iterable<Waiter>,
  blocked: BlockedNeeds,
): Waiter | undefined {
  let next: Waiter | undefined;
  for (const waiter of waiters) {
    if (isBlocked(waiter, blocked)) continue;
    if (!next || compareRanks(waiter.rank, next.rank) < 0) next = waiter;
  }
  return next;
}

/**
 * Returns whether a request with these needs, of its size or a smaller one, found no place.
 *
 * @example
 * ```ts
 * isBlocked(waiter, new Map([['old small', 10]]));
 * ```
 * @public
 */
export function isBlocked(
  {needs, sizeClass}: Pick<RankedWaiter, 'needs' | 'sizeClass'>,
  blocked: BlockedNeeds,
): boolean {
  const smallest = blocked.get(needs);
  return smallest !== undefined && sizeClass >= smallest;
}
