import {createHash} from 'node:crypto';
import {createLogger} from '@sycamorehead/telemetry';
import {CatchUpProgress} from './CatchUpProgress.js';
import type {
  AppendReply,
  ConsensusTransport,
  SnapshotRequest,
} from './consensusMessages.js';
import type {Member, Snapshot} from './logTypes.js';
import type {RaftState} from './RaftState.js';
import type {RaftTiming} from './raftTiming.js';
import {Signal} from './Signal.js';

const log = createLogger('consensus');

const MAX_BATCH_ENTRIES = 1_000;
/** Maximum size of a batch of entries; a larger entry is sent alone. */
const MAX_BATCH_BYTES = 256 * 1024;
/** Size of the chunks of a snapshot; small, since a link that is lost loses the chunk under way. */
const CHUNK_BYTES = 64 * 1024;

/** The dependencies that the leader passes to the replicator of a peer. @internal */
export interface ReplicatorContext {
  readonly state: RaftState;
  readonly transport: ConsensusTransport;
  readonly timing: RaftTiming;
  readonly shard: number;
  readonly term: number;
  /** Returns the number of the newest confirmation round. */
  getRound(): number;
  /** Called after each reply of the peer that acknowledges this leader. */
  onProgress(): void;
  onHigherTerm(term: number): void;
}

/**
 * Sends entries, snapshots and heartbeats from the leader to one peer until stopped. Entries and
 * snapshots are sent one request at a time; heartbeats do not wait for a request that takes long.
 *
 * @internal
 */
export class PeerReplicator {
  /** Last index that the peer is known to have synced. */
  matchIndex = 0;
  /** Newest confirmation round that the peer has acknowledged. */
  ackedRound = 0;
  /** Time at which the newest acknowledged request was sent. */
  lastAckAt = performance.now();
  private readonly progress = new CatchUpProgress();
  private nextIndex: number;
  private sentRound = 0;
  private isStopped = false;
  private isSending = false;
  private readonly signal = new Signal();
  private readonly heartbeatSignal = new Signal();
  private readonly stopSignal = new Signal();

  constructor(
    private readonly context: ReplicatorContext,
    readonly member: Member,
  ) {
    // Most peers lack only the first entry of the new term, so replication starts there.
    this.nextIndex = Math.max(1, context.state.entries.lastIndex);
  }

  /**
   * Whether the peer still answers and has what the log held less than an election timeout before, so that
   * the group does not wait for it once it is a voter.
   */
  get isCaughtUp(): boolean {
    const {state, timing} = this.context;
    const silentMs = performance.now() - this.lastAckAt;
    if (silentMs > timing.electionMaxMs) return false;
    return (
      this.matchIndex >= state.entries.lastIndex ||
      this.progress.getLagMs() < timing.electionMinMs
    );
  }

  /** Replicates until stopped. */
  async run(): Promise<void> {
    await Promise.all([this.runReplication(), this.runHeartbeats()]);
  }

  private async runReplication(): Promise<void> {
    const {heartbeatMs} = this.context.timing;
    while (!this.isStopped) {
      try {
        this.isSending = true;
        await this.sendNext().finally(() => (this.isSending = false));
        if (!this.hasWork()) await this.signal.wait(heartbeatMs);
      } catch (error) {
        if (this.isStopped) return;
        log('replication_failed', {peer: this.member.id, error: String(error)});
        await this.stopSignal.wait(heartbeatMs);
      }
    }
  }

  /** Sends heartbeats while a request of the replication is under way for longer than an interval. */
  private async runHeartbeats(): Promise<void> {
    const {heartbeatMs} = this.context.timing;
    while (!this.isStopped) {
      await this.heartbeatSignal.wait(heartbeatMs);
      const isLate = performance.now() - this.lastAckAt > heartbeatMs;
      if (this.isStopped || !this.isSending || !isLate) continue;
      try {
        await this.sendHeartbeat();
      } catch (error) {
        log('heartbeat_failed', {peer: this.member.id, error: String(error)});
      }
    }
  }

  /** Wakes the replicator for new entries or a new confirmation round. */
  notify(): void {
    this.signal.notify();
  }

  /** Stops the replicator. */
  stop(): void {
    this.isStopped = true;
    this.signal.notify();
    this.heartbeatSignal.notify();
    this.stopSignal.notify();
  }

  private hasWork(): boolean {
    const {state, getRound} = this.context;
    return (
      this.nextIndex <= state.entries.lastIndex || this.sentRound < getRound()
    );
  }

  private async sendNext(): Promise<void> {
    return this.isSnapshotShorter() ? this.sendSnapshot() : this.sendEntries();
  }

