import type {Membership} from '@sycamorehead/consensus';
import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import type {ControlPeers} from './ControlPeers.js';
import type {ControlIdentity} from './fleetMessages.js';
import type {LogMember} from './LogMember.js';
import {
  MembershipStep,
  MembershipView,
  planMembership,
} from './planMembership.js';

const log = createLogger('fleet');

/** Interval between two checks of the group, in milliseconds. */
const CHECK_INTERVAL_MS = 200;
/** Silence after which a member is replaced if a spare instance is available, in milliseconds. */
const LOST_MS = 2_500;

/** Dependencies and settings of a GroupManager. @public */
export interface GroupManagerOptions {
  readonly logMember: LogMember;
  readonly peers: ControlPeers;
  /** Number of disks whose simultaneous loss must be survived. */
  readonly faults: number;
}

/**
 * Maintains the Raft group at 2f + 1 voters while this instance leads: adds spare instances and
 * replaces lost members.
 *
 * @public
 */
export class GroupManager {
  private isStopped = false;

  constructor(private readonly options: GroupManagerOptions) {}

  // Commands.

  /** Checks the group at intervals until stopped, and at once after each change. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const isChanged = this.options.logMember.isLeader && (await this.check());
      if (isChanged) continue;
      await new Promise(resolve => setTimeout(resolve, CHECK_INTERVAL_MS));
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  // Queries.

  /** Returns whether the group has at least 2f + 1 voters. */
  isComplete(): boolean {
    const status = this.options.logMember.raftNode?.getStatus();
    return (status?.voters.length ?? 0) >= this.targetVoters;
  }

  /**
   * Returns whether a peer was removed from the group: the peer reports that it belongs to a group,
   * but this leader, confirmed by a quorum, does not list it.
   */
  async isRemoved(peer: ControlIdentity): Promise<boolean> {
    const {logMember} = this.options;
    const node = logMember.raftNode;
    if (!node || !logMember.isLeader || peer.group === '') return false;
    const isMember = () =>
      node.getStatus().members?.some(({id}) => id === peer.memberId) ?? true;
    if (isMember()) return false;
    await node.confirmLeadership();
    return !isMember();
  }

  private get targetVoters(): number {
    return 2 * this.options.faults + 1;
  }

  /** Takes the next step, if there is one, and returns whether the membership has changed. */
  private async check(): Promise<boolean> {
    try {
      const node = this.options.logMember.requireNode();
      const step = planMembership(this.describeView());
      if (!step) return false;
      writeDecision('membership_step', describeStep(step));
      const before = node.getStatus().members;
      return (await this.takeStep(step)) !== before;
    } catch (error) {
      log('membership_step_failed', {error: String(error)});
      return false;
    }
  }

  private takeStep(step: MembershipStep): Promise<Membership> {
    const node = this.options.logMember.requireNode();
    if (step.type === 'remove') return node.removeMember(step.id);
    if (step.type === 'promote') return node.admitVoter(step.id);
    return node.addLearner(step.candidate);
  }

  private describeView(): MembershipView {
    const {logMember, peers} = this.options;
    const node = logMember.requireNode();
    const {members = [], id: ownId = ''} = node.getStatus();
    const identities = peers
      .listReachable()
      .flatMap(({identity}) => (identity ? [identity] : []));
    const present = new Set(identities.map(({memberId}) => memberId));
    const isMember = (id: string) => members.some(member => member.id === id);
    return {
      members,
      ownId,
      targetVoters: this.targetVoters,
      present,
      candidates: identities
        .filter(
          ({memberId, group, isStoring}) =>
            isStoring && memberId !== '' && group === '' && !isMember(memberId),
        )
        .map(({memberId, instance, address}) => ({
          id: memberId,
          instance,
          address,
        })),
      superseded: new Set(
        members
          .filter(({id, address}) =>
            identities.some(
              identity =>
                identity.address === address &&
                identity.memberId !== '' &&
                identity.memberId !== id,
            ),
          )
          .map(({id}) => id),
      ),
      caughtUp: new Set(
        members.filter(({id}) => node.isCaughtUp(id)).map(({id}) => id),
      ),
      lost: new Set(
        members
          .filter(({address}) => peers.getSilenceMs(address) > LOST_MS)
          .map(({id}) => id),
      ),
    };
  }
}

function describeStep(step: MembershipStep) {
  return step.type === 'add_learner'
    ? {step: step.type, member: step.candidate.id}
    : {step: step.type, member: step.id};
}
