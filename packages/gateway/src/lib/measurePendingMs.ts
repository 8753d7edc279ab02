import type {ServerTable} from './ServerTable.js';

/**
 * Measures the average work pending on the servers of a service, apart from those to which permits bound
 * the sends; undefined if there are no others.
 *
 * @example
 * ```ts
 * measurePendingMs(servers, 'drafts'); // 120
 * ```
 * @internal
 */
export function measurePendingMs(
  table: ServerTable,
  service: string,
): number | undefined {
  // A free slot of a server whose requests are limited is no capacity.
  const servers = table
    .listReady(service)
    .filter(
      ({listing: {registration}}) =>
        !table.limits.isLimited(registration) &&
        !table.cold.isCold(registration),
    );
  if (servers.length === 0) return undefined;
  const waitingMs = servers.reduce(
    (sum, {pendingMs, othersPendingMs}) => sum + pendingMs + othersPendingMs,
    0,
  );
  return waitingMs / servers.length;
}
