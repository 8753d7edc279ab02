import type {Announcement} from '@sycamorehead/schema';
import {AliveServer, encodeLoadLevel} from './heartbeats.js';
import type {InterestChange} from './InterestList.js';

const MAX_PLACES = 20_000;
const MAX_PEERS = 256;

/** A peer's list of interests, or what has changed of it. @internal */
export interface InterestMessage {
  readonly from: string;
  /** Whether the changes are the whole list. */
  readonly full: boolean;
  readonly changes: readonly InterestChange[];
}

/**
 * Which servers each peer wants to hear of in heartbeats, and at which place of its list.
 *
 * @internal
 */
export class PeerInterests {
  private readonly peers = new Map<string, Map<string, number>>();

  // Commands.

  /** Takes a peer's message; lists of entries that no longer run make room for new ones. */
  receive(message: InterestMessage, entries: readonly string[]): void {
    const {from, full, changes} = message;
    if (!this.peers.has(from) && this.peers.size >= MAX_PEERS) {
      this.prune(entries);
    }
    const before = this.peers.get(from);
    const places = before && !full ? before : new Map<string, number>();
    this.peers.set(from, places);
    const freed = new Set<number>();
    for (const [place, id] of changes) {
      if (id === null) freed.add(place);
    }
    for (const [id, place] of places) {
      if (freed.has(place)) places.delete(id);
    }
    for (const [place, id] of changes) {
      if (id !== null && place >= 0 && place < MAX_PLACES) {
        places.set(id, place);
      }
    }
  }

  private prune(entries: readonly string[]): void {
    for (const name of this.peers.keys()) {
      if (!entries.includes(name)) this.peers.delete(name);
    }
  }

  // Queries.

  /** Lists those of the heard servers that a peer wants, in the order of their places. */
  filterByInterest(
    peer: string,
    heard: readonly Announcement[],
  ): AliveServer[] {
    const places = this.peers.get(peer);
    const wanted: AliveServer[] = [];
    for (const announcement of places ? heard : []) {
      const place = places?.get(announcement.id);
      if (place === undefined) continue;
      wanted.push({position: place, level: encodeLoadLevel(announcement)});
    }
    return wanted.sort((left, right) => left.position - right.position);
  }
}
