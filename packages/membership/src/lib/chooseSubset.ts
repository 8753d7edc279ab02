import type {Announcement} from '@sycamorehead/schema';
import {digestText} from './serverFacts.js';

/** Servers that an entry aims to hold, and that a deployment of fewer shares whole. */
const TARGET_HELD = 200;
/** Copies of each server's detail at least, so that one lost entry leaves none without. */
const MIN_COPIES = 2;
/** Servers of each group that an entry holds at least, where the group has as many. */
const MIN_GROUP_HELD = 16;
/** Servers of a group by which an entry may lead or lag the mean. */
const SLACK = 1.5;

/** Servers that stand in for each other: the same service, or the same versions. */
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
 * Assigns each server of a group to `copies` entries by rendezvous hashing with bounds on what
 * one entry takes, so that entries hold equally many and a change moves little.
 */
function splitGroup(
  group: readonly Announcement[],
  entries: readonly string[],
  copies: number,
): Map<string, string[]> {
  const assigned = new Map<string, string[]>(entries.map(name => [name, []]));
  const byId = [...group].sort((left, right) => (left.id < right.id ? -1 : 1));
  byId.forEach(({id}, index) => {
    // The bounds grow with the servers placed, so that the last ones find entries open too.
    const mean = ((index + 1) * copies) / entries.length;
    const getClass = (name: string) => {
      const count = assigned.get(name)?.length ?? 0;
      if (count < mean - SLACK) return 0;
      return count < mean + SLACK ? 1 : 2;
    };
    const ranked = entries
      .map(name => ({
        name,
        fill: getClass(name),
        rank: digestText(`${name}\n${id}`),
      }))
      .sort((left, right) => left.fill - right.fill || left.rank - right.rank);
    for (const {name} of ranked.slice(0, copies)) assigned.get(name)?.push(id);
  });
  return assigned;
}

/**
 * Chooses the servers on which an entry holds detail. Every entry computes the same assignment
 * from the same servers and entries: each server is held by at least two entries, each entry
 * holds servers of every version and service, and entries hold equally many of each.
 *
 * @example
 * ```ts
 * chooseSubset('entry-1', ['entry-1', 'entry-2'], servers).has('engine-1');
 * ```
 * @public
 */
export function chooseSubset(
  own: string,
  entries: readonly string[],
  servers: readonly Announcement[],
): Set<string> {
  const wanted = Math.ceil(
    (TARGET_HELD * entries.length) / Math.max(servers.length, 1),
  );
  const chosen = new Set<string>();
  for (const group of groupServers(servers).values()) {
    const forCover = Math.ceil(
      (MIN_GROUP_HELD * entries.length) / group.length,
    );
    const copies = Math.min(
      entries.length,
      Math.max(wanted, forCover, MIN_COPIES),
    );
    const ids =
      copies === entries.length
        ? group.map(({id}) => id)
        : (splitGroup(group, entries, copies).get(own) ?? []);
    for (const id of ids) chosen.add(id);
  }
  return chosen;
}
