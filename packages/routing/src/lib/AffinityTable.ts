import {evictOldest} from '@sycamorehead/schema';

const MAX_KEYS = 8_192;

/**
 * Maps sessions and prompt prefixes to the server that last ran them. The table is bounded and
 * evicts the least recently used key.
 *
 * @public
 */
export class AffinityTable {
  private readonly servers = new Map<string, string>();

  /** Records that a server has run a session or prefix. */
  record(key: string, server: string): void {
    this.servers.delete(key);
    this.servers.set(key, server);
    evictOldest(this.servers, MAX_KEYS);
  }

  /** Finds the server that last ran a session or prefix. */
  find(key: string): string | undefined {
    return this.servers.get(key);
  }
}
