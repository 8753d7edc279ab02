import type {ForwardPolicy} from './scoreServer.js';

/** The smallest number of servers that are compared for one request. */
const MIN_SAMPLE = 3;
/** Number of entries that may compare the same server at a time, on average. */
const ENTRIES_PER_SERVER = 12;
/** Fraction of the compared servers that are in the same data centre. */
const NEAR_FRACTION = 2 / 3;

const SAMPLE_SIZES: Readonly<
  Record<ForwardPolicy, (servers: number, entries: number) => number>
> = {
  sampled: (servers, entries) =>
    Math.max(
      MIN_SAMPLE,
      Math.round((ENTRIES_PER_SERVER * servers) / Math.max(1, entries)),
    ),
  estimated: () => Infinity,
  least_loaded: () => Infinity,
};

/** Settings of a sample. @public */
export interface SampleOptions<Server> {
  readonly policy: ForwardPolicy;
  /** Number of entries that choose among the servers. */
  readonly entries: number;
  /** Returns whether a server is in the same data centre. */
  isNear(server: Server): boolean;
  /** Returns a random number in [0, 1). */
  readonly random?: () => number;
}

/**
 * Counts the servers of those usable that are drawn for one request.
 *
 * @example
 * ```ts
 * countSampled(69, {policy: 'sampled', entries: 195}); // 4
 * ```
 * @public
 */
export function countSampled(
  servers: number,
  {policy, entries}: Pick<SampleOptions<unknown>, 'policy' | 'entries'>,
): number {
  return Math.min(servers, SAMPLE_SIZES[policy](servers, entries));
}

/**
 * Draws the servers that are compared for one request. Reports of load are stale, and all entries
 * read the same ones: if each of many compared all servers, the least loaded one would receive the
 * requests of all entries until the next report. A few servers at random spread them (the power of
 * two choices); a few entries compare all. Most are drawn from the same data centre, since traffic
 * between data centres is dear; the others keep the load of the data centres even.
 *
 * @example
 * ```ts
 * sampleServers(servers, {policy: 'sampled', entries: 195, isNear}); // four of 69 servers
 * ```
 * @public
 */
export function sampleServers<Server>(
  servers: readonly Server[],
  options: SampleOptions<Server>,
): readonly Server[] {
  const {isNear, random = Math.random} = options;
  const size = countSampled(servers.length, options);
  if (servers.length <= size) return servers;
  const nearServers = servers.filter(server => isNear(server));
  const farServers = servers.filter(server => !isNear(server));
  const wantedNear = Math.round(size * NEAR_FRACTION);
  const farCount = Math.min(
    farServers.length,
    size - Math.min(wantedNear, nearServers.length),
  );
  return [
    ...pickRandomly(nearServers, size - farCount, random),
    ...pickRandomly(farServers, farCount, random),
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
