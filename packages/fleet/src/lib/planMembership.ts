import type {Membership} from '@sycamorehead/consensus';

/** An instance that can be added to the group. @public */
export interface Candidate {
  readonly id: string;
  readonly instance: string;
  readonly address: string;
}

/** The group and its peers as known to the leader. @public */
export interface MembershipView {
  readonly members: Membership;
  readonly ownId: string;
  /** Reachable instances that belong to no group. */
  readonly candidates: readonly Candidate[];
  /** Ids that reachable instances report as their member ids. */
  readonly present: ReadonlySet<string>;
  /** Ids of members that cannot return, since their instance runs under another id. */
  readonly superseded: ReadonlySet<string>;
  /** Ids of members that have been silent for longer than a restart takes. */
  readonly lost: ReadonlySet<string>;
  /** Target number of voters, 2f + 1. */
  readonly targetVoters: number;
}

/** The next change of the group. @public */
export type MembershipStep =
  | {readonly type: 'add'; readonly candidate: Candidate}
  | {readonly type: 'remove'; readonly id: string};

/**
 * Chooses the next change of the group, one at a time. A replacement is added before the member
 * that it replaces is removed, so that every commit is stored by at least f + 1 members.
 *
 * @example
 * ```ts
 * planMembership(view); // {type: 'add', candidate: {id: '10.0.0.9/x', ...}}
 * ```
 * @public
 */
export function planMembership(
  view: MembershipView,
): MembershipStep | undefined {
  const {members, candidates, targetVoters} = view;
  const failed = members.filter(
    ({id}) =>
      id !== view.ownId &&
      !view.present.has(id) &&
      (view.superseded.has(id) || view.lost.has(id)),
  );
  const failedLearner = failed.find(({role}) => role === 'learner');
  if (failedLearner) return {type: 'remove', id: failedLearner.id};
  const learner = members.find(({role}) => role === 'learner');
  if (learner) return {type: 'add', candidate: learner};
  const voters = members.filter(({role}) => role === 'voter');
  const [failedVoter] = failed;
  if (failedVoter && voters.length > targetVoters) {
    return {type: 'remove', id: failedVoter.id};
  }
  const [candidate] = candidates;
  const lacksVoters = voters.length < targetVoters;
  if (candidate && (lacksVoters || failedVoter))
    return {type: 'add', candidate};
  return undefined;
}