  /** Returns whether the peer lacks more bytes of entries than the newest snapshot has. */
  private isSnapshotShorter(): boolean {
    const {entries, snapshot} = this.context.state;
    if (entries.getTerm(this.nextIndex - 1) === undefined) return true;
    if (!snapshot || this.nextIndex > snapshot.index) return false;
    const bytes = entries.measure(this.nextIndex, snapshot.index);
    return bytes > snapshot.data.length;
  }

  /** Sends an append request without entries, which neither advances nor repeats the replication. */
  private async sendHeartbeat(): Promise<void> {
    const {state, transport, timing} = this.context;
    const round = this.context.getRound();
    const sentAt = performance.now();
    const reply = await transport.call(
      this.member.address,
      {
        type: 'append',
        ...this.getHeader(),
        previousIndex: this.matchIndex,
        previousTerm: state.entries.getTerm(this.matchIndex) ?? 0,
        entries: [],
        commitIndex: state.commitIndex,
      },
      timing.requestTimeoutMs,
    );
    if (this.acceptReply(reply.term, round, sentAt)) this.context.onProgress();
  }

  private async sendEntries(): Promise<void> {
    const {state, transport, timing} = this.context;
    const previousIndex = this.nextIndex - 1;
    const round = this.context.getRound();
    const sentAt = performance.now();
    const entries = state.entries.listFrom(
      this.nextIndex,
      MAX_BATCH_ENTRIES,
      MAX_BATCH_BYTES,
    );
    const bytes = state.entries.measure(
      this.nextIndex,
      previousIndex + entries.length,
    );
    const reply = await transport.call(
      this.member.address,
      {
        type: 'append',
        ...this.getHeader(),
        previousIndex,
        previousTerm: state.entries.getTerm(previousIndex) ?? 0,
        entries,
        commitIndex: state.commitIndex,
      },
      timing.requestTimeoutMs + computeTransferMs(bytes, timing),
    );
    if (!this.acceptReply(reply.term, round, sentAt)) return;
    this.applyAppendReply(reply, previousIndex);
    this.context.onProgress();
  }

  private applyAppendReply(reply: AppendReply, previousIndex: number): void {
    if (reply.isMatching) {
      this.recordMatch(reply.index);
      return;
    }
    const next = Math.min(reply.index, previousIndex);
    this.nextIndex = Math.max(this.matchIndex + 1, next, 1);
  }

  private recordMatch(index: number): void {
    this.matchIndex = Math.max(this.matchIndex, index);
    this.nextIndex = this.matchIndex + 1;
    this.progress.record(this.matchIndex, this.context.state.entries.lastIndex);
  }

  private async sendSnapshot(): Promise<void> {
    const {snapshot} = this.context.state;
    if (!snapshot)
      throw new Error(
        `entry ${this.nextIndex - 1} was compacted, but no snapshot exists`,
      );
    const {data, index} = snapshot;
    const digest = createHash('sha256').update(data).digest('hex');
    let offset = 0;
    while (!this.isStopped) {
      const round = this.context.getRound();
      const sentAt = performance.now();
      const reply = await this.context.transport.call(
        this.member.address,
        this.buildChunk(snapshot, digest, offset),
        this.context.timing.chunkTimeoutMs,
      );
      if (!this.acceptReply(reply.term, round, sentAt)) return;
      if (reply.isInstalled) this.recordMatch(index);
      this.context.onProgress();
      if (reply.isInstalled) return;
      offset = Math.min(reply.nextOffset, data.length);
    }
  }

  private buildChunk(
    snapshot: Snapshot,
    digest: string,
    offset: number,
  ): SnapshotRequest {
    const {index, term, members, data} = snapshot;
    return {
      type: 'snapshot',
      ...this.getHeader(),
      index,
      snapshotTerm: term,
      members,
      digest,
      totalBytes: data.length,
      offset,
      chunk: data.subarray(offset, offset + CHUNK_BYTES).toString('base64'),
    };
  }

  private getHeader() {
    const {state, shard, term} = this.context;
    return {
      shard,
      group: state.vote.group,
      from: state.id,
      to: this.member.id,
      term,
    };
  }

  /** Records a reply and returns whether it acknowledges this leader in its term. */
  private acceptReply(term: number, round: number, sentAt: number): boolean {
    this.sentRound = Math.max(this.sentRound, round);
    if (this.isStopped) return false;
    if (term > this.context.term) {
      this.context.onHigherTerm(term);
      return false;
    }
    this.ackedRound = Math.max(this.ackedRound, round);
    this.lastAckAt = Math.max(this.lastAckAt, sentAt);
    return true;
  }
}

/** Computes the time allowed for the transfer of some bytes beyond that of a small request. */
function computeTransferMs(
  bytes: number,
  {chunkTimeoutMs}: RaftTiming,
): number {
  return chunkTimeoutMs * Math.floor(bytes / CHUNK_BYTES);
}
