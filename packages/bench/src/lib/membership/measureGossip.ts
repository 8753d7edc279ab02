import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Announcement} from '@sycamorehead/schema';
import {SeededRandom} from '../load/arrivals.js';
import {GossipFleet, GossipMode} from './GossipFleet.js';

const ENTRIES = 8;
const VERSIONS = 7;
const SERVERS_PER_SERVICE = 4;
const PERIOD_MS = 1_000;
const SLICES_PER_PERIOD = 20;
const WARM_UP_PERIODS = 5;

/** Membership cost of one entry. @internal */
export interface GossipCost {
  readonly servers: number;
  /** Bytes per second that one entry sends to all its peers. */
  readonly sentBytesPerSecond: number;
  readonly sentAndReceivedBytesPerSecond: number;
  /** Share of one core in percent, including the simulated servers and the relays. */
  readonly cpuPercent: number;
  readonly heapMegabytes: number;
  /** Highest number of servers that any entry tracks. */
  readonly held: number;
  /** Tracked servers not listed as ready at the end, summed over all entries. */
  readonly missing: number;
}

/**
 * Announces each simulated server once a second to a random entry, as if through a load balancer.
 */
class SimulatedServers {
  private sequence = 0;
  private readonly random: SeededRandom;

  constructor(
    private readonly fleet: GossipFleet,
    private readonly count: number,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
  }

  async run(periods: number): Promise<void> {
    const startedAt = performance.now();
    for (let slice = 0; slice < periods * SLICES_PER_PERIOD; slice++) {
      const dueAt = startedAt + (slice * PERIOD_MS) / SLICES_PER_PERIOD;
      const waitMs = Math.max(0, dueAt - performance.now());
      await new Promise(resolve => setTimeout(resolve, waitMs));
      if (slice % SLICES_PER_PERIOD === 0) this.sequence += 1;
      for (
        let id = slice % SLICES_PER_PERIOD;
        id < this.count;
        id += SLICES_PER_PERIOD
      ) {
        const entry = Math.floor(this.random.sampleUniform() * ENTRIES);
        this.fleet.entries[entry]?.receive(buildServer(id, this.sequence));
      }
    }
  }
}

function buildServer(index: number, sequence: number): Announcement {
  const isService = index % SERVERS_PER_SERVICE === SERVERS_PER_SERVICE - 1;
  const running = (index * 7 + sequence) % 17;
  return {
    id: `server-${index}`,
    address: `http://127.0.0.1:${20_000 + index}`,
    dataCentre: `dc-${(index % 3) + 1}`,
    kind: isService ? 'service' : 'engine',
    ...(isService && {service: 'orders'}),
    generation: 1,
    sequence,
    state: 'ready',
    versions: isService
      ? []
      : [{model: 'inscription', version: `v${index % VERSIONS}`}],
    slots: 16,
    fencing: 'checked',
    load: {running, queued: 0, tokensPerSecond: running * 50, ageMs: 200},
  };
}

function measureHeapBytes(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  return process.memoryUsage().heapUsed;
}

/**
 * Measures the membership cost of an entry for a number of announced servers.
 *
 * @internal
 */
export async function measureGossip(
  mode: GossipMode,
  servers: number,
  seed: number,
  periods: number,
): Promise<{cost: GossipCost; loads: number[]}> {
  const heapBefore = measureHeapBytes();
  const fleet = new GossipFleet(mode);
  await fleet.start(ENTRIES);
  try {
    const simulatedServers = new SimulatedServers(fleet, servers, seed);
    await simulatedServers.run(WARM_UP_PERIODS);
    const bytes = fleet.countBytes();
    const cpu = process.cpuUsage();
    const startedAt = performance.now();
    await simulatedServers.run(periods);
    const seconds = (performance.now() - startedAt) / 1_000;
    const {user, system} = process.cpuUsage(cpu);
    const sent = (fleet.countBytes() - bytes) / seconds / ENTRIES;
    const heap = (measureHeapBytes() - heapBefore) / ENTRIES;
    const tracked = fleet.entries.map(({directory}) => directory.listTracked());
    const ready = fleet.entries.map(({directory}) => directory.listReady());
    const cost = {
      servers,
      sentBytesPerSecond: Math.round(sent),
      sentAndReceivedBytesPerSecond: Math.round(2 * sent),
      cpuPercent: limitDecimals((user + system) / 1e4 / seconds / ENTRIES),
      heapMegabytes: limitDecimals(heap / 2 ** 20),
      held: Math.max(...tracked.map(({length}) => length)),
      missing: tracked.reduce(
        (sum, list, entry) => sum + list.length - (ready[entry]?.length ?? 0),
        0,
      ),
    };
    const views = ready.map(list => list.map(({announcement}) => announcement));
    return {cost, loads: computeServerLoads(views)};
  } finally {
    await fleet.stop();
  }
}

/**
 * Computes the load of each server relative to the mean of its group, assuming that every entry
 * receives the same traffic for each group and spreads it evenly over the servers that it tracks.
 */
export function computeServerLoads(
  views: ReadonlyArray<readonly Announcement[]>,
): number[] {
  const getGroup = ({service, versions}: Announcement) =>
    service ?? versions[0]?.version ?? '';
  const loads = new Map<string, {group: string; load: number}>();
  for (const view of views) {
    const viewGroupSizes = new Map<string, number>();
    for (const server of view) {
      const group = getGroup(server);
      viewGroupSizes.set(group, (viewGroupSizes.get(group) ?? 0) + 1);
    }
    for (const server of view) {
      const group = getGroup(server);
      const load = loads.get(server.id)?.load ?? 0;
      const share = 1 / (viewGroupSizes.get(group) ?? 1);
      loads.set(server.id, {group, load: load + share});
    }
  }
  const groupSizes = new Map<string, number>();
  for (const {group} of loads.values()) {
    groupSizes.set(group, (groupSizes.get(group) ?? 0) + 1);
  }
  return [...loads.values()].map(
    ({group, load}) => (load * (groupSizes.get(group) ?? 0)) / views.length,
  );
}

/** Picks the baseline: for each entry a random set of as many servers as it would track. */
export function pickRandomViews(
  servers: number,
  serversPerView: number,
  seed: number,
): Announcement[][] {
  const random = new SeededRandom(seed);
  return Array.from({length: ENTRIES}, () => {
    const ids = Array.from({length: servers}, (unused, index) => index);
    const picked: Announcement[] = [];
    for (let pick = 0; pick < Math.min(serversPerView, servers); pick++) {
      const position = Math.floor(random.sampleUniform() * ids.length);
      const [id = 0] = ids.splice(position, 1);
      picked.push(buildServer(id, 1));
    }
    return picked;
  });
}

function limitDecimals(value: number): number {
  return Math.round(value * 100) / 100;
}
