import {JsonValue, SycamoreheadError} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import {EntryLog} from './EntryLog.js';
import type {LogEntry, Snapshot, VoteRecord} from './logTypes.js';
import type {LogRole, StateMachine} from './ReplicatedLog.js';
import {LogStorage} from './storage/LogStorage.js';

const log = createLogger('consensus');

/** Entries kept behind a snapshot, so that a member that is a little late needs no snapshot. */
const TRAILING_ENTRIES = 1_000;

/** Settings of a RaftState. @internal */
export interface RaftStateOptions {
  readonly id: string;
  readonly storage: LogStorage;
  readonly machine: StateMachine;
  /** Bytes of log after which a snapshot is taken; a larger snapshot raises it to its own size. */
  readonly snapshotBytes: number;
  readonly trailingEntries?: number;
  /** Called once, when the storage has failed. */
  readonly onFailure: (error: SycamoreheadError) => void;
}

/**
 * What one member knows: its vote, the log, and how far it is committed and applied.
 *
 * @internal
 */
export class RaftState {
  readonly entries = new EntryLog();
  readonly id: string;
  readonly storage: LogStorage;
  role: LogRole = 'follower';
  /** Member id of the known leader. */
  leader: string | undefined;
  vote: VoteRecord = {group: '', term: 0, votedFor: ''};
  commitIndex = 0;
  snapshot: Snapshot | undefined;
  failure: SycamoreheadError | undefined;
  /** Set by the leader to learn of results. */
  onApplied: ((entry: LogEntry, result: JsonValue) => void) | undefined;
  private isCompacting = false;

  constructor(private readonly options: RaftStateOptions) {
    this.id = options.id;
    this.storage = options.storage;
  }

  get term(): number {
    return this.vote.term;
  }

  /** Reads everything back from the disk. */
  async load(): Promise<void> {
    const {vote, snapshot, base, entries} = await this.storage.load();
    this.vote = vote;
    this.entries.reset(base, snapshot?.members ?? []);
    for (const entry of entries) this.entries.append(entry);
    if (snapshot) this.useSnapshot(snapshot);
  }

  /** Makes a term with a vote durable, then takes it. */
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

  /** Advances the commit index and applies what that commits. */
  advanceCommit(index: number): void {
    const last = Math.min(index, this.entries.lastIndex);
    try {
      while (this.commitIndex < last) this.applyNext();
    } catch (error) {
      // A command applied in part leaves a state that no other member has.
      this.fail(error);
      throw error;
    }
    this.compactIfLarge();
  }

  /** Replaces everything up to a snapshot's position, in memory and on disk. */
  async installSnapshot(snapshot: Snapshot): Promise<void> {
    const {index, term, members} = snapshot;
    const isReset = this.entries.getTerm(index) !== term;
    await this.storage.saveSnapshot(snapshot, index, isReset);
    if (isReset) this.entries.reset({index, term}, members);
    this.useSnapshot(snapshot);
    log('snapshot_installed', {index, term});
  }

  /** Records that the storage failed; the member takes no further part. */
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

  private useSnapshot(snapshot: Snapshot): void {
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

  private compactIfLarge(): void {
    const limit = Math.max(
      this.options.snapshotBytes,
      this.snapshot?.data.length ?? 0,
    );
    if (this.isCompacting || this.storage.bytesSinceSnapshot < limit) return;
    this.isCompacting = true;
    this.compact().then(
      () => (this.isCompacting = false),
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
    const kept = this.options.trailingEntries ?? TRAILING_ENTRIES;
    await this.storage.saveSnapshot(snapshot, index - kept, false);
    if (index <= (this.snapshot?.index ?? 0)) return;
    this.snapshot = snapshot;
    this.entries.compact(index - kept);
  }
}
