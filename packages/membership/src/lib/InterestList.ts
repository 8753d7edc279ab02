/** Time after which a freed position may be reused for another server, in milliseconds. */
const REUSE_DELAY_MS = 5_000;

/** A change of an interest list: the server now at a position, or null if none. @internal */
export type InterestChange = readonly [position: number, id: string | null];

/**
 * The servers that an entry asks its peers to include in heartbeats. Each server has a stable
 * position, so that a heartbeat needs only one bit per server. A freed position is not reused for a
 * while, since heartbeats in flight still refer to its previous server.
 *
 * @internal
 */
export class InterestList {
  private readonly servers: Array<string | null> = [];
  private readonly positions = new Map<string, number>();
  private readonly freedAt = new Map<number, number>();

  // Commands.

  /** Sets the servers of interest and returns the changes. */
  update(interests: ReadonlySet<string>): InterestChange[] {
    const changes: InterestChange[] = [];
    for (const [id, position] of this.positions) {
      if (interests.has(id)) continue;
      this.positions.delete(id);
      this.servers[position] = null;
      this.freedAt.set(position, performance.now());
      changes.push([position, null]);
    }
    for (const id of interests) {
      if (this.positions.has(id)) continue;
      const position = this.reservePosition();
      this.servers[position] = id;
      this.positions.set(id, position);
      changes.push([position, id]);
    }
    return changes;
  }

  // Queries.

  /** Returns the server at a position, or null if none. */
  get(position: number): string | null {
    return this.servers[position] ?? null;
  }

  /** Returns the complete list as changes to an empty one. */
  list(): InterestChange[] {
    return [...this.positions].map(([id, position]) => [position, id] as const);
  }

  private reservePosition(): number {
    const freedBefore = performance.now() - REUSE_DELAY_MS;
    for (const [position, freedAt] of this.freedAt) {
      if (freedAt > freedBefore) break;
      this.freedAt.delete(position);
      return position;
    }
    this.servers.push(null);
    return this.servers.length - 1;
  }
}
