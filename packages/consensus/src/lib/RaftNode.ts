import {JsonValue, SycamoreheadError} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import {checkConsensusRequest} from './checkConsensusRequest.js';
import type {
  ConsensusRequest,
  ConsensusTransport,
  MemberIdentity,
  ReplyTo,
} from './consensusMessages.js';
import {Election} from './Election.js';
import {Leadership} from './Leadership.js';
import type {Member, Membership} from './logTypes.js';
import {isVoter, listVoters} from './quorum.js';
import {MembershipChange} from './MembershipChange.js';
import {Mutex} from './Mutex.js';
import {RaftState} from './RaftState.js';
import {RequestHandlers} from './RequestHandlers.js';
import {DEFAULT_RAFT_TIMING, RaftTiming} from './raftTiming.js';
import type {
  LogRole,
  LogStatus,
  MembershipCommands,
  ReplicatedLog,
  StateMachine,
} from './ReplicatedLog.js';
import type {Disk} from './storage/Disk.js';
import {LogStorage} from './storage/LogStorage.js';

const log = createLogger('consensus');

const DEFAULT_SNAPSHOT_BYTES = 4 * 1024 * 1024;
const FIRST_TERM = 1;

/** Options of a RaftNode. @public */
export interface RaftNodeOptions {
  readonly shard: number;
  /** Member id; see loadMemberId. */
  readonly id: string;
  readonly machine: StateMachine;
  readonly disk: Disk;
  readonly transport: ConsensusTransport;
  readonly timing?: RaftTiming;
  readonly snapshotBytes?: number;
  readonly segmentBytes?: number;
  readonly trailingEntries?: number;
  readonly trailingBytes?: number;
  readonly random?: () => number;
  /**
   * Whether the storage has just failed and is opened again. Such a member lets the others stand for
   * election first: its disk may take a vote and still refuse the entries of a leader.
   */
  readonly isReopened?: boolean;
  /** Called once when the storage has failed; the process should exit. */
  readonly onFailure: (error: SycamoreheadError) => void;
}

/**
 * One member of the Raft group of one shard. Implements a replicated log with pre-vote,
 * check-quorum, leadership transfer and membership changes of one member at a time.
 *
 * @public
 */
export class RaftNode implements ReplicatedLog, MembershipCommands {
  readonly shard: number;
  private readonly state: RaftState;
  private readonly election: Election;
  private readonly timing: RaftTiming;
  private readonly lock = new Mutex();
  private readonly handlers: RequestHandlers;
  private readonly changes: MembershipChange;
  private leadership: Leadership | undefined;
  private readonly leaderListeners: Array<() => void> = [];
  private isStopped = false;

  constructor(private readonly options: RaftNodeOptions) {
    const {id, machine, disk} = options;
    this.shard = options.shard;
    this.timing = options.timing ?? DEFAULT_RAFT_TIMING;
    this.state = new RaftState({
      id,
      machine,
      storage: new LogStorage(disk, options.segmentBytes),
      snapshotBytes: options.snapshotBytes ?? DEFAULT_SNAPSHOT_BYTES,
      trailingEntries: options.trailingEntries,
      trailingBytes: options.trailingBytes,
      onFailure: error => this.handleFailure(error),
    });
    this.election = new Election({
      ...this.getSharedContext(),
      lock: this.lock,
      random: options.random ?? Math.random,
      isReopened: options.isReopened ?? false,
      onElected: () => this.startLeading(),
    });
    this.handlers = new RequestHandlers({
      state: this.state,
      election: this.election,
      follow: (term, leader, group) => this.follow(term, leader, group),
    });
    this.changes = new MembershipChange({
      state: this.state,
      transport: options.transport,
      timing: this.timing,
      shard: options.shard,
      getLeadership: () => this.requireLeadership(),
    });
  }

  // Commands.

