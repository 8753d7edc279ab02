import {
  AnswerTimes,
  Placement,
  PlacementRequest,
  ServerTable,
  SlotReservation,
  VersionSplit,
} from '@sycamorehead/gateway';
import {PrefillRates} from '@sycamorehead/routing';
import type {
  Experiment,
  ExperimentOptions,
  ExperimentResult,
} from '../experimentTypes.js';
import {SeededRandom} from '../load/arrivals.js';
import {computeMean, computeQuantile} from '../load/computeStatistics.js';

const SERVERS = 600;
const SLOTS = 12;
const WAITERS = 500;
const CUSTOMERS = 24;
const ENTRIES = 85;
const MODELS = ['small', 'medium', 'large'];
const DECISIONS = 2_000;
const WARM_UP_DECISIONS = 500;
const MAX_DECISION_MS = 0.2;
/** Longer than the experiment, in milliseconds. */
const PATIENCE_MS = 600_000;
const MAX_PROMPT_TOKENS = 12_000;
const ANSWER_TOKENS = 300;

/** One entry with full servers, at which requests of several models wait. */
class FullEntry {
  readonly placement: Placement;
  readonly reservations: SlotReservation[] = [];
  private readonly table = new ServerTable();
  private readonly random: SeededRandom;
  private readonly callers: AbortController[] = [];
  private count = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    const ids = Array.from({length: SERVERS}, (_, index) => `s${index}`);
    this.table.update({
      servers: ids.map((id, index) => ({
        isSilent: false,
        registration: {
          id,
          service: 'drafts',
          address: `10.0.${index >> 8}.${index & 255}:80`,
          dataCentre: `dc${index % 3}`,
          version: 'v1',
          slots: SLOTS,
          state: 'ready',
          startedAtMs: 1,
          sequence: 1,
        },
      })),
    });
    // All slots but one are taken by other entries.
    this.table.setOthersLoad(
      Object.fromEntries(ids.map(id => [id, [SLOTS - 1, 100]])),
    );
    this.placement = new Placement({
      servers: this.table,
      versions: new VersionSplit(PATIENCE_MS),
      rates: new PrefillRates(),
      times: new AnswerTimes(),
      policy: 'sampled',
      dataCentre: 'dc0',
      countEntries: () => ENTRIES,
    });
  }

  /** Asks for a slot and waits for it. */
  request(): void {
    const placed = this.placement.acquire(this.buildRequest());
    void placed.then(
      reservation => this.reservations.push(reservation),
      () => {},
    );
  }

  /** Lets all callers go, so that no timer is left. */
  stop(): void {
    for (const caller of this.callers) caller.abort();
  }

  private buildRequest(): PlacementRequest {
    const caller = new AbortController();
    this.callers.push(caller);
    const id = `r${(this.count += 1)}`;
    const promptTokens = Math.round(
      this.random.sampleUniform() * MAX_PROMPT_TOKENS,
    );
    const now = performance.now();
    return {
      request: {
        id,
        method: 'POST',
        target: '/',
        path: '/',
        host: 'shop.example',
        rawHeaders: [],
        key: undefined,
        session: undefined,
        lastEventId: undefined,
        arrivedAt: now,
        waitMs: undefined,
        size: {promptTokens, answerTokens: ANSWER_TOKENS},
        promptSegments: [
          {id: `shared${this.count % CUSTOMERS}`, tokens: promptTokens / 2},
          {id, tokens: promptTokens / 2},
        ],
        body: Buffer.alloc(0),
      },
      service: {
        name: 'drafts',
        healthPath: '/',
        maxConnections: 400,
        engine: {slots: SLOTS, tokenCapacity: 500_000, models: []},
      },
      route: `route ${this.count % 5}`,
      variant: 'old',
      model: MODELS[this.count % MODELS.length],
      priority: this.count % 3,
      customer: `customer ${this.count % CUSTOMERS}`,
      tried: new Set(),
      startBy: now + PATIENCE_MS * this.random.sampleUniform(),
      abandonAt: now + PATIENCE_MS,
      deadlineAt: now + 2 * PATIENCE_MS,
      signal: caller.signal,
    };
  }
}

async function run({seed}: ExperimentOptions): Promise<ExperimentResult> {
  const entry = new FullEntry(seed);
  for (let index = 0; index < SERVERS + WAITERS; index += 1) entry.request();
  await Promise.resolve();
  const waiting = entry.placement.countWaiting();
  const times = {release: [] as number[], arrival: [] as number[]};
  for (let index = 0; index < DECISIONS; index += 1) {
    const releasedAt = performance.now();
    entry.reservations.shift()?.release();
    const arrivedAt = performance.now();
    entry.request();
    const endedAt = performance.now();
    await Promise.resolve();
    if (index < WARM_UP_DECISIONS) continue;
    times.release.push(arrivedAt - releasedAt);
    times.arrival.push(endedAt - arrivedAt);
  }
  entry.stop();
  const figures = Object.entries(times).map(([name, values]) => ({
    name,
    meanMs: computeMean(values),
    p50Ms: computeQuantile(values, 0.5),
    p99Ms: computeQuantile(values, 0.99),
  }));
  return {
    experiment: 'queue',
    seed,
    baseline: {servers: SERVERS, waiting},
    candidate: Object.fromEntries(
      figures.map(({name, ...rest}) => [name, rest]),
    ),
    targets: figures.map(({name, meanMs}) => ({
      name: `decision on a ${name}`,
      target: `mean at most ${MAX_DECISION_MS} ms`,
      value: meanMs,
      met: meanMs <= MAX_DECISION_MS,
    })),
  };
}

/** Measures what a decision costs an entry at which many requests wait. @internal */
export const queue: Experiment = {
  summary: 'Time of a decision with 600 servers and 500 waiting requests',
  run,
};
