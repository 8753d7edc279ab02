import {
  NO_TIMES,
  RolloutEvidence,
  VersionCounts,
  countTimeRatio,
} from '@sycamorehead/schema';
import {FleetState, RolloutRecord} from '../lib/FleetState.js';
import {LoadExchange} from '../lib/LoadExchange.js';
import {RolloutJudge} from '../lib/RolloutJudge.js';
import {planRollout} from '../lib/planRollout.js';

const STEP_MS = 20;
const EXCHANGE_INTERVAL_MS = 100;
const DIGEST_INTERVAL_MS = 400;
const CHECK_INTERVAL_MS = 200;
/** Time until the entries obey a step, in milliseconds. */
const UPDATE_MS = 40;
const ENTRIES = 6;
const SERVERS = 8;
const CANARY_SHARE = 0.15;
const CANARY_SLACK = 30;
/** Time from the order until the servers of the new version are ready, in milliseconds. */
const START_MS = 600;
/** Fraction of answers that fail on any version. */
const FAILURE_RATE = 0.01;
/** Spread of the logarithm of an answer's time on a server without load, and what full load adds. */
const TIME_SPREAD = {idle: 0.35, load: 0.4} as const;
/** Requests in flight that count as full load of a server. */
const FULL_LOAD = 8;
/** Time for which an answer goes on after its first bytes, in milliseconds. */
const ANSWER_MS = 1_500;
/** Share of the requests and typical answer time of each route. */
const ROUTES = [
  {name: 'briefs', share: 0.25, baseMs: 180},
  {name: 'proofs', share: 0.35, baseMs: 60},
  {name: 'notes', share: 0.4, baseMs: 90},
] as const;

/** How the new version behaves. */
export interface SimulatedVersion {
  /** Share of its requests that fail. */
  readonly failing?: number;
  /** Share of its requests that are slow, and how many times. */
  readonly slow?: {readonly share: number; readonly factor: number};
  /** The only route on which it is bad; all if undefined. */
  readonly route?: string;
  /** Time after the order from which it is bad, in milliseconds. */
  readonly fromMs?: number;
  /** Requests in flight per server from which it is bad. */
  readonly fromLoad?: number;
}

/** A disturbance of some servers of both versions. */
export interface SimulatedTrouble {
  readonly fromMs: number;
  readonly toMs: number;
  /** Share of the servers. */
  readonly servers: number;
  readonly failing?: number;
  readonly slowFactor?: number;
}

/** Settings of a simulation. */
export interface SimulationOptions {
  readonly seed: number;
  readonly version: SimulatedVersion;
  readonly troubles?: readonly SimulatedTrouble[];
  readonly durationMs?: number;
  readonly requestsPerS?: number;
  /** Share of the entries whose reports reach no control instance. */
  readonly unreportedEntries?: number;
}

/** What became of a simulated roll-out. */
export interface SimulationResult {
  readonly phase: RolloutRecord['phase'];
  /** Requests that the new version got before the roll-out's deadline. */
  readonly exposed: number;
  /** Requests that a bad version may get. */
  readonly allowed: number;
  readonly steps: readonly string[];
}

interface SimulatedServer {
  readonly id: string;
  readonly isNew: boolean;
  /** Position among the servers of its version, 0 to 1, which decides on troubles. */
  readonly place: number;
  inFlight: number;
}

interface Pending {
  readonly endsAt: number;
  finish(): void;
}

/**
 * Simulates the decisions on one roll-out: requests arrive at entries, servers answer them, control
 * instances sum the evidence and take the steps. Only time, servers and callers are simulated.
 */
export class RolloutSimulation {
  private readonly random: () => number;
  private readonly state = new FleetState();
  private readonly controls = [0, 1].map(
    index => new LoadExchange(`c${index}`, () => 2),
  );
  private readonly counts = Array.from(
    {length: ENTRIES},
    () => new Map<string, VersionCounts>(),
  );
  private readonly servers: SimulatedServer[] = [];
  private readonly pending: Pending[] = [];
  private readonly steps: string[] = [];
  private readonly judge = new RolloutJudge();
  /** The share that the entries obey, and from when. */
  private shares = [{at: 0, share: 0}];
  private nowMs = 0;
  private arrivals = 0;
  private exposed = 0;

