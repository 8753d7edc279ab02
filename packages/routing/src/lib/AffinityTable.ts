const MAX_KEYS = 8_192;

/** The server that last ran a session or a prompt prefix; bounded, oldest use dropped first. @public */
export class AffinityTable {
  private readonly servers = new Map<string, string>();

  /** Notes that a server has run a key. */
  record(key: string, server: string): void {
    this.servers.delete(key);
    this.servers.set(key, server);
    if (this.servers.size <= MAX_KEYS) return;
    const [oldest] = this.servers.keys();
    this.servers.delete(oldest!);
  }

  /** Finds the server that last ran a key. */
  find(key: string): string | undefined {
    return this.servers.get(key);
  }
}
