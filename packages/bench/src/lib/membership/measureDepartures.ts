import {parseReleaseNote, hashKey} from '@sycamorehead/schema';
import type {Entry} from '@sycamorehead/entry';
import type {StandInEngine} from '@sycamorehead/stand-ins';
import {Fleet} from '../load/Fleet.js';
import {ArrivalPlan, generateArrivals} from '../load/arrivals.js';
import {runLoad} from '../load/runLoad.js';

const ENTRIES = 8;
const ENGINES = 8;
const POLL_MS = 10;
const OBSERVATION_MS = 7_000;
const LOAD_PER_SECOND = 60;
const CUSTOMER_KEY = 'exit-customer-key';

/** Times until a departing server is no longer used, in milliseconds. @internal */
export interface DepartureTimes {
  /** Time until no entry lists the server as ready. */
  readonly unlistedMs: number;
  /** Time until the last new request on the server started; 0 if none started. */
  readonly lastWorkMs: number;
}

/**
 * How a server departs: it announces that it leaves, its process stops, or only its announcements
 * stop.
 *
 * @internal
 */
export type DepartureKind = 'leaving' | 'killed' | 'silent';

const DEPARTURES: Record<
  DepartureKind,
  (engine: StandInEngine) => Promise<void>
> = {
  leaving: engine => engine.announcer.leave(),
  killed: engine => engine.stop(),
  silent: async engine => engine.announcer.stop(),
};

function buildNote() {
  return parseReleaseNote(`
number: 1
follows: 0
add:
  versions:
    - {model: inscription, version: v1, inputPrice: 0.2, outputPrice: 0.6, contextTokens: 8192, qualityPrior: 0.8}
  customers:
    - customer: taller
      keyHash: ${hashKey(CUSTOMER_KEY)}
      models: [{model: inscription, versions: any}]
      limits: {requestsPerSecond: 100000, tokensPerSecond: 10000000}
      qualityTarget: 0.5
`);
}

function buildPlan(seed: number): ArrivalPlan {
  return {
    seed,
    durationMs: 3 * OBSERVATION_MS,
    ratePerSecond: LOAD_PER_SECOND,
    customers: [{customer: 'taller', weight: 1}],
    kinds: [
      {
        kind: 'proof',
        weight: 1,
        promptTokens: 20,
        outputTokens: 4,
        sigma: 0.2,
        deadlineMs: 5_000,
      },
    ],
  };
}

function isListed(entries: readonly Entry[], id: string): boolean {
  return entries.some(({directory}) =>
    directory.listReady().some(({announcement}) => announcement.id === id),
  );
}

async function measureDeparture(
  fleet: Fleet,
  engine: StandInEngine,
  id: string,
  startDeparture: (engine: StandInEngine) => Promise<void>,
): Promise<DepartureTimes> {
  const startedAt = performance.now();
  let unlistedMs = Infinity;
  let lastWorkMs = 0;
  let runs = engine.runs.length;
  const departure = startDeparture(engine);
  for (;;) {
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
    const elapsedMs = performance.now() - startedAt;
    if (engine.runs.length > runs) lastWorkMs = elapsedMs;
    runs = engine.runs.length;
    if (isListed(fleet.entries, id)) unlistedMs = Infinity;
    else if (unlistedMs === Infinity) unlistedMs = elapsedMs;
    if (elapsedMs >= OBSERVATION_MS) break;
  }
  await departure;
  return {
    unlistedMs: Math.round(unlistedMs),
    lastWorkMs: Math.round(lastWorkMs),
  };
}

/**
 * Removes one engine after another under a light load through eight entries, and measures the time
 * until no entry sends it new work.
 *
 * @internal
 */
export async function measureDepartures(
  seed: number,
): Promise<Record<DepartureKind, DepartureTimes>> {
  const fleet = new Fleet({
    note: buildNote(),
    entries: ENTRIES,
    engines: ENGINES,
    services: {name: 'orders', replicas: 3},
    engineSpeed: {
      slots: 16,
      stepMs: 4,
      stepMsPerJob: 0.2,
      prefillTokensPerMs: 20,
    },
  });
  await fleet.start();
  try {
    const load = runLoad(
      {entryUrls: fleet.entryUrls, getKey: () => CUSTOMER_KEY},
      generateArrivals(buildPlan(seed)),
    );
    const times: Partial<Record<DepartureKind, DepartureTimes>> = {};
    for (const [index, kind] of (
      ['leaving', 'silent', 'killed'] as const
    ).entries()) {
      const engine = fleet.engines[index];
      if (!engine) throw new Error(`engine ${index + 1} does not exist`);
      const id = `engine-${index + 1}`;
      times[kind] = await measureDeparture(fleet, engine, id, DEPARTURES[kind]);
    }
    await load;
    return times as Record<DepartureKind, DepartureTimes>;
  } finally {
    await fleet.stop();
  }
}