  /**
   * Loads the state from the disk and starts to take part in the group.
   *
   * @throws SycamoreheadError `storage_failed`.
   */
  async start(): Promise<void> {
    await this.state.load();
    this.election.restartTimeout();
    void this.election.run();
    const {id, entries, term} = this.state;
    log('member_started', {id, term, last: entries.lastIndex});
  }

  /**
   * Creates a new group with the given members, unless this member already belongs to a group. A call
   * that failed before the first entry was stored may be repeated.
   */
  async createGroup(group: string, members: Membership): Promise<void> {
    const isCreated = await this.lock.run(() =>
      this.storeFirstEntry(group, members),
    );
    if (isCreated) this.election.expireTimeout();
  }

  private async storeFirstEntry(
    group: string,
    members: Membership,
  ): Promise<boolean> {
    const {state} = this;
    const isOther = state.vote.group !== '' && state.vote.group !== group;
    if (isOther || state.entries.lastIndex > 0) return false;
    try {
      if (state.vote.group === '') await state.saveVote(FIRST_TERM, '', group);
      const entry = {
        index: 1,
        term: FIRST_TERM,
        type: 'membership' as const,
        members,
      };
      await state.storage.append([state.entries.append(entry)], entry);
    } catch (error) {
      state.fail(error);
      throw error;
    }
    log('group_created', {group, members: members.length});
    return true;
  }

  async propose(command: JsonValue): Promise<JsonValue> {
    return this.requireLeadership().propose({type: 'command', command});
  }

  async confirmLeadership(): Promise<void> {
    return this.requireLeadership().confirm();
  }

  addMember(instance: string, address: string): Promise<Membership> {
    return this.changes.add(instance, address);
  }

  /**
   * Adds a member as a learner, under the identity that it has reported. Several learners may catch up at the
   * same time. A learner that runs under another identity by now answers nothing and never catches up.
   */
  addLearner(member: Omit<Member, 'role'>): Promise<Membership> {
    return this.changes.addLearner(member);
  }

  /** Promotes a learner that has caught up to a voter. */
  admitVoter(id: string): Promise<Membership> {
    return this.changes.admitVoter(id);
  }

  removeMember(name: string): Promise<Membership> {
    return this.changes.remove(name);
  }

  /** Handles a request of another member and returns its reply. */
  async receive<Request extends ConsensusRequest>(
    request: Request,
  ): Promise<ReplyTo<Request>> {
    checkConsensusRequest(request);
    this.checkReceiver(request);
    this.recordLeaderContact(request);
    return this.lock.run(async () => {
      this.checkRunning();
      try {
        return await this.handlers.handle(request);
      } catch (error) {
        const isFatal =
          !(error instanceof SycamoreheadError) ||
          error.kind === 'storage_failed';
        if (isFatal) this.state.fail(error);
        throw error;
      }
    });
  }

  async stop(): Promise<void> {
    const isTransferred = await this.leadership?.transfer();
    log('member_stopping', {id: this.state.id, transferred: isTransferred});
    this.abort();
    await this.lock.run(async () => {});
    await this.state.storage.close();
  }

  /** Stops without a leadership transfer; pending operations may or may not complete. */
  abort(): void {
    this.isStopped = true;
    this.election.stop();
    this.stopLeading('this instance stops');
    void this.state.storage.close();
  }

  /** Aborts and returns once no write is under way, so that the disk may be opened again. */
  async close(): Promise<void> {
    this.abort();
    await this.state.storage.close();
  }

  // Queries.

  getStatus(): LogStatus {
    const {state} = this;
    const {members} = state.entries;
    return {
      shard: this.options.shard,
      role: this.getRole(),
      term: state.term,
      leader: state.leader?.split('/')[0],
      commitIndex: state.commitIndex,
      lastIndex: state.entries.lastIndex,
      voters: listVoters(members).map(({instance}) => instance),
      id: state.id,
      group: state.vote.group,
      members,
      snapshotIndex: state.snapshot?.index ?? 0,
      retainedBytes: state.entries.bytes,
      storage: state.storage.getCounts(),
    };
  }

