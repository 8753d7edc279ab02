import {SycamoreheadError} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import type {ConsensusTransport} from './consensusMessages.js';
import type {Leadership} from './Leadership.js';
import type {Member, Membership} from './logTypes.js';
import {MAX_MEMBERS} from './maxMembers.js';
import {isVoter, listVoters} from './quorum.js';
import type {RaftState} from './RaftState.js';
import type {RaftTiming} from './raftTiming.js';
import {Signal} from './Signal.js';

const log = createLogger('consensus');

const CATCH_UP_TIMEOUT_MS = 60_000;

/** The dependencies that a member passes to its membership changes. @internal */
export interface MembershipChangeContext {
  readonly state: RaftState;
  readonly transport: ConsensusTransport;
  readonly timing: RaftTiming;
  readonly shard: number;
  getLeadership(): Leadership;
}

/**
 * Adds and removes one member at a time. Any majority before such a change shares a member with
 * any majority after it, so disjoint majorities can't elect two leaders. Learners belong to no majority,
 * so several of them may catch up at the same time.
 *
 * @internal
 */
export class MembershipChange {
  private isRunning = false;

  constructor(private readonly context: MembershipChangeContext) {}

  /** Adds an instance as a learner and promotes it to a voter once it has caught up. */
  add(instance: string, address: string): Promise<Membership> {
    return this.runAlone(async () => {
      const {id} = await this.findOrAddLearner(instance, address);
      await this.waitUntilCaughtUp(id);
      await this.commitPromotion(id);
      return this.members;
    });
  }

  /** Adds a member that belongs to no group yet as a learner. */
  addLearner(member: Omit<Member, 'role'>): Promise<Membership> {
    return this.runAlone(async () => {
      const isKnown = this.members.some(({id}) => id === member.id);
      if (!isKnown) await this.commitLearner(member);
      return this.members;
    });
  }

  /** Promotes a learner that has caught up to a voter. */
  admitVoter(id: string): Promise<Membership> {
    return this.runAlone(async () => {
      if (!this.members.some(member => member.id === id)) {
        refuse('not_found', `${id} is not a member`);
      }
      if (!this.isVoterOrCaughtUp(id)) {
        refuse('in_progress', `${id} has not caught up; repeat the command`);
      }
      await this.commitPromotion(id);
      return this.members;
    });
  }

  /** Removes the member with a given id or instance name. */
  remove(name: string): Promise<Membership> {
    return this.runAlone(async () => {
      const found = this.members.filter(
        ({id, instance}) => id === name || instance === name,
      );
      if (found.length > 1) {
        const ids = found.map(({id}) => id).join(', ');
        refuse('malformed_request', `${name} names several members: ${ids}`);
      }
      const [member] = found;
      if (!member) refuse('not_found', `${name} is not a member`);
      const remaining = this.members.filter(({id}) => id !== member.id);
      if (listVoters(remaining).length === 0) {
        refuse('malformed_request', `${name} is the last voter`);
      }
      await this.commit(remaining);
      return this.members;
    });
  }

  private get members(): Membership {
    return this.context.state.entries.members;
  }

  private async runAlone<Result>(work: () => Promise<Result>): Promise<Result> {
    this.context.getLeadership();
    if (this.isRunning) {
      refuse('in_progress', 'another change of the membership is under way');
    }
    this.isRunning = true;
    try {
      return await work();
    } finally {
      this.isRunning = false;
    }
  }

  private async findOrAddLearner(
    instance: string,
    address: string,
  ): Promise<Member> {
    const {transport, shard, state} = this.context;
    const identity = await transport.readIdentity(address, shard);
    if (identity.instance !== instance) {
      refuse(
        'malformed_request',
        `${address} is ${identity.instance}, expected ${instance}`,
      );
    }
    const known = this.members.find(({id}) => id === identity.id);
    if (known) return known;
    if (identity.group !== '' && identity.group !== state.vote.group) {
      refuse('malformed_request', `${instance} belongs to another group`);
    }
    return this.commitLearner({id: identity.id, instance, address});
  }

  private async commitLearner({
    id,
    instance,
    address,
  }: Omit<Member, 'role'>): Promise<Member> {
    if (this.members.length >= MAX_MEMBERS) {
      refuse('malformed_request', `expected at most ${MAX_MEMBERS} members`);
    }
    const learner: Member = {id, instance, address, role: 'learner'};
    await this.commit([...this.members, learner]);
    return learner;
  }

  private async waitUntilCaughtUp(id: string): Promise<void> {
    const {timing} = this.context;
    const deadline =
      performance.now() + (timing.catchUpTimeoutMs ?? CATCH_UP_TIMEOUT_MS);
    const pause = new Signal();
    while (!this.isVoterOrCaughtUp(id)) {
      if (performance.now() > deadline) {
        refuse('timeout', `${id} has not caught up; repeat the command`);
      }
      await pause.wait(timing.heartbeatMs);
    }
  }

  private isVoterOrCaughtUp(id: string): boolean {
    const leadership = this.context.getLeadership();
    return isVoter(this.members, id) || leadership.isCaughtUp(id);
  }

  private async commitPromotion(id: string): Promise<void> {
    if (isVoter(this.members, id)) return;
    log('learner_caught_up', {id});
    await this.commit(
      this.members.map(member =>
        member.id === id ? {...member, role: 'voter'} : member,
      ),
    );
  }

  private async commit(members: Membership): Promise<void> {
    const leadership = this.context.getLeadership();
    const {entries, commitIndex} = this.context.state;
    if (!leadership.isEstablished || entries.membershipIndex > commitIndex) {
      refuse(
        'in_progress',
        'the leader has not yet committed what came before; repeat the command',
      );
    }
    await leadership.propose({type: 'membership', members});
    log('membership_changed', {members: members.length});
  }
}

function refuse(
  kind: 'malformed_request' | 'not_found' | 'in_progress' | 'timeout',
  message: string,
): never {
  throw new SycamoreheadError(kind, message);
}
