import {RequestSize, countNeededTokens} from '@sycamorehead/routing';
import type {KnownServer} from './KnownServer.js';

/** Servers whose memory may hold a request. @internal */
export interface MemoryGroup {
  readonly servers: readonly KnownServer[];
  /** Whether only a random one of them may get the request. */
  readonly isDrawn: boolean;
}

/**
 * Filters servers by whether their memory holds a request beside those that run there, so that no
 * engine has to preempt streams. Where it fits nowhere, a random one of the servers where only the margin
 * for unseen sends is missing may get it, since all entries drop the margin at the same time; or a
 * random one of those where nothing is known to run.
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
  random: () => number = Math.random,
): readonly KnownServer[] {
  const group = groupByMemory(servers, capacity, size);
  return group.isDrawn ? pickOne(group.servers, random) : group.servers;
}

/**
 * Finds the servers that `filterByMemory` returns, or of which it picks one.
 *
 * @example
 * ```ts
 * groupByMemory(servers, 500_000, request.size).isDrawn;
 * ```
 * @internal
 */
export function groupByMemory(
  servers: readonly KnownServer[],
  capacity: number,
  size: RequestSize,
): MemoryGroup {
  if (capacity <= 0) return {servers, isDrawn: false};
  const now = performance.now();
  const tokens = countNeededTokens(size);
  const fitting = servers.filter(({memory}) =>
    memory.hasRoom(capacity, tokens, now),
  );
  if (fitting.length > 0) return {servers: fitting, isDrawn: false};
  const withoutMargin = servers.filter(
    ({memory}) => tokens <= memory.countRoom(capacity, now),
  );
  if (withoutMargin.length > 0) return {servers: withoutMargin, isDrawn: true};
  const idle = servers.filter(
    ({inFlight, othersInFlight}) => inFlight + othersInFlight <= 0,
  );
  return {servers: idle, isDrawn: true};
}

function pickOne(
  servers: readonly KnownServer[],
  random: () => number,
): readonly KnownServer[] {
  const index = Math.floor(random() * servers.length);
  return servers.slice(index, index + 1);
}