  /** Returns whether this member leads and another one has caught up with its log. */
  isCaughtUp(id: string): boolean {
    return this.leadership?.isCaughtUp(id) ?? false;
  }

  addLeaderListener(listener: () => void): void {
    this.leaderListeners.push(listener);
  }

  /** Returns the identity of this member, which exists before it belongs to a group. */
  getIdentity(): MemberIdentity {
    const {id, vote} = this.state;
    return {id, instance: id.split('/')[0] ?? id, group: vote.group};
  }

  // Roles.

  private async follow(
    term: number,
    leader: string | undefined,
    group: string,
  ): Promise<void> {
    const {state} = this;
    if (state.role === 'leader' && term === state.term) {
      throw new SycamoreheadError('internal', `two leaders in term ${term}`);
    }
    this.stopLeading(`term ${term} has begun`);
    state.role = 'follower';
    if (term > state.term) await state.saveVote(term, '', group);
    state.leader = leader;
  }

  private startLeading(): void {
    const {state} = this;
    state.role = 'leader';
    state.leader = state.id;
    log('leader_elected', {id: state.id, term: state.term});
    this.leadership = new Leadership({
      ...this.getSharedContext(),
      onLost: reason => this.stopLeading(reason),
    });
    this.leadership.start();
    for (const listener of this.leaderListeners) listener();
  }

  private stopLeading(reason: string): void {
    const {leadership, state} = this;
    if (!leadership) return;
    this.leadership = undefined;
    state.role = 'follower';
    state.leader = undefined;
    this.election.restartTimeout();
    log('leadership_ended', {id: state.id, term: state.term, reason});
    leadership.end(
      state.failure ?? new SycamoreheadError('control_unavailable', reason),
    );
  }

  private getSharedContext() {
    return {
      state: this.state,
      transport: this.options.transport,
      timing: this.timing,
      shard: this.options.shard,
      onHigherTerm: (term: number) => this.observeTerm(term),
    };
  }

  private observeTerm(term: number): void {
    this.lock
      .run(async () => {
        if (this.isStopped || term <= this.state.term) return;
        await this.follow(term, undefined, this.state.vote.group);
      })
      .catch((error: unknown) => this.state.fail(error));
  }

  private handleFailure(error: SycamoreheadError): void {
    if (this.isStopped) return;
    log('member_failed', {id: this.state.id, error: error.message});
    this.abort();
    this.options.onFailure(error);
  }

  // Checks.

  private getRole(): LogRole {
    const {role, id, entries} = this.state;
    if (role !== 'follower') return role;
    return isVoter(entries.members, id) ? 'follower' : 'learner';
  }

  private requireLeadership(): Leadership {
    this.checkRunning();
    if (this.leadership) return this.leadership;
    const leader = this.state.leader?.split('/')[0];
    throw new SycamoreheadError(
      'not_leader',
      leader ? `${leader} leads` : 'no leader is known',
      {leader},
    );
  }

  /**
   * Records contact with the leader when its message arrives, before the message is handled, so
   * that a slow disk on this member is not mistaken for a silent leader.
   */
  private recordLeaderContact({type, term}: ConsensusRequest): void {
    const isFromLeader = type === 'append' || type === 'snapshot';
    if (isFromLeader && term >= this.state.term)
      this.election.recordLeaderContact();
  }

  private checkRunning(): void {
    if (this.state.failure) throw this.state.failure;
    if (this.isStopped) {
      throw new SycamoreheadError('stopping', 'this instance has stopped');
    }
  }

  private checkReceiver(request: ConsensusRequest): void {
    const {group} = this.state.vote;
    const isOwn =
      request.to === this.state.id &&
      request.shard === this.options.shard &&
      (group === '' || request.group === group);
    if (isOwn) return;
    throw new SycamoreheadError(
      'not_permitted',
      `a message for ${request.to} of group ${request.group} reached ${this.state.id}`,
    );
  }
}
