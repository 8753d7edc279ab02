import {SycamoreheadError} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import type {LogPosition, Snapshot, VoteRecord} from '../logTypes.js';
import type {AppendFile, Disk} from './Disk.js';
import {encodeRecord, readRecords} from './records.js';
import {
  LoadedLog,
  SegmentInfo,
  formatSegmentName,
  listSegments,
  loadSegments,
} from './segments.js';
import {readSnapshot, formatSnapshotName, encodeSnapshot} from './snapshots.js';

const log = createLogger('storage');

const VOTE_FILE = 'vote';
const DEFAULT_SEGMENT_BYTES = 8 * 1024 * 1024;

/** The state that was loaded from the disk. @internal */
export interface LoadedState extends LoadedLog {
  readonly vote: VoteRecord;
  readonly snapshot: Snapshot | undefined;
}

/** The number of syncs and appended entries since the start. @public */
export interface StorageCounts {
  readonly syncs: number;
  readonly entries: number;
}

interface Batch {
  readonly texts: string[];
  last: LogPosition;
  highestIndex: number;
  readonly done: Promise<void>;
  settle(error?: unknown): void;
}

/**
 * The durable state of one shard in one folder: segment files with entries, the newest snapshot
 * and the vote. Writes run one at a time. Entries that arrive during a write share the next record
 * and its sync (group commit). After the first failure all writes are rejected.
 *
 * @internal
 */
