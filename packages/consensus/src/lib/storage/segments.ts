import {SycamoreheadError} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import type {LogEntry, LogPosition} from '../logTypes.js';
import type {Disk} from './Disk.js';
import {readRecords} from './records.js';

const log = createLogger('storage');

const SEGMENT_NAME = /^log-(\d{12})$/;
const SEQUENCE_DIGITS = 12;

/** One segment file. @internal */
export interface SegmentInfo {
  readonly name: string;
  readonly sequence: number;
  bytes: number;
  /** Highest index in the file, including replaced entries. */
  lastIndex: number;
}

/** The log that was loaded from the segments. @internal */
export interface LoadedLog {
  readonly segments: SegmentInfo[];
  /** Position before the first entry. */
  readonly base: LogPosition;
  readonly entries: LogEntry[];
  readonly bytes: number;
  /** Whether the entries end before the snapshot or conflict with it and are discarded. */
  readonly isDiscarded: boolean;
}

interface SegmentHeader {
  readonly base: LogPosition;
  readonly isReset: boolean;
}

/** Formats the name of a segment file. @internal */
export function formatSegmentName(sequence: number): string {
  return `log-${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`;
}

/** Lists the segment files among the names of a folder, oldest first. @internal */
export function listSegments(names: readonly string[]): string[] {
  return names.filter(name => SEGMENT_NAME.test(name)).sort();
}

/** Reads the segments and combines them into one log. @internal */
export async function loadSegments(
  disk: Disk,
  names: readonly string[],
  snapshot: LogPosition | undefined,
): Promise<LoadedLog> {
  const reader = new SegmentReader(snapshot?.index ?? 0);
  for (const [position, name] of names.entries()) {
    const isLast = position === names.length - 1;
    const data = await disk.read(name);
    const {bodies, validBytes} = readRecords(name, data, isLast);
    if (validBytes < data.length) {
      log('torn_tail_truncated', {name, from: data.length, to: validBytes});
      await disk.truncate(name, validBytes);
    }
    if (bodies.length === 0 && isLast) {
      await disk.remove(name);
      continue;
    }
    reader.addSegment(name, bodies, validBytes);
  }
  return reader.finish(snapshot);
}

class SegmentReader {
  private readonly segments: SegmentInfo[] = [];
  private base: LogPosition = {index: 0, term: 0};
  private entries: LogEntry[] = [];
  private bytes = 0;

  constructor(private readonly snapshotIndex: number) {}

  addSegment(name: string, bodies: readonly string[], bytes: number): void {
    const sequence = Number(SEGMENT_NAME.exec(name)?.[1]);
    const header = JSON.parse(bodies[0] ?? 'null') as SegmentHeader;
    this.addHeader(name, header);
    const segment = {name, sequence, bytes, lastIndex: header.base.index};
    for (const body of bodies.slice(1)) {
      for (const entry of JSON.parse(body) as LogEntry[]) {
        this.addEntry(name, entry);
        segment.lastIndex = Math.max(segment.lastIndex, entry.index);
      }
    }
    this.bytes += bytes;
    this.segments.push(segment);
    this.dropCovered();
  }

  finish(snapshot: LogPosition | undefined): LoadedLog {
    const {segments, base, entries, bytes} = this;
    const [first] = segments;
    if (first && base.index > this.snapshotIndex) {
      failLoading(first.name, base.index + 1);
    }
    const isDiscarded = snapshot !== undefined && !this.hasPosition(snapshot);
    if (!isDiscarded) return {segments, base, entries, bytes, isDiscarded};
    const {index, term} = snapshot;
    return {segments, base: {index, term}, entries: [], bytes: 0, isDiscarded};
  }

  private addHeader(name: string, {base, isReset}: SegmentHeader): void {
    if (this.segments.length === 0 || isReset) {
      this.base = base;
      this.entries = [];
      return;
    }
    if (this.hasPosition(base) && this.getLastIndex() === base.index) return;
    // The snapshot covers this gap: some of the segments before it may have been removed already.
    if (base.index > this.snapshotIndex) failLoading(name, base.index);
    this.base = base;
    this.entries = [];
  }

  private addEntry(name: string, entry: LogEntry): void {
    // It replaced entries of a segment that was removed because the snapshot covers all of them.
    const isCovered =
      entry.index <= this.base.index && entry.index <= this.snapshotIndex;
    if (isCovered) {
      this.base = {index: entry.index, term: entry.term};
      this.entries = [];
      return;
    }
    const offset = entry.index - this.base.index - 1;
    if (offset < 0 || offset > this.entries.length) {
      failLoading(name, entry.index);
    }
    this.entries.length = offset;
    this.entries.push(entry);
  }

  /** Drops entries that the snapshot covers, so that the whole log need not fit into memory. */
  private dropCovered(): void {
    const last = Math.min(this.snapshotIndex, this.getLastIndex());
    const entry = this.entries[last - this.base.index - 1];
    if (!entry) return;
    this.entries = this.entries.slice(last - this.base.index);
    this.base = {index: entry.index, term: entry.term};
  }

  private getLastIndex(): number {
    return this.base.index + this.entries.length;
  }

  private hasPosition({index, term}: LogPosition): boolean {
    if (index === this.base.index) return term === this.base.term;
    return this.entries[index - this.base.index - 1]?.term === term;
  }
}

function failLoading(name: string, index: number): never {
  throw new SycamoreheadError(
    'storage_failed',
    `${name}: entry ${index} does not follow the entries before it`,
  );
}
