import type {RankedWaiter} from './chooseNextWaiter.js';

/**
 * Lists the sizes of the waiting requests with the same needs.
 *
 * @example
 * ```ts
 * listSizes(waiters, 'chat'); // [12_000, 300]
 * ```
 * @internal
 */
export function listSizes(
  waiters: Iterable<Pick<RankedWaiter, 'needs' | 'size'>>,
  ownNeeds: string,
): number[] {
  return [...waiters]
    .filter(({needs}) => needs === ownNeeds)
    .map(({size}) => size);
}
