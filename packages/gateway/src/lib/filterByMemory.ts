import {RequestSize, countNeededTokens} from '@sycamorehead/routing';
import type {KnownServer} from './KnownServer.js';

/**
 * Filters servers by whether their memory holds a request beside those that run there, so that no
 * engine has to preempt streams. Where it fits nowhere, the server with the most room may get it if only
 * the margin for unseen sends is missing, or if nothing is known to run there.
 *
 * @param capacity - Tokens in the memory of each server; 0 if unknown.
 * @example
 * ```ts
 * filterByMemory(servers, 500_000, request.size);
 * ```
 * @internal
 */
export function filterByMemory(
  servers: readonly KnownServer[],
  capacity: number,
  size: RequestSize,
): readonly KnownServer[] {
  if (capacity <= 0) return servers;
  const now = performance.now();
  const tokens = countNeededTokens(size);
  const fitting = servers.filter(({memory}) =>
    memory.hasRoom(capacity, tokens, now),
  );
  if (fitting.length > 0) return fitting;
  const [first, ...others] = servers;
  if (!first) return [];
  const emptiest = others.reduce(
    (best, server) =>
      server.memory.countHeld(now) < best.memory.countHeld(now) ? server : best,
    first,
  );
  const isIdle = emptiest.inFlight + emptiest.othersInFlight === 0;
  const room = emptiest.memory.countRoom(capacity, now);
  return isIdle || tokens <= room ? [emptiest] : [];
}
