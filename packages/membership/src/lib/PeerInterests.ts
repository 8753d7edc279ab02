import type {Announcement} from '@sycamorehead/schema';
import {AliveServer, encodeLoadLevel} from './heartbeats.js';
import type {InterestChange} from './InterestList.js';

const MAX_POSITIONS = 20_000;
const MAX_PEERS = 256;

/** A peer's complete interest list, or changes of it. @internal */
export interface InterestMessage {
  readonly from: string;
  /** Whether the changes are the complete list. */
  readonly full: boolean;
  readonly changes: readonly InterestChange[];
}

/**
 * The servers that each peer requests in heartbeats, with their positions in the peer's list.
 *
 * @internal
 */
export class PeerInterests {
  private readonly positionsByPeer = new Map<string, Map<string, number>>();

  // Commands.

  /**
   * Applies a peer's message. If the maximum number of lists is reached, those of entries that no
   * longer run are removed first.
   */
  receive(message: InterestMessage, entries: readonly string[]): void {
    const {from, full, changes} = message;
    if (
      !this.positionsByPeer.has(from) &&
      this.positionsByPeer.size >= MAX_PEERS
    ) {
      this.prune(entries);
    }
    const before = this.positionsByPeer.get(from);
    const positions = before && !full ? before : new Map<string, number>();
    this.positionsByPeer.set(from, positions);
    const freed = new Set<number>();
    for (const [position, id] of changes) {
      if (id === null) freed.add(position);
    }
    for (const [id, position] of positions) {
      if (freed.has(position)) positions.delete(id);
    }
    for (const [position, id] of changes) {
      if (id !== null && position >= 0 && position < MAX_POSITIONS) {
        positions.set(id, position);
      }
    }
  }

  private prune(entries: readonly string[]): void {
    for (const name of this.positionsByPeer.keys()) {
      if (!entries.includes(name)) this.positionsByPeer.delete(name);
    }
  }

  // Queries.

  /** Returns those of the given servers that a peer requests, in the order of their positions. */
  filterByInterest(
    peer: string,
    announcements: readonly Announcement[],
  ): AliveServer[] {
    const positions = this.positionsByPeer.get(peer);
    const servers: AliveServer[] = [];
    for (const announcement of positions ? announcements : []) {
      const position = positions?.get(announcement.id);
      if (position === undefined) continue;
      servers.push({position, level: encodeLoadLevel(announcement)});
    }
    return servers.sort((left, right) => left.position - right.position);
  }
}
