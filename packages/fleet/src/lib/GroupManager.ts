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

/** Time between two looks at the group, in milliseconds. */
const LOOK_INTERVAL_MS = 200;
/** Silence after which a member is replaced where an instance stands by, in milliseconds. */
const LOST_MS = 2_500;

/** What the keeper of a group needs. @public */
export interface GroupManagerOptions {
  readonly host: LogMember;
  readonly peers: ControlPeers;
  /** Disks whose loss at the same time must be survived. */
  readonly faults: number;
}

/**
 * The leader's task that keeps the group at 2f + 1 voters: adds instances that stand by, and
 * replaces members that were lost.
 *
 * @public
 */
export class GroupManager {
  private isStopped = false;

  constructor(private readonly options: GroupManagerOptions) {}

  // Commands.

  /** Looks at the group until stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await new Promise(resolve => setTimeout(resolve, LOOK_INTERVAL_MS));
      if (!this.options.host.isLeader) continue;
      try {
        await this.takeStep();
      } catch (error) {
        log('membership_step_failed', {error: String(error)});
      }
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  // Queries.

  /** Returns whether the group has as many voters as the faults to be borne require. */
  isComplete(): boolean {
    const status = this.options.host.member?.getStatus();
    return (status?.voters.length ?? 0) >= this.targetVoters;
  }

  /**
   * Tells a peer whether the group has removed it: it says that it belongs, and a leader that a
   * quorum has just confirmed does not list it.
   */
  async isRemoved(peer: ControlIdentity): Promise<boolean> {
    const {host} = this.options;
    const node = host.member;
    if (!node || !host.isLeader || peer.group === '') return false;
    const isMember = () =>
      node.getStatus().members?.some(({id}) => id === peer.memberId) ?? true;
    if (isMember()) return false;
    await node.confirmLeadership();
    return !isMember();
  }

  private get targetVoters(): number {
    return 2 * this.options.faults + 1;
  }

  private async takeStep(): Promise<void> {
    const node = this.options.host.requireNode();
    const step = planMembership(this.describeView());
    if (!step) return;
    writeDecision('membership_step', describeStep(step));
    if (step.type === 'remove') {
      await node.removeMember(step.id);
      return;
    }
    const {instance, address} = step.candidate;
    await node.addMember(instance, address);
  }

  private describeView(): MembershipView {
    const {host, peers} = this.options;
    const node = host.requireNode();
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
      lost: new Set(
        members
          .filter(({address}) => peers.getSilenceMs(address) > LOST_MS)
          .map(({id}) => id),
      ),
    };
  }
}

function describeStep(step: MembershipStep) {
  return step.type === 'remove'
    ? {step: step.type, member: step.id}
    : {step: step.type, member: step.candidate.id};
}
