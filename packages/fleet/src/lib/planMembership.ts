import {MAX_MEMBERS, Membership} from '@sycamorehead/consensus';

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
  /** Ids of members that have caught up with the log. */
  readonly caughtUp: ReadonlySet<string>;
  /** Target number of voters, 2f + 1. */
  readonly targetVoters: number;
}

/** The next change of the group. @public */
export type MembershipStep =
  | {readonly type: 'add_learner'; readonly candidate: Candidate}
  | {readonly type: 'promote'; readonly id: string}
  | {readonly type: 'remove'; readonly id: string};

/**
 * Chooses the next change of the group. The replacements of all failed voters are learners at the same time, so
 * that none waits for the catch-up of another. Voters change one at a time: a replacement is promoted
 * before the member that it replaces is removed, so that every commit is stored by at least f + 1 members.
 *
 * @example
 * ```ts
 * planMembership(view); // {type: 'add_learner', candidate: {id: '10.0.0.9/x', ...}}
 * ```
 * @public
 */
export function planMembership(
  view: MembershipView,
): MembershipStep | undefined {
  const {members, candidates, caughtUp, targetVoters} = view;
  const failed = members.filter(
    ({id}) =>
      id !== view.ownId &&
      !view.present.has(id) &&
      (view.superseded.has(id) || view.lost.has(id)),
  );
  const failedLearner = failed.find(({role}) => role === 'learner');
  if (failedLearner) return {type: 'remove', id: failedLearner.id};
  const voters = members.filter(({role}) => role === 'voter');
  const learners = members.filter(({role}) => role === 'learner');
  const [failedVoter] = failed;
  if (failedVoter && voters.length > targetVoters) {
    return {type: 'remove', id: failedVoter.id};
  }
  const missingVoters = targetVoters - (voters.length - failed.length);
  const [candidate] = candidates;
  const lacksLearners =
    learners.length < missingVoters && members.length < MAX_MEMBERS;
  if (candidate && lacksLearners) return {type: 'add_learner', candidate};
  const ready = learners.find(({id}) => caughtUp.has(id));
  if (ready && missingVoters > 0) return {type: 'promote', id: ready.id};
  return undefined;
}