  constructor(
    private readonly options: SimulationOptions,
    private readonly clock: {tick(ms: number): unknown},
  ) {
    this.random = createRandom(options.seed);
    for (const isNew of [false, true]) {
      const places = createShuffledPlaces(SERVERS, this.random);
      places.forEach((place, index) => {
        const id = `${isNew ? 'n' : 'o'}${index}`;
        this.servers.push({id, isNew, place: place / SERVERS, inFlight: 0});
      });
    }
  }

  /** Runs the roll-out until it has an outcome, or one second past its deadline. */
  run(): SimulationResult {
    const {durationMs = 15_000} = this.options;
    this.state.apply({
      type: 'start_rollout',
      service: 'drafts',
      target: 'v2',
      durationMs,
    });
    while (this.nowMs < durationMs + 1_000) {
      this.advance(durationMs);
    }
    return {
      phase: this.rollout.phase,
      exposed: this.exposed,
      allowed: CANARY_SHARE * this.arrivals + CANARY_SLACK,
      steps: this.steps,
    };
  }

  private get rollout(): RolloutRecord {
    const rollout = this.state.findRollout('drafts');
    if (!rollout) throw new Error('the order is lost');
    return rollout;
  }

  private advance(durationMs: number): void {
    this.clock.tick(STEP_MS);
    this.nowMs += STEP_MS;
    const {requestsPerS = 57} = this.options;
    const mean = (requestsPerS * STEP_MS) / 1_000;
    for (let count = samplePoisson(mean, this.random); count > 0; count -= 1) {
      this.sendRequest(this.nowMs <= durationMs);
    }
    for (let index = this.pending.length - 1; index >= 0; index -= 1) {
      const send = this.pending[index]!;
      if (send.endsAt > this.nowMs) continue;
      this.pending.splice(index, 1);
      send.finish();
    }
    if (this.nowMs % EXCHANGE_INTERVAL_MS === 0) this.exchange();
    if (this.nowMs % DIGEST_INTERVAL_MS === 0) this.sendDigests();
    if (this.nowMs % CHECK_INTERVAL_MS === 0) this.check();
  }

  private sendRequest(isCounted: boolean): void {
    const {random, options, nowMs} = this;
    const isNew = nowMs >= START_MS && random() < this.getShare();
    const candidates = this.servers.filter(server => server.isNew === isNew);
    const server = candidates[Math.floor(random() * candidates.length)]!;
    const route = chooseRoute(random());
    if (isCounted) this.arrivals += 1;
    if (isCounted && isNew) this.exposed += 1;
    const trouble = (options.troubles ?? []).filter(
      ({fromMs, toMs, servers}) =>
        nowMs >= fromMs && nowMs < toMs && server.place < servers,
    );
    const isBad = isNew && this.isBad(route.name, server);
    const {version} = options;
    const failing = [
      FAILURE_RATE,
      ...trouble.map(({failing: share}) => share ?? 0),
      isBad ? (version.failing ?? 0) : 0,
    ];
    let slowFactor = trouble.reduce(
      (factor, {slowFactor: own}) => factor * (own ?? 1),
      1,
    );
    if (isBad && version.slow && random() < version.slow.share) {
      slowFactor *= version.slow.factor;
    }
    const hasFailed = failing.some(share => random() < share);
    const load = Math.min(1, server.inFlight / FULL_LOAD);
    const expectedMs = route.baseMs * (1 + load);
    const spread = TIME_SPREAD.idle + TIME_SPREAD.load * load;
    const noise = Math.exp(0.3 + spread * sampleNormal(random));
    const timeMs = expectedMs * noise * slowFactor;
    const counts = this.counts[Math.floor(random() * ENTRIES)]!;
    server.inFlight += 1;
    this.schedule(timeMs, () => {
      record(counts, route.name, server, hasFailed, timeMs / expectedMs);
    });
    this.schedule(timeMs + ANSWER_MS, () => (server.inFlight -= 1));
  }

