import type {KnownServer} from './KnownServer.js';

/**
 * Requests that a slow server may get, relative to an equal share. More than one, since the others may
 * be overloaded.
 */
const MAX_SHARE = 1.4;

/**
 * Limits backend servers that have just started, or return after a pause or a limit that they asked for,
 * to little more than an equal share of the requests. They are idle, so all entries would choose them
 * at the same time, and the answers of those that have just started take longer.
 *
 * @internal
 */
export class SlowStart {
  /** The requests, in whole and in part, that each slow server may get from this entry. */
  private readonly credits = new WeakMap<KnownServer, number>();

  constructor(private readonly isSlow: (server: KnownServer) => boolean) {}

  // Commands.

  /** Records which of the servers gets a request; each slow one earns its share of it. */
  recordChoice(servers: readonly KnownServer[], chosen: KnownServer): void {
    for (const server of servers) {
      if (!this.isSlow(server)) continue;
      // The first requests of many entries are spread over the time in which each earns one.
      const credit = this.credits.get(server) ?? Math.random();
      const earned = MAX_SHARE / servers.length;
      this.credits.set(server, Math.min(1, credit + earned));
    }
    if (!this.isSlow(chosen)) return;
    this.credits.set(chosen, Math.max(0, this.getCredit(chosen) - 1));
  }

  // Queries.

  /** Lists the servers that may get the next request; all of them if none has earned it. */
  filterServers(servers: readonly KnownServer[]): readonly KnownServer[] {
    const permitted = servers.filter(
      server => !this.isSlow(server) || this.getCredit(server) >= 1,
    );
    return permitted.length > 0 ? permitted : servers;
  }

  private getCredit(server: KnownServer): number {
    return this.credits.get(server) ?? 0;
  }
}