export class LogStorage {
  private segments: SegmentInfo[] = [];
  private file: AppendFile | undefined;
  private batch: Batch | undefined;
  private tail: Promise<unknown> = Promise.resolve();
  private failure: SycamoreheadError | undefined;
  private snapshotName: string | undefined;
  private snapshotIndex = 0;
  private last: LogPosition = {index: 0, term: 0};
  private syncCount = 0;
  private entryCount = 0;
  private writtenBytes = 0;
  /** The write of a snapshot's file, which runs beside the queue. */
  private snapshotWrite: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly disk: Disk,
    private readonly segmentBytes = DEFAULT_SEGMENT_BYTES,
  ) {}

  /** Bytes of entries written since the last snapshot. */
  get bytesSinceSnapshot(): number {
    return this.writtenBytes;
  }

  getCounts(): StorageCounts {
    return {syncs: this.syncCount, entries: this.entryCount};
  }

  /**
   * Loads all state and removes a last record whose write was interrupted by a power failure. What
   * is loaded is durable: a killed process may have left a record or a name unsynced, and this member
   * acknowledges what it has loaded without writing it again.
   *
   * @throws SycamoreheadError `storage_failed` if the data is damaged in any other way.
   */
  async load(): Promise<LoadedState> {
    return this.runGuarded(async () => {
      const names = await this.disk.list();
      const segmentNames = listSegments(names);
      // All other files are synced before they get their names or a successor.
      await this.disk.sync(segmentNames.slice(-1));
      const vote = await this.readVote(names);
      const snapshot = await readSnapshot(this.disk, names);
      if (snapshot) {
        this.snapshotName = formatSnapshotName(snapshot);
        this.snapshotIndex = snapshot.index;
      }
      const loaded = await loadSegments(this.disk, segmentNames, snapshot);
      this.segments = loaded.segments;
      this.writtenBytes = loaded.bytes;
      this.last = loaded.entries.at(-1) ?? loaded.base;
      if (this.last.index > 0 && vote.term === 0) {
        throw new Error(`${VOTE_FILE} is missing although the log has entries`);
      }
      if (loaded.isDiscarded) await this.startSegment(true);
      else await this.openLastSegment();
      await this.removeOldSnapshots(names);
      return {...loaded, vote, snapshot};
    });
  }

  /**
   * Appends entries and returns once they are synced. An entry with the index of an existing one
   * replaces that entry and all later ones.
   *
   * @throws SycamoreheadError `storage_failed`.
   */
  append(texts: readonly string[], last: LogPosition): Promise<void> {
    if (this.failure) return Promise.reject(this.failure);
    const batch = this.batch ?? this.startBatch();
    batch.texts.push(...texts);
    batch.highestIndex = Math.max(batch.highestIndex, last.index);
    batch.last = {index: last.index, term: last.term};
    this.entryCount += texts.length;
    return batch.done;
  }

  /** Returns once everything appended before the call is synced. */
  async flush(): Promise<void> {
    if (this.batch) await this.batch.done;
    await this.enqueue(async () => {});
  }

  /** Persists a vote. */
  async saveVote(vote: VoteRecord): Promise<void> {
    await this.enqueue(async () => {
      this.syncCount += 1;
      const record = encodeRecord(JSON.stringify(vote));
      await this.disk.replace(VOTE_FILE, record);
    });
  }

  /**
   * Persists a snapshot, then removes the segments without entries after `retainAfter`. If
   * `isReset` is set, the whole log is discarded and continues after the snapshot.
   */
  async saveSnapshot(
    snapshot: Snapshot,
    retainAfter: number,
    isReset: boolean,
  ): Promise<void> {
    await this.flush();
    await this.runGuarded(() => this.writeSnapshot(snapshot));
    await this.enqueue(() =>
      this.startSegmentAfterSnapshot(snapshot, retainAfter, isReset),
    );
  }

  /**
   * Persists a snapshot of the entries in the log, like `saveSnapshot`. Returns false if the disk does
   * not take the file: the log does without it, so that this is no failure of the storage.
   */
  async trySaveSnapshot(
    snapshot: Snapshot,
    retainAfter: number,
  ): Promise<boolean> {
    await this.flush();
    try {
      await this.writeSnapshot(snapshot);
    } catch (error) {
      log('snapshot_put_off', {index: snapshot.index, error: String(error)});
      return false;
    }
    await this.enqueue(() =>
      this.startSegmentAfterSnapshot(snapshot, retainAfter, false),
    );
    return true;
  }

  /** Waits for pending writes and closes the file. */
  async close(): Promise<void> {
    await this.snapshotWrite;
    await this.tail.catch(() => {});
    await this.file?.close().catch(() => {});
    this.file = undefined;
  }

  /** Writes outside of the queue, so that a large file does not delay entries and heartbeats. */
  private async writeSnapshot(snapshot: Snapshot): Promise<void> {
    const name = formatSnapshotName(snapshot);
    const write = this.disk.replace(name, encodeSnapshot(snapshot));
    this.snapshotWrite = write.catch(() => {});
    await write;
  }

  private async startSegmentAfterSnapshot(
    {index, term}: LogPosition,
    retainAfter: number,
    isReset: boolean,
  ): Promise<void> {
    const name = formatSnapshotName({index, term});
    // A snapshot from the leader may have been saved while this one was being written.
    if (index <= this.snapshotIndex) {
      if (name !== this.snapshotName) await this.disk.remove(name);
      return;
    }
    const previousName = this.snapshotName;
    this.snapshotIndex = index;
    this.snapshotName = name;
    this.syncCount += 1;
    this.writtenBytes = 0;
    if (isReset) this.last = {index, term};
    await this.startSegment(isReset);
    await this.removeSegments(isReset ? Infinity : retainAfter);
    if (previousName) await this.disk.remove(previousName);
    log('snapshot_saved', {index, term});
  }

  private startBatch(): Batch {
    let settle: Batch['settle'] = () => {};
    const done = new Promise<void>((resolve, reject) => {
      settle = error => (error === undefined ? resolve() : reject(error));
    });
    done.catch(() => {});
    const batch = {texts: [], last: this.last, highestIndex: 0, done, settle};
    this.batch = batch;
    this.enqueue(() => this.writeBatch(batch)).then(
      () => batch.settle(),
      (error: unknown) => batch.settle(error),
    );
    return batch;
  }

  private async writeBatch(batch: Batch): Promise<void> {
    if (this.batch === batch) this.batch = undefined;
    const record = encodeRecord(`[${batch.texts.join(',')}]`);
    const segment = this.segments.at(-1);
    if (!this.file || !segment)
      throw new Error('no log segment is open for writing');
    await this.file.append(record);
    await this.file.sync();
    this.syncCount += 1;
    this.writtenBytes += record.length;
    segment.bytes += record.length;
    segment.lastIndex = Math.max(segment.lastIndex, batch.highestIndex);
    this.last = batch.last;
    if (segment.bytes >= this.segmentBytes) {
      await this.startSegment(false);
    }
  }

  private async startSegment(isReset: boolean): Promise<void> {
    await this.file?.close();
    const sequence = (this.segments.at(-1)?.sequence ?? 0) + 1;
    const name = formatSegmentName(sequence);
    const header = encodeRecord(JSON.stringify({base: this.last, isReset}));
    this.file = await this.disk.create(name);
    await this.file.append(header);
    await this.file.sync();
    this.syncCount += 1;
    this.segments.push({
      name,
      sequence,
      bytes: header.length,
      lastIndex: this.last.index,
    });
  }

  private async openLastSegment(): Promise<void> {
    const segment = this.segments.at(-1);
    if (!segment) return this.startSegment(false);
    this.file = await this.disk.open(segment.name);
  }

  private async removeSegments(retainAfter: number): Promise<void> {
    while (this.segments.length > 1) {
      const [oldest] = this.segments;
      if (!oldest || oldest.lastIndex > retainAfter) return;
      await this.disk.remove(oldest.name);
      this.segments.shift();
    }
  }

  private async removeOldSnapshots(names: readonly string[]): Promise<void> {
    for (const name of names) {
      if (!name.startsWith('snapshot-') || name === this.snapshotName) continue;
      await this.disk.remove(name);
    }
  }

  private async readVote(names: readonly string[]): Promise<VoteRecord> {
    if (!names.includes(VOTE_FILE)) return {group: '', term: 0, votedFor: ''};
    const data = await this.disk.read(VOTE_FILE);
    const {bodies} = readRecords(VOTE_FILE, data, false);
    return JSON.parse(bodies[0] ?? 'null') as VoteRecord;
  }

  private enqueue<Result>(work: () => Promise<Result>): Promise<Result> {
    const result = this.tail.then(() => this.runGuarded(work));
    this.tail = result.catch(() => {});
    return result;
  }

  private async runGuarded<Result>(
    work: () => Promise<Result>,
  ): Promise<Result> {
    if (this.failure) throw this.failure;
    try {
      return await work();
    } catch (error) {
      // After a failed sync the kernel may have dropped the data, so a successful retry would not
      // prove that it is durable.
      this.failure = toStorageError(error);
      log('storage_failed', {error: this.failure.message});
      throw this.failure;
    }
  }
}

function toStorageError(error: unknown): SycamoreheadError {
  if (error instanceof SycamoreheadError) return error;
  const message = error instanceof Error ? error.message : String(error);
  return new SycamoreheadError('storage_failed', message, {cause: error});
}
