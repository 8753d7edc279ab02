import {JsonValue, SycamoreheadError} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import type {ConsensusTransport} from './consensusMessages.js';
import type {LogEntry, Membership} from './logTypes.js';
import {computeQuorumValue, isVoter} from './quorum.js';
import {PeerReplicator, ReplicatorContext} from './PeerReplicator.js';
import type {RaftState} from './RaftState.js';
import type {RaftTiming} from './raftTiming.js';
import {Signal} from './Signal.js';

const log = createLogger('consensus');

const MAX_PENDING = 50_000;

/** The contents of an entry, without its position. @internal */
export type EntryPayload =
  | {readonly type: 'noop'}
  | {readonly type: 'command'; readonly command: JsonValue}
  | {readonly type: 'membership'; readonly members: Membership};

/** The dependencies that a member passes to its leadership. @internal */
export interface LeadershipContext {
  readonly state: RaftState;
  readonly transport: ConsensusTransport;
  readonly timing: RaftTiming;
  readonly shard: number;
  onHigherTerm(term: number): void;
  /** Called when this member can no longer lead; ends the leadership. */
  onLost(reason: string): void;
}

interface Waiter<Result> {
  resolve(result: Result): void;
  reject(error: unknown): void;
}

interface ReadWaiter extends Waiter<void> {
  readonly round: number;
}

/**
 * One term of leadership. It lasts from the election until a higher term is seen, contact with a
 * quorum is lost, or the member stops or is removed from the voters.
 *
 * @internal
 */
export class Leadership {
  readonly term: number;
  private readonly peers = new Map<string, PeerReplicator>();
  private readonly pending = new Map<number, Waiter<JsonValue>>();
  private reads: ReadWaiter[] = [];
  private ownMatchIndex = 0;
  private round = 0;
  private firstIndex = 0;
  private isEnded = false;
  private isTransferring = false;
  private readonly endSignal = new Signal();

  constructor(private readonly context: LeadershipContext) {
    this.term = context.state.term;
  }

  /**
   * Whether the first entry of this term is committed. Until then, this leader's commit index may
   * be lower than that of an earlier leader.
   */
  get isEstablished(): boolean {
    return this.context.state.commitIndex >= this.firstIndex;
  }

  /** Appends the first entry of the term and starts replication. */
  start(): void {
    this.context.state.onApplied = (entry, result) =>
      this.settleProposal(entry, result);
    this.firstIndex = this.append({type: 'noop'});
    void this.watchQuorum();
  }

  /** Appends an entry and returns its result once it has been committed and applied. */
  propose(payload: EntryPayload): Promise<JsonValue> {
    if (this.isEnded || this.isTransferring) {
      throw new SycamoreheadError('not_leader', 'leadership is ending');
    }
    const isFull =
      this.pending.size >= MAX_PENDING ||
      (payload.type === 'command' && this.context.state.isFull);
    if (isFull) {
      throw new SycamoreheadError('overloaded', 'too many open proposals', {
        ran: 'no',
      });
    }
    const index = this.append(payload);
    return new Promise((resolve, reject) => {
      this.pending.set(index, {resolve, reject});
    });
  }

  /**
   * Returns once this leadership is established and a quorum has answered requests that were sent
   * after this call.
   */
  confirm(): Promise<void> {
    if (this.isEnded) {
      throw new SycamoreheadError('not_leader', 'leadership has ended');
    }
    if (this.reads.length >= MAX_PENDING) {
      throw new SycamoreheadError('overloaded', 'too many open reads');
    }
    this.round += 1;
    const {round} = this;
    return new Promise((resolve, reject) => {
      this.reads.push({round, resolve, reject});
      for (const peer of this.peers.values()) peer.notify();
      this.settleReads();
    });
  }

  /** Returns the last index that a member is known to have synced. */
  getMatchIndex(id: string): number {
    if (id === this.context.state.id) return this.ownMatchIndex;
    return this.peers.get(id)?.matchIndex ?? 0;
  }

  /** Returns whether a member has caught up with the log and answers. */
  isCaughtUp(id: string): boolean {
    if (id === this.context.state.id) return true;
    return this.peers.get(id)?.isCaughtUp ?? false;
  }

  /** Transfers leadership to the most up-to-date voter. Returns whether this one has ended. */
  async transfer(): Promise<boolean> {
    const {state, timing} = this.context;
    const target = this.pickTransferTarget();
    if (!target) return false;
    this.isTransferring = true;
    const deadline = performance.now() + timing.electionMaxMs;
    const pause = new Signal();
    try {
      while (target.matchIndex < state.entries.lastIndex) {
        if (this.isEnded || performance.now() > deadline) return this.isEnded;
        await pause.wait(timing.heartbeatMs / 2);
      }
      await this.requestTransfer(target);
      while (!this.isEnded && performance.now() < deadline) {
        await pause.wait(timing.heartbeatMs / 2);
      }
      return this.isEnded;
    } finally {
      this.isTransferring = false;
    }
  }

