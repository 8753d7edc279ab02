import type {KnownServer} from './KnownServer.js';

/**
 * Finds the largest number of tokens that one of the servers holds beside what runs there, as
 * `filterByMemory` decides it: any number where nothing is known to run; 0 without servers.
 *
 * @param capacity - Tokens in the memory of each server; 0 if unknown.
 * @example
 * ```ts
 * findLargestRoom(servers, 500_000); // 85_500
 * ```
 * @internal
 */
export function findLargestRoom(
  servers: readonly KnownServer[],
  capacity: number,
): number {
  const now = performance.now();
  let largest = 0;
  for (const {memory, inFlight, othersInFlight} of servers) {
    const isIdle = inFlight + othersInFlight <= 0;
    const room = isIdle ? Infinity : memory.countRoom(capacity, now);
    largest = Math.max(largest, room);
  }
  return largest;
}
