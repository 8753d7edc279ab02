import {SycamoreheadError} from '@sycamorehead/schema';
import type {LogEntry, LogPosition, Membership} from './logTypes.js';

interface HeldEntry {
  readonly entry: LogEntry;
  /** The entry as JSON, encoded once for disk and size. */
  readonly text: string;
}

interface MembershipAt {
  readonly index: number;
  readonly members: Membership;
}

/**
 * The entries held in memory, with the membership that each position has.
 *
 * @internal
 */
export class EntryLog {
  private held: HeldEntry[] = [];
  private start: LogPosition = {index: 0, term: 0};
  /** Memberships at or behind the start, oldest first; the first holds at the start. */
  private memberships: MembershipAt[] = [{index: 0, members: []}];

  /** Position before the first held entry. */
  get base(): LogPosition {
    return this.start;
  }

  get lastIndex(): number {
    return this.start.index + this.held.length;
  }

  get last(): LogPosition {
    return this.held.at(-1)?.entry ?? this.start;
  }

  /** The newest membership in the log, committed or not. */
  get members(): Membership {
    return this.memberships.at(-1)?.members ?? [];
  }

  /** Index of the entry that the newest membership came with. */
  get membershipIndex(): number {
    return this.memberships.at(-1)?.index ?? 0;
  }

  /** Returns the membership at a position. */
  getMembersAt(index: number): Membership {
    return this.memberships.findLast(at => at.index <= index)?.members ?? [];
  }

  /** Returns the term of an entry, or undefined where it is not held. */
  getTerm(index: number): number | undefined {
    if (index === this.start.index) return this.start.term;
    return this.held[index - this.start.index - 1]?.entry.term;
  }

  get(index: number): LogEntry | undefined {
    return this.held[index - this.start.index - 1]?.entry;
  }

  /** Returns entries from an index on, up to a count and a size but at least one. */
  listFrom(from: number, maxCount: number, maxBytes: number): LogEntry[] {
    const entries: LogEntry[] = [];
    let bytes = 0;
    for (let index = from; index <= this.lastIndex; index++) {
      const held = this.held[index - this.start.index - 1];
      if (!held || entries.length >= maxCount) break;
      bytes += held.text.length;
      if (entries.length > 0 && bytes > maxBytes) break;
      entries.push(held.entry);
    }
    return entries;
  }

  /** Returns the first index of the run of entries that share the term of the one given. */
  findFirstOfTerm(index: number): number {
    const term = this.getTerm(index);
    let first = index;
    while (first > this.start.index + 1 && this.getTerm(first - 1) === term) {
      first -= 1;
    }
    return first;
  }

  /** Appends one entry and returns its JSON. */
  append(entry: LogEntry): string {
    if (entry.index !== this.lastIndex + 1) {
      throw new SycamoreheadError(
        'internal',
        `entry ${entry.index} does not follow ${this.lastIndex}`,
      );
    }
    const text = JSON.stringify(entry);
    this.held.push({entry, text});
    if (entry.type === 'membership') {
      this.memberships.push({index: entry.index, members: entry.members});
    }
    return text;
  }

  /** Drops the entry at an index and all behind it. */
  truncate(from: number): void {
    this.held.length = Math.max(0, from - this.start.index - 1);
    while ((this.memberships.at(-1)?.index ?? 0) >= from) {
      this.memberships.pop();
    }
  }

  /** Drops entries up to an index that a snapshot covers. */
  compact(index: number): void {
    const term = this.getTerm(index);
    if (term === undefined || index <= this.start.index) return;
    this.held.splice(0, index - this.start.index);
    this.start = {index, term};
    this.dropOldMemberships(index);
  }

  /** Replaces everything by a position with its membership. */
  reset(base: LogPosition, members: Membership): void {
    this.held = [];
    this.start = {index: base.index, term: base.term};
    this.memberships = [{index: base.index, members}];
  }

  private dropOldMemberships(index: number): void {
    while ((this.memberships[1]?.index ?? Infinity) <= index) {
      this.memberships.shift();
    }
  }
}