  /** Ends this leadership. Pending proposals and reads are rejected; their outcome is unknown. */
  end(reason: SycamoreheadError): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.endSignal.notify();
    this.context.state.onApplied = undefined;
    for (const peer of this.peers.values()) peer.stop();
    for (const {reject} of this.pending.values()) reject(reason);
    for (const {reject} of this.reads) reject(reason);
    this.pending.clear();
    this.reads = [];
  }

  private append(payload: EntryPayload): number {
    const {state} = this.context;
    const index = state.entries.lastIndex + 1;
    const entry: LogEntry = {index, term: this.term, ...payload};
    const text = state.entries.append(entry);
    state.storage.append([text], entry).then(
      () => this.advanceOwnMatchIndex(index),
      (error: unknown) => state.fail(error),
    );
    if (payload.type !== 'command') this.updatePeers();
    for (const peer of this.peers.values()) peer.notify();
    return index;
  }

  private advanceOwnMatchIndex(index: number): void {
    if (this.isEnded) return;
    this.ownMatchIndex = Math.max(this.ownMatchIndex, index);
    this.advanceCommit();
  }

  private advanceCommit(): void {
    const {state} = this.context;
    const {members} = state.entries;
    const quorumIndex = computeQuorumValue(members, id =>
      this.getMatchIndex(id),
    );
    // Another leader may still replace an entry of an earlier term, even if a majority has it. Such
    // an entry is committed only together with a later one of this term.
    const isOwnTerm = state.entries.getTerm(quorumIndex) === this.term;
    if (quorumIndex > state.commitIndex && isOwnTerm) {
      state.advanceCommit(quorumIndex);
      this.settleReads();
    }
  }

  private settleProposal(entry: LogEntry, result: JsonValue): void {
    const waiter = this.pending.get(entry.index);
    this.pending.delete(entry.index);
    waiter?.resolve(result);
    if (entry.type !== 'membership') return;
    this.updatePeers();
    const {id, entries} = this.context.state;
    // Checks the newest membership rather than the entry's: after a restart, memberships from
    // before this member joined are applied again.
    if (!isVoter(entries.members, id)) {
      this.context.onLost('this member was removed');
    }
  }

  private settleReads(): void {
    if (!this.isEstablished || this.reads.length === 0) return;
    const {state} = this.context;
    const confirmedRound = computeQuorumValue(state.entries.members, id =>
      id === state.id ? this.round : (this.peers.get(id)?.ackedRound ?? 0),
    );
    const isDone = (read: ReadWaiter) => read.round <= confirmedRound;
    const done = this.reads.filter(isDone);
    if (done.length === 0) return;
    this.reads = this.reads.filter(read => !isDone(read));
    for (const {resolve} of done) resolve();
  }

  /** Runs a replicator for each other member of the committed or the newest membership. */
  private updatePeers(): void {
    const {state} = this.context;
    const committed = state.entries.getMembersAt(state.commitIndex);
    const desired = new Map(
      [...committed, ...state.entries.members]
        .filter(({id}) => id !== state.id)
        .map(member => [member.id, member]),
    );
    for (const [id, peer] of this.peers) {
      const isUnchanged = desired.get(id)?.address === peer.member.address;
      if (isUnchanged) continue;
      peer.stop();
      this.peers.delete(id);
    }
    for (const [id, member] of desired) {
      if (this.peers.has(id)) continue;
      const peer = new PeerReplicator(this.getReplicatorContext(), member);
      this.peers.set(id, peer);
      void peer.run();
    }
  }

  private getReplicatorContext(): ReplicatorContext {
    return {
      ...this.context,
      term: this.term,
      getRound: () => this.round,
      onProgress: () => {
        if (this.isEnded) return;
        this.advanceCommit();
        this.settleReads();
      },
    };
  }

  /** Implements check-quorum: the leader steps down once no majority answers any more. */
  private async watchQuorum(): Promise<void> {
    const {state, timing} = this.context;
    while (!this.isEnded) {
      await this.endSignal.wait(timing.heartbeatMs);
      const now = performance.now();
      const lastAckAt = computeQuorumValue(state.entries.members, id =>
        id === state.id ? now : (this.peers.get(id)?.lastAckAt ?? -Infinity),
      );
      if (!this.isEnded && now - lastAckAt > timing.electionMaxMs) {
        this.context.onLost('no quorum answers');
      }
    }
  }

  private pickTransferTarget(): PeerReplicator | undefined {
    const {members} = this.context.state.entries;
    return [...this.peers.values()]
      .filter(peer => isVoter(members, peer.member.id))
      .sort((left, right) => right.matchIndex - left.matchIndex)[0];
  }

  private async requestTransfer(target: PeerReplicator): Promise<void> {
    const {state, transport, timing, shard} = this.context;
    const {id, address} = target.member;
    const request = {
      type: 'transfer' as const,
      shard,
      group: state.vote.group,
      from: state.id,
      to: id,
      term: this.term,
    };
    try {
      await transport.call(address, request, timing.requestTimeoutMs);
    } catch (error) {
      log('transfer_failed', {to: id, error: String(error)});
    }
  }
}
