import type {LoadDigest} from './fleetMessages.js';

/** What a digest tells of the control instances that its sender hears. @internal */
export type CensusDigest = Pick<LoadDigest, 'instance' | 'entries' | 'heard'>;

/**
 * Lists the number of entries that each heard control instance has, which those that do not hear it learn so.
 *
 * @example
 * ```ts
 * listHeard(digests); // {c2: 12, c3: 13}
 * ```
 * @internal
 */
export function listHeard(
  digests: readonly CensusDigest[],
): Record<string, number> {
  return Object.fromEntries(
    digests.map(({instance, entries}) => [instance, entries]),
  );
}

/**
 * Counts the entries of all control instances that this one hears, or that one of those hears. Two instances
 * that each exchange digests with most others have one of them in common, so that each counts the other's
 * entries also where they do not reach each other.
 *
 * @param instance - Name of this instance.
 * @param ownEntries - Number of entries that report to it.
 * @param digests - Recent digests of the others.
 * @example
 * ```ts
 * countAllEntries('c1', 10, digests); // 61
 * ```
 * @internal
 */
export function countAllEntries(
  instance: string,
  ownEntries: number,
  digests: readonly CensusDigest[],
): number {
  const counts = new Map<string, number>();
  for (const {heard = {}} of digests) {
    for (const [name, entries] of Object.entries(heard)) {
      counts.set(name, Math.max(counts.get(name) ?? 0, entries));
    }
  }
  for (const {instance: name, entries} of digests) counts.set(name, entries);
  counts.delete(instance);
  return [...counts.values()].reduce((sum, count) => sum + count, ownEntries);
}

/**
 * Counts the control instances that hear this one and are heard by it, including itself. One that is not
 * heard would grant its part while the others count on all.
 *
 * @example
 * ```ts
 * countMutual('c1', digests); // 5
 * ```
 * @internal
 */
export function countMutual(
  instance: string,
  digests: readonly CensusDigest[],
): number {
  // Earlier builds do not tell whom they hear.
  const mutual = digests.filter(
    ({heard}) => heard === undefined || heard[instance] !== undefined,
  );
  return mutual.length + 1;
}
