import {ReportedServer, formatVersionKey} from '@sycamorehead/schema';
import type {OpenOrder, PlannedOrder} from './planPlacement.js';

/**
 * Time for which a server is not ordered to load a version that it failed to load, in milliseconds.
 */
const BLOCK_MS = 30_000;
const MAX_BLOCKED = 10_000;

interface TrackedOrder extends OpenOrder {
  readonly generation: number;
  readonly fencing: number;
  readonly deadlineAt: number;
}

/**
 * Orders whose effect has not been announced yet, at most one for each server, and the servers that
 * failed to load a version.
 *
 * @internal
 */
export class OpenOrders {
  private readonly orders = new Map<string, TrackedOrder>();
  /** Time until which a server is not ordered to load a version, by `server version`. */
  private readonly blocked = new Map<string, number>();

  // Commands.

  /** Adds an order that is about to be sent; it replaces an earlier order for the server. */
  add(order: PlannedOrder, fencing: number, timeoutMs: number): void {
    const {action, server, version} = order;
    this.orders.set(server.id, {
      action,
      version,
      fencing,
      generation: server.generation,
      deadlineAt: performance.now() + timeoutMs,
    });
  }

  /** Closes an order that had no effect, unless a later one has replaced it. */
  close(server: string, fencing: number): void {
    if (this.orders.get(server)?.fencing === fencing) {
      this.orders.delete(server);
    }
  }

  /** Closes the orders that have taken effect or timed out, or whose server has restarted. */
  update(servers: readonly ReportedServer[]): void {
    const byId = new Map(servers.map(server => [server.id, server]));
    const now = performance.now();
    for (const [id, order] of this.orders) {
      const server = byId.get(id);
      const isRestarted = server && server.generation !== order.generation;
      if (isRestarted || (server && isDone(order, server))) {
        this.orders.delete(id);
        continue;
      }
      if (now < order.deadlineAt) continue;
      this.orders.delete(id);
      if (order.action === 'load') this.markFailed(id, order);
    }
    for (const [key, until] of this.blocked) {
      if (until <= now) this.blocked.delete(key);
    }
  }

  /** Removes all orders and blocks. */
  clear(): void {
    this.orders.clear();
    this.blocked.clear();
  }

  private markFailed(server: string, {version}: OpenOrder): void {
    if (this.blocked.size >= MAX_BLOCKED) return;
    const key = `${server} ${formatVersionKey(version)}`;
    this.blocked.set(key, performance.now() + BLOCK_MS);
  }

  // Queries.

  /** Returns the open orders by server. */
  list(): ReadonlyMap<string, OpenOrder> {
    return this.orders;
  }

  /** Returns whether a server has recently failed to load a version. */
  isBlocked(server: string, versionKey: string): boolean {
    return this.blocked.has(`${server} ${versionKey}`);
  }
}

function isDone(order: OpenOrder, server: ReportedServer): boolean {
  const key = formatVersionKey(order.version);
  const isLoaded = server.versions.some(
    loaded => formatVersionKey(loaded) === key,
  );
  return isLoaded === (order.action === 'load');
}
