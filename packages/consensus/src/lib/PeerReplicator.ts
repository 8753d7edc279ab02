import {createHash} from 'node:crypto';
import {createLogger} from '@sycamorehead/telemetry';
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
const MAX_BATCH_BYTES = 1024 * 1024;
const CHUNK_BYTES = 256 * 1024;

/** What the task of one peer needs of the leader. @internal */
export interface ReplicatorContext {
  readonly state: RaftState;
  readonly transport: ConsensusTransport;
  readonly timing: RaftTiming;
  readonly shard: number;
  readonly term: number;
  /** Number of the newest request to confirm leadership. */
  getRound(): number;
  /** Called when the peer has acknowledged something. */
  onProgress(): void;
  onHigherTerm(term: number): void;
}

/**
 * The leader's task for one peer: sends it entries, snapshots and heartbeats, one request at a
 * time, until stopped.
 *
 * @internal
 */
export class PeerReplicator {
  /** Last index known to be synced by the peer. */
  matchIndex = 0;
  /** Newest confirmation round that the peer has answered. */
  ackedRound = 0;
  /** When the newest answered request was sent. */
  lastAckAt = performance.now();
  private nextIndex: number;
  private sentRound = 0;
  private isStopped = false;
  private readonly signal = new Signal();
  private readonly stopping = new Signal();

  constructor(
    private readonly context: ReplicatorContext,
    readonly member: Member,
  ) {
    // A new leader's first entry is the one that its peers most likely lack.
    this.nextIndex = Math.max(1, context.state.entries.lastIndex);
  }

  /** Runs until stopped. */
  async run(): Promise<void> {
    const {heartbeatMs} = this.context.timing;
    while (!this.isStopped) {
      try {
        await this.sendNext();
        if (!this.hasWork()) await this.signal.wait(heartbeatMs);
      } catch (error) {
        if (this.isStopped) return;
        log('peer_failed', {peer: this.member.id, error: String(error)});
        await this.stopping.wait(heartbeatMs);
      }
    }
  }

  /** Wakes the task, for entries or a confirmation round that wait. */
  notify(): void {
    this.signal.notify();
  }

  /** Ends the task. */
  stop(): void {
    this.isStopped = true;
    this.signal.notify();
    this.stopping.notify();
  }

  private hasWork(): boolean {
    const {state, getRound} = this.context;
    return (
      this.nextIndex <= state.entries.lastIndex || this.sentRound < getRound()
    );
  }

  private async sendNext(): Promise<void> {
    const {entries} = this.context.state;
    const isKnown = entries.getTerm(this.nextIndex - 1) !== undefined;
    if (isKnown) return this.sendEntries();
    return this.sendSnapshot();
  }

  private async sendEntries(): Promise<void> {
    const {state, transport, timing} = this.context;
    const previousIndex = this.nextIndex - 1;
    const round = this.context.getRound();
    const sentAt = performance.now();
    const reply = await transport.call(
      this.member.address,
      {
        type: 'append',
        ...this.getHeader(),
        previousIndex,
        previousTerm: state.entries.getTerm(previousIndex) ?? 0,
        entries: state.entries.listFrom(
          this.nextIndex,
          MAX_BATCH_ENTRIES,
          MAX_BATCH_BYTES,
        ),
        commitIndex: state.commitIndex,
      },
      timing.requestTimeoutMs,
    );
    if (!this.acceptReply(reply.term, round, sentAt)) return;
    this.takeAppendReply(reply, previousIndex);
    this.context.onProgress();
  }

  private takeAppendReply(reply: AppendReply, previousIndex: number): void {
    if (reply.isMatching) {
      this.matchIndex = Math.max(this.matchIndex, reply.index);
      this.nextIndex = this.matchIndex + 1;
      return;
    }
    const next = Math.min(reply.index, previousIndex);
    this.nextIndex = Math.max(this.matchIndex + 1, next, 1);
  }

  private async sendSnapshot(): Promise<void> {
    const {snapshot} = this.context.state;
    if (!snapshot) throw new Error('the log begins later, without a snapshot');
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
      if (reply.isInstalled) {
        this.matchIndex = Math.max(this.matchIndex, index);
        this.nextIndex = this.matchIndex + 1;
      }
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

  /** Notes an answer; returns whether it counts for this leader. */
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
