import {SycamoreheadError} from '@sycamorehead/schema';
import type {LogEntry, LogPosition, Membership} from './logTypes.js';

interface RetainedEntry {
  readonly entry: LogEntry;
  /** Length of the entry as JSON. */
  readonly bytes: number;
}

interface PositionedMembership {
  readonly index: number;
  readonly members: Membership;
}

/**
 * The log entries that are retained in memory, with the membership in force at each position.
 *
 * @internal
 */
export class EntryLog {
  private retained: RetainedEntry[] = [];
  private retainedBytes = 0;
  private start: LogPosition = {index: 0, term: 0};
  /** Memberships since `start`, oldest first. The first one is in force at `start` itself. */
  private memberships: PositionedMembership[] = [{index: 0, members: []}];

  /** Position before the first retained entry. */
  get base(): LogPosition {
    return this.start;
  }

  get lastIndex(): number {
    return this.start.index + this.retained.length;
  }

  get last(): LogPosition {
    return this.retained.at(-1)?.entry ?? this.start;
  }

  /** Bytes of the retained entries as JSON. */
  get bytes(): number {
    return this.retainedBytes;
  }

  /** The newest membership in the log, committed or not. */
  get members(): Membership {
    return this.memberships.at(-1)?.members ?? [];
  }

  /** Index of the entry that contains the newest membership. */
  get membershipIndex(): number {
    return this.memberships.at(-1)?.index ?? 0;
  }

  /** Returns the membership in force at an index. */
  getMembersAt(index: number): Membership {
    return this.memberships.findLast(at => at.index <= index)?.members ?? [];
  }

  /** Returns the term of an entry, or undefined if it is not retained. */
  getTerm(index: number): number | undefined {
    if (index === this.start.index) return this.start.term;
    return this.retained[index - this.start.index - 1]?.entry.term;
  }

  get(index: number): LogEntry | undefined {
    return this.retained[index - this.start.index - 1]?.entry;
  }

  /**
   * Returns retained entries from an index on, up to a maximum count and size. A first entry that
   * exceeds the maximum size is returned alone.
   */
  listFrom(from: number, maxCount: number, maxBytes: number): LogEntry[] {
    const entries: LogEntry[] = [];
    let bytes = 0;
    for (let index = from; index <= this.lastIndex; index++) {
      const retained = this.retained[index - this.start.index - 1];
      if (!retained || entries.length >= maxCount) break;
      bytes += retained.bytes;
      if (entries.length > 0 && bytes > maxBytes) break;
      entries.push(retained.entry);
    }
    return entries;
  }

  /** Returns the bytes of the retained entries from one index to another, both included. */
  measure(from: number, to: number): number {
    const first = Math.max(0, from - this.start.index - 1);
    const retained = this.retained.slice(first, to - this.start.index);
    return retained.reduce((sum, {bytes}) => sum + bytes, 0);
  }

  /**
   * Returns the position after which at most a count and a size of entries remain up to an index.
   */
  findTrailingStart(index: number, maxCount: number, maxBytes: number): number {
    let from = Math.min(index, this.lastIndex);
    let bytes = 0;
    while (from > this.start.index && index - from < maxCount) {
      bytes += this.retained[from - this.start.index - 1]?.bytes ?? 0;
      if (bytes > maxBytes) break;
      from -= 1;
    }
    return from;
  }

  /** Returns the first index of the consecutive entries with the same term as the given one. */
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
    const bytes = text.length;
    this.retained.push({entry, bytes});
    this.retainedBytes += bytes;
    if (entry.type === 'membership') {
      this.memberships.push({index: entry.index, members: entry.members});
    }
    return text;
  }

  /** Removes the entry at an index and all later ones. */
  truncate(from: number): void {
    const kept = Math.max(0, from - this.start.index - 1);
    this.dropRetained(kept, this.retained.length - kept);
    while ((this.memberships.at(-1)?.index ?? 0) >= from) {
      this.memberships.pop();
    }
  }

  /** Removes the entries up to and including an index, which a snapshot must cover. */
  compact(index: number): void {
    const term = this.getTerm(index);
    if (term === undefined || index <= this.start.index) return;
    this.dropRetained(0, index - this.start.index);
    this.start = {index, term};
    this.dropOldMemberships(index);
  }

  /** Discards all entries. The log continues after `base` with the membership in force there. */
  reset(base: LogPosition, members: Membership): void {
    this.retained = [];
    this.retainedBytes = 0;
    this.start = {index: base.index, term: base.term};
    this.memberships = [{index: base.index, members}];
  }

  private dropRetained(start: number, count: number): void {
    for (const {bytes} of this.retained.splice(start, count)) {
      this.retainedBytes -= bytes;
    }
  }

  private dropOldMemberships(index: number): void {
    while ((this.memberships[1]?.index ?? Infinity) <= index) {
      this.memberships.shift();
    }
  }
}
