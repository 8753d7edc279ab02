import {ReportedServer, formatVersionKey} from '@sycamorehead/schema';
import type {OpenOrder, PlannedOrder} from './planPlacement.js';

/** Time for which a server that failed to load a version is not asked again. */
const BLOCK_MS = 30_000;
const MAX_BLOCKED = 10_000;

interface TrackedOrder extends OpenOrder {
  readonly generation: number;
  readonly fencing: number;
  readonly deadlineAt: number;
}

/**
 * Orders whose effect is not announced yet, at most one for each server, and the servers that
 * failed to load.
 *
 * @internal
 */
export class OpenOrders {
  private readonly orders = new Map<string, TrackedOrder>();
  /** Until when a server is not asked to load a version, by `server version`. */
  private readonly blocked = new Map<string, number>();

  // Commands.

  /** Notes an order about to be sent; a later one for the server replaces it. */
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

  /** Closes the orders whose effect is announced, whose server restarted, or that are overdue. */
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

  /** Forgets everything. */
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

  /** Tells whether a server has lately failed to load a version. */
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
