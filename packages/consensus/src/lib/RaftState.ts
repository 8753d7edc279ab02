import {JsonValue, SycamoreheadError} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import {EntryLog} from './EntryLog.js';
import type {LogEntry, Snapshot, VoteRecord} from './logTypes.js';
import type {LogRole, StateMachine} from './ReplicatedLog.js';
import {LogStorage} from './storage/LogStorage.js';

const log = createLogger('consensus');

/**
 * Number of entries retained although a snapshot covers them, so that a member slightly behind
 * needs no snapshot.
 */
const TRAILING_ENTRIES = 1_000;
/**
 * Bytes of entries retained although a snapshot covers them. Entries hold whole documents, so their
 * number alone does not limit the memory and disk space that they occupy.
 */
const TRAILING_BYTES = 1024 * 1024;

/** Bytes of entries in memory below which a log is never full. */
const MIN_CAPACITY_BYTES = 16 * 1024 * 1024;
/** Bytes of entries in memory at which a log is full, in terms of those after which a snapshot is taken. */
const CAPACITY_FACTOR = 4;

/** Time after which a snapshot that the disk did not take is tried again, in milliseconds. */
const SNAPSHOT_RETRY_MS = 1_000;

/** Options of a RaftState. @internal */
export interface RaftStateOptions {
  readonly id: string;
  readonly storage: LogStorage;
  readonly machine: StateMachine;
  /**
   * Bytes of log after which a snapshot is taken. If the last snapshot is larger, its size is the
   * limit instead.
   */
  readonly snapshotBytes: number;
  readonly trailingEntries?: number;
  readonly trailingBytes?: number;
  /** Called once when the storage has failed. */
  readonly onFailure: (error: SycamoreheadError) => void;
}

/**
 * The Raft state of one member: its vote, its log, and the index up to which the log is committed
 * and applied.
 *
 * @internal
 */
export class RaftState {
  readonly entries = new EntryLog();
  readonly id: string;
  readonly storage: LogStorage;
  role: LogRole = 'follower';
  /** Member id of the leader, if known. */
  leader: string | undefined;
  vote: VoteRecord = {group: '', term: 0, votedFor: ''};
  commitIndex = 0;
  snapshot: Snapshot | undefined;
  failure: SycamoreheadError | undefined;
  /** Called with the result of each applied entry; set while this member leads. */
  onApplied: ((entry: LogEntry, result: JsonValue) => void) | undefined;
  private isCompacting = false;
  /** Monotonic time before which no snapshot is tried. */
  private nextSnapshotAt = -Infinity;

  constructor(private readonly options: RaftStateOptions) {
    this.id = options.id;
    this.storage = options.storage;
  }

  get term(): number {
    return this.vote.term;
  }

  /**
   * Whether more entries would take too much memory. Commands may arrive faster than they are committed
   * and snapshots are written.
   */
  get isFull(): boolean {
    const capacity = CAPACITY_FACTOR * this.compactionBytes;
    return this.entries.bytes >= Math.max(MIN_CAPACITY_BYTES, capacity);
  }

  /** Loads the vote, the snapshot and the log from the disk. */
  async load(): Promise<void> {
    const {vote, snapshot, base, entries} = await this.storage.load();
    this.vote = vote;
    this.entries.reset(base, snapshot?.members ?? []);
    for (const entry of entries) this.entries.append(entry);
    if (snapshot) this.applySnapshot(snapshot);
  }

  /** Persists a term and a vote, then adopts them. */
  async saveVote(
    term: number,
    votedFor: string,
    group = this.vote.group,
  ): Promise<void> {
    const vote = {group, term, votedFor};
    try {
      await this.storage.saveVote(vote);
    } catch (error) {
      this.fail(error);
      throw error;
    }
    this.vote = vote;
  }

  /** Advances the commit index and applies the newly committed entries. */
  advanceCommit(index: number): void {
    const last = Math.min(index, this.entries.lastIndex);
    try {
      while (this.commitIndex < last) this.applyNext();
    } catch (error) {
      // A partly applied command leaves this state machine inconsistent with those of the others.
      this.fail(error);
      throw error;
    }
    this.compactIfLarge();
  }

  /** Replaces all state up to the position of a snapshot, in memory and on disk. */
  async installSnapshot(snapshot: Snapshot): Promise<void> {
    const {index, term, members} = snapshot;
    const isReset = this.entries.getTerm(index) !== term;
    await this.storage.saveSnapshot(snapshot, index, isReset);
    if (isReset) this.entries.reset({index, term}, members);
    else this.entries.compact(index);
    this.applySnapshot(snapshot);
    log('snapshot_installed', {index, term});
  }

  /** Records a failure, after which the member takes no further part in the group. */
  fail(error: unknown): void {
    if (this.failure) return;
    this.failure =
      error instanceof SycamoreheadError
        ? error
        : new SycamoreheadError('storage_failed', String(error), {
            cause: error,
          });
    this.options.onFailure(this.failure);
  }

  private applySnapshot(snapshot: Snapshot): void {
    this.snapshot = snapshot;
    this.commitIndex = snapshot.index;
    this.options.machine.restoreSnapshot(
      JSON.parse(snapshot.data.toString('utf8')) as JsonValue,
    );
  }

  private applyNext(): void {
    const entry = this.entries.get(this.commitIndex + 1);
    if (!entry) throw new Error(`entry ${this.commitIndex + 1} is missing`);
    this.commitIndex = entry.index;
    const result =
      entry.type === 'command'
        ? this.options.machine.apply(entry.command, entry.index)
        : null;
    this.onApplied?.(entry, result);
  }

  /** Bytes of log after which a snapshot is taken. */
  private get compactionBytes(): number {
    const snapshotBytes = this.snapshot?.data.length ?? 0;
    return Math.max(this.options.snapshotBytes, snapshotBytes);
  }

  private get trailingBytes(): number {
    return this.options.trailingBytes ?? TRAILING_BYTES;
  }

  private get isLarge(): boolean {
    const {compactionBytes, trailingBytes} = this;
    return (
      this.storage.bytesSinceSnapshot >= compactionBytes ||
      // Entries that were written while the last snapshot was.
      this.entries.bytes >= trailingBytes + compactionBytes
    );
  }

  private compactIfLarge(): void {
    const isCovered = this.commitIndex <= (this.snapshot?.index ?? 0);
    if (this.isCompacting || isCovered || !this.isLarge) return;
    if (performance.now() < this.nextSnapshotAt) return;
    this.isCompacting = true;
    this.compact().then(
      () => {
        this.isCompacting = false;
        // Nothing more may be committed before what was committed meanwhile is compacted.
        this.compactIfLarge();
      },
      (error: unknown) => this.fail(error),
    );
  }

  private async compact(): Promise<void> {
    const index = this.commitIndex;
    const term = this.entries.getTerm(index);
    if (term === undefined || index === this.snapshot?.index) return;
    const state = this.options.machine.takeSnapshot();
    const snapshot: Snapshot = {
      index,
      term,
      members: this.entries.getMembersAt(index),
      data: Buffer.from(JSON.stringify(state), 'utf8'),
    };
    const retainAfter = this.entries.findTrailingStart(
      index,
      this.options.trailingEntries ?? TRAILING_ENTRIES,
      this.trailingBytes,
    );
    const isSaved = await this.storage.trySaveSnapshot(snapshot, retainAfter);
    if (!isSaved) {
      this.nextSnapshotAt = performance.now() + SNAPSHOT_RETRY_MS;
      return;
    }
    if (index <= (this.snapshot?.index ?? 0)) return;
    this.snapshot = snapshot;
    this.entries.compact(retainAfter);
  }
}
