import type {Membership} from '@sycamorehead/consensus';

/** An instance that could hold a copy of the log. @public */
export interface Candidate {
  readonly id: string;
  readonly instance: string;
  readonly address: string;
}

/** What the leader sees of its group. @public */
export interface MembershipView {
  readonly members: Membership;
  readonly ownId: string;
  /** Instances that are present and belong to no group. */
  readonly candidates: readonly Candidate[];
  /** Ids of members that are present under this id. */
  readonly present: ReadonlySet<string>;
  /** Ids of members that will not come back: their instance runs under another id. */
  readonly superseded: ReadonlySet<string>;
  /** Ids of members that have been silent for longer than a restart takes. */
  readonly lost: ReadonlySet<string>;
  /** Wanted number of voters, 2f + 1. */
  readonly targetVoters: number;
}

/** The next change of the group. @public */
export type MembershipStep =
  | {readonly type: 'add'; readonly candidate: Candidate}
  | {readonly type: 'remove'; readonly id: string};

/**
 * Chooses the next change of the group, one at a time. A replacement is added before the member
 * that it replaces is removed, so that a commit is always held by f + 1 members at least.
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
  const isShort = voters.length < targetVoters;
  if (candidate && (isShort || failedVoter)) return {type: 'add', candidate};
  return undefined;
}
