import type {Member, Membership} from './logTypes.js';

/** Returns the members whose votes count. @internal */
export function listVoters(members: Membership): Member[] {
  return members.filter(({role}) => role === 'voter');
}

/** Returns whether a member's vote counts. @internal */
export function isVoter(members: Membership, id: string): boolean {
  return members.some(member => member.id === id && member.role === 'voter');
}

/**
 * Computes the highest value that a majority of the voters have reached.
 *
 * @internal
 */
export function computeQuorumValue(
  members: Membership,
  getValue: (id: string) => number,
): number {
  const values = listVoters(members)
    .map(({id}) => getValue(id))
    .sort((left, right) => right - left);
  return values[Math.floor(values.length / 2)] ?? -Infinity;
}

/** Returns whether a set of member ids contains a majority of the voters. @internal */
export function hasQuorum(
  members: Membership,
  ids: ReadonlySet<string>,
): boolean {
  const voters = listVoters(members);
  const count = voters.filter(({id}) => ids.has(id)).length;
  return count > voters.length / 2;
}