  private schedule(delayMs: number, finish: () => void): void {
    this.pending.push({endsAt: this.nowMs + delayMs, finish});
  }

  private isBad(route: string, server: SimulatedServer): boolean {
    const {version} = this.options;
    return (
      (version.route === undefined || version.route === route) &&
      this.nowMs >= (version.fromMs ?? 0) &&
      server.inFlight >= (version.fromLoad ?? 0)
    );
  }

  private getShare(): number {
    const {nowMs} = this;
    return this.shares.filter(({at}) => at <= nowMs).at(-1)!.share;
  }

  private exchange(): void {
    const {unreportedEntries = 0} = this.options;
    this.counts.forEach((table, index) => {
      if (index < unreportedEntries * ENTRIES) return;
      const evidence: RolloutEvidence = {
        service: 'drafts',
        number: 1,
        counts: Object.fromEntries(table),
      };
      this.controls[index % 2]!.exchange({
        entry: `e${index}`,
        load: {},
        evidence: [evidence],
      });
    });
  }

  private sendDigests(): void {
    const [leader, other] = this.controls;
    leader!.acceptDigest(other!.describeDigest());
  }

  private check(): void {
    const {rollout, nowMs} = this;
    if (rollout.phase !== 'in_progress') return;
    const evidence = this.controls[0]!.listEvidence('drafts', 1);
    const freshServers = nowMs < START_MS ? 0 : SERVERS;
    const findings = this.judge.evaluate(evidence, rollout.share, freshServers);
    const step = planRollout({
      rollout,
      elapsedMs: nowMs,
      ...findings,
      freshServers,
      runningOnOld: this.servers
        .filter(({isNew}) => !isNew)
        .reduce((sum, {inFlight}) => sum + inFlight, 0),
      maxCanaryShare: CANARY_SHARE,
    });
    if (step.share !== rollout.share || step.phase !== rollout.phase) {
      const {phase, share} = step;
      const scores = [findings.assessment, findings.recent].map(
        ({verdict, reason, scores: {failures, slow}}) =>
          `${reason ?? verdict}:${failures.toFixed(1)},${slow.toFixed(1)}`,
      );
      this.steps.push(`${nowMs} ${phase} ${share} ${scores.join(' ')}`);
      const applied = {rolled_back: 0, completed: 1, in_progress: share};
      this.shares.push({at: nowMs + UPDATE_MS, share: applied[phase]});
    }
    this.state.apply({
      type: 'step_rollout',
      service: 'drafts',
      number: 1,
      step: {...step},
    });
  }
}

function record(
  table: Map<string, VersionCounts>,
  route: string,
  {id, isNew}: SimulatedServer,
  hasFailed: boolean,
  timeRatio: number,
): void {
  const key = isNew ? `${route} ${id}|new` : `${route}|old`;
  const known = table.get(key);
  const times = known?.times ?? NO_TIMES;
  table.set(key, {
    answers: (known?.answers ?? 0) + 1,
    failures: (known?.failures ?? 0) + (hasFailed ? 1 : 0),
    times: hasFailed ? times : countTime(times, timeRatio),
  });
}

function countTime(times: readonly number[], timeRatio: number): number[] {
  const counted = [...times];
  countTimeRatio(counted, timeRatio);
  return counted;
}

function chooseRoute(draw: number): (typeof ROUTES)[number] {
  let sum = 0;
  for (const route of ROUTES) {
    sum += route.share;
    if (draw < sum) return route;
  }
  return ROUTES[0];
}

/** Creates a generator of numbers from 0 to 1 (Mulberry32). */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

function sampleNormal(random: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

function samplePoisson(mean: number, random: () => number): number {
  const limit = Math.exp(-mean);
  let count = 0;
  for (let product = random(); product > limit; product *= random()) {
    count += 1;
  }
  return count;
}

function createShuffledPlaces(length: number, random: () => number): number[] {
  const places = Array.from({length}, (_, index) => index);
  for (let index = length - 1; index > 0; index -= 1) {
    const other = Math.floor(random() * (index + 1));
    [places[index], places[other]] = [places[other]!, places[index]!];
  }
  return places;
}
