import type {Announcement} from '@sycamorehead/schema';
import {digestText} from './serverFacts.js';

/** Number of servers that an entry aims to track. Smaller deployments are tracked completely. */
const TARGET_TRACKED = 200;
/** Minimum number of entries that track each server, so that one of them may fail. */
const MIN_COPIES = 2;
/** Minimum number of servers of each group that an entry tracks, if the group has that many. */
const MIN_GROUP_TRACKED = 16;
/** Number of servers of a group by which an entry may deviate from the mean. */
const SLACK = 1.5;

/** Returns a key that is equal for servers of the same service or with the same versions. */
function describeGroup({kind, service, versions}: Announcement): string {
  const loaded = versions.map(({model, version}) => `${model}/${version}`);
  return `${kind}|${service ?? ''}|${loaded.sort().join(',')}`;
}

function groupServers(
  servers: readonly Announcement[],
): Map<string, Announcement[]> {
  const groups = new Map<string, Announcement[]>();
  for (const server of servers) {
    const key = describeGroup(server);
    const group = groups.get(key);
    if (group) group.push(server);
    else groups.set(key, [server]);
  }
  return groups;
}

/**
 * Assigns each server of a group to `copies` entries by rendezvous hashing with bounded loads, so
 * that entries get nearly equal numbers and a change moves few servers.
 */
function splitGroup(
  group: readonly Announcement[],
  entries: readonly string[],
  copies: number,
): Map<string, string[]> {
  const assigned = new Map<string, string[]>(entries.map(name => [name, []]));
  const byId = [...group].sort((left, right) => (left.id < right.id ? -1 : 1));
  byId.forEach(({id}, index) => {
    // The bounds grow with the number of assigned servers, so that the last ones fit as well.
    const mean = ((index + 1) * copies) / entries.length;
    const getFillClass = (name: string) => {
      const count = assigned.get(name)?.length ?? 0;
      if (count < mean - SLACK) return 0;
      return count < mean + SLACK ? 1 : 2;
    };
    const ranked = entries
      .map(name => ({
        name,
        fill: getFillClass(name),
        rank: digestText(`${name}\n${id}`),
      }))
      .sort((left, right) => left.fill - right.fill || left.rank - right.rank);
    for (const {name} of ranked.slice(0, copies)) assigned.get(name)?.push(id);
  });
  return assigned;
}

/**
 * Chooses the servers whose liveness and load an entry tracks. Every entry computes the same
 * assignment from the same servers and entries. Each server is tracked by at least two entries.
 * Each entry tracks servers of every version and service, and nearly equal numbers of each.
 *
 * @example
 * ```ts
 * chooseSubset('entry-1', ['entry-1', 'entry-2'], servers).has('engine-1');
 * ```
 * @public
 */
export function chooseSubset(
  ownName: string,
  entries: readonly string[],
  servers: readonly Announcement[],
): Set<string> {
  const targetCopies = Math.ceil(
    (TARGET_TRACKED * entries.length) / Math.max(servers.length, 1),
  );
  const chosen = new Set<string>();
  for (const group of groupServers(servers).values()) {
    const coverageCopies = Math.ceil(
      (MIN_GROUP_TRACKED * entries.length) / group.length,
    );
    const copies = Math.min(
      entries.length,
      Math.max(targetCopies, coverageCopies, MIN_COPIES),
    );
    const ids =
      copies === entries.length
        ? group.map(({id}) => id)
        : (splitGroup(group, entries, copies).get(ownName) ?? []);
    for (const id of ids) chosen.add(id);
  }
  return chosen;
}
