import type {ForwardPolicy} from './scoreServer.js';

/** Number of servers that are compared for one request. */
interface SampleSize {
  /** In the same data centre. */
  readonly near: number;
  /** In other data centres. */
  readonly far: number;
}

const SAMPLE_SIZES: Readonly<Record<ForwardPolicy, SampleSize>> = {
  sampled: {near: 2, far: 1},
  estimated: {near: Infinity, far: Infinity},
  least_loaded: {near: Infinity, far: Infinity},
};

/**
 * Draws the servers that are compared for one request. Reports of load are stale, and all entries
 * read the same ones: if each compared all servers, the least loaded one would receive the requests
 * of all entries until the next report. A few servers at random spread them (the power of two
 * choices). Most are drawn from the same data centre, since traffic between data centres is dear;
 * one from another keeps the load of the data centres even.
 *
 * @example
 * ```ts
 * sampleServers('sampled', servers, server => server.isNear); // three of the servers
 * ```
 * @public
 */
export function sampleServers<Server>(
  policy: ForwardPolicy,
  servers: readonly Server[],
  isNear: (server: Server) => boolean,
  random: () => number = Math.random,
): readonly Server[] {
  const {near, far} = SAMPLE_SIZES[policy];
  if (servers.length <= near + far) return servers;
  const nearServers = servers.filter(isNear);
  const farServers = servers.filter(server => !isNear(server));
  const nearCount = Math.min(near, nearServers.length);
  return [
    ...pickRandomly(nearServers, nearCount, random),
    ...pickRandomly(farServers, near + far - nearCount, random),
  ];
}

/** Picks some of the items at random, each at most once. */
function pickRandomly<Item>(
  items: readonly Item[],
  count: number,
  random: () => number,
): Item[] {
  const left = [...items];
  const picked: Item[] = [];
  while (picked.length < count && left.length > 0) {
    const index = Math.floor(random() * left.length);
    const last = left.pop();
    const item = index < left.length ? left[index] : last;
    if (last !== undefined && index < left.length) left[index] = last;
    if (item !== undefined) picked.push(item);
  }
  return picked;
}
