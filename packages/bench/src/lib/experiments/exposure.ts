import type {ReleaseNote} from '@sycamorehead/schema';
import type {
  Experiment,
  ExperimentOptions,
  ExperimentResult,
  ExperimentTarget,
} from '../experimentTypes.js';
import {Arrival, generateArrivals} from '../load/arrivals.js';
import {Fleet} from '../load/Fleet.js';
import {CallRecord, runLoad} from '../load/runLoad.js';
import {measureGuard} from './measureGuard.js';
import {
  SCENARIO_CUSTOMERS,
  SCENARIO_KINDS,
  SCENARIO_SPEED,
  buildRolloutNote,
  buildScenarioNote,
  getScenarioKey,
} from './versionScenario.js';

const DURATION_MS = 9_000;
const RATE_PER_SECOND = 250;
const RATING_DELAY_MS = 500;
const MISSING_SHARE = 0.3;
const ENTRIES = 8;
const ENGINES = 8;
const MAX_BAD_ANSWERS = 40;
const MAX_STOP_MS = 3_000;
const MAX_FALSE_QUARANTINES = 0.01;
const NEW_VERSION = 'm/v2';
const BAD_RATING = 0.55;
const GOOD_QUALITY: Readonly<Record<string, number>> = {
  'm/v1': 0.93,
  'm/v2': 0.93,
};

interface Scenario {
  /** Time at which the new version is published, in milliseconds. */
  readonly publishAtMs: number;
  /** Fraction of the work that the new version receives in its roll-out step. */
  readonly share: number;
  /** Time from which the answers of the new version are bad, in milliseconds. */
  readonly badFromMs: number;
  /** The only kind of work that the new version answers badly; all kinds if absent. */
  readonly badKind?: string;
}

const SCENARIOS: Readonly<Record<string, Scenario>> = {
  badFromStart: {publishAtMs: 2_500, share: 0.05, badFromMs: 0},
  badForOneKind: {
    publishAtMs: 2_500,
    share: 0.05,
    badFromMs: 0,
    badKind: 'proof',
  },
  turnsBad: {publishAtMs: 0, share: 1, badFromMs: 5_000},
};

const FIRST_NOTE = buildScenarioNote([
  '{model: m, version: v1, inputPrice: 1, outputPrice: 1, contextTokens: 8192, qualityPrior: 0.9}',
]);

function buildRollout(share: number): ReleaseNote {
  const minRatings = share < 1 ? 100_000 : 20;
  return buildRolloutNote({share, soakSeconds: 1, minRatings});
}

async function runScenario(
  scenario: Scenario,
  arrivals: readonly Arrival[],
  isGuarded: boolean,
) {
  const fleet = new Fleet({
    note: FIRST_NOTE,
    entries: ENTRIES,
    engines: ENGINES,
    engineSpeed: SCENARIO_SPEED,
    getEngineVersions: () => [
      {model: 'm', version: 'v1'},
      {model: 'm', version: 'v2'},
    ],
    quality: {...GOOD_QUALITY},
    ratings: {sampledShare: 0.2},
    reportsEvidence: isGuarded,
  });
  fleet.ratings.delayMs = RATING_DELAY_MS;
  fleet.ratings.missingShare = MISSING_SHARE;
  await fleet.start();
  const timers = scheduleChanges(fleet, scenario);
  const {entryUrls} = fleet;
  const records = await runLoad({entryUrls, getKey: getScenarioKey}, arrivals);
  timers.forEach(clearTimeout);
  const {configuration} = await fleet.control.readInForce();
  await fleet.stop();
  return {
    ...describeRecords(records, scenario),
    state: configuration.versions[NEW_VERSION]?.state ?? 'unknown',
    reason: configuration.versions[NEW_VERSION]?.reason,
  };
}

function scheduleChanges(fleet: Fleet, scenario: Scenario): NodeJS.Timeout[] {
  const {publishAtMs, share, badFromMs, badKind} = scenario;
  const badKey = badKind ? `${NEW_VERSION}/${badKind}` : NEW_VERSION;
  return [
    setTimeout(() => {
      void fleet.control.publish(buildRollout(share));
    }, publishAtMs),
    setTimeout(() => {
      fleet.ratings.quality[badKey] = BAD_RATING;
    }, badFromMs),
  ];
}

function describeRecords(records: readonly CallRecord[], scenario: Scenario) {
  const newVersionRecords = records.filter(
    ({version, outcome}) => version === NEW_VERSION && outcome === 'ok',
  );
  const badRecords = newVersionRecords.filter(
    ({arrival}) =>
      arrival.atMs >= scenario.badFromMs &&
      (!scenario.badKind || arrival.kind.kind === scenario.badKind),
  );
  const lastAtMs = Math.max(0, ...badRecords.map(({arrival}) => arrival.atMs));
  return {
    answers: records.length,
    failed: records.filter(({outcome}) => outcome !== 'ok').length,
    newVersionAnswers: newVersionRecords.length,
    badAnswers: badRecords.length,
    lastBadAfterMs: Math.max(
      0,
      lastAtMs - Math.max(scenario.badFromMs, scenario.publishAtMs),
    ),
  };
}

type ScenarioRuns = Record<string, Awaited<ReturnType<typeof runScenario>>>;

async function runAllScenarios(
  arrivals: readonly Arrival[],
  isGuarded: boolean,
): Promise<ScenarioRuns> {
  const runs: ScenarioRuns = {};
  for (const [name, scenario] of Object.entries(SCENARIOS)) {
    runs[name] = await runScenario(scenario, arrivals, isGuarded);
  }
  return runs;
}

function buildTarget(
  name: string,
  value: number,
  bound: number,
  isPreconditionMet = true,
): ExperimentTarget {
  return {
    name,
    target: `≤ ${bound}`,
    value,
    met: isPreconditionMet && value <= bound,
  };
}

function isQuarantined(runs: ScenarioRuns, name: string): boolean {
  return runs[name]?.state === 'quarantined';
}

async function run({seed}: ExperimentOptions): Promise<ExperimentResult> {
  const arrivals = generateArrivals({
    seed,
    durationMs: DURATION_MS,
    ratePerSecond: RATE_PER_SECOND,
    kinds: SCENARIO_KINDS,
    customers: SCENARIO_CUSTOMERS,
  });
  const baseline = await runAllScenarios(arrivals, false);
  const candidate = await runAllScenarios(arrivals, true);
  const guard = measureGuard(seed);
  const stopMs = (candidate.turnsBad?.lastBadAfterMs ?? 0) - RATING_DELAY_MS;
  const failed = Object.values(candidate).reduce(
    (sum, scenarioRun) => sum + scenarioRun.failed,
    0,
  );
  return {
    experiment: 'exposure',
    seed,
    baseline,
    candidate: {...candidate, guard},
    targets: [
      buildTarget(
        'bad answers, bad from the start, 5% step',
        candidate.badFromStart?.badAnswers ?? Infinity,
        MAX_BAD_ANSWERS,
        isQuarantined(candidate, 'badFromStart'),
      ),
      buildTarget(
        'bad answers, bad for one kind, 5% step',
        candidate.badForOneKind?.badAnswers ?? Infinity,
        MAX_BAD_ANSWERS,
        isQuarantined(candidate, 'badForOneKind'),
      ),
      buildTarget(
        'ms until new work stops beyond the ratings’ delay, turned bad at full share',
        stopMs,
        MAX_STOP_MS,
        isQuarantined(candidate, 'turnsBad'),
      ),
      buildTarget(
        'share of good roll-outs quarantined (simulated evidence)',
        guard.falseQuarantineShare,
        MAX_FALSE_QUARANTINES,
      ),
      buildTarget('requests not answered', failed, 0),
    ],
  };
}

/** Measures how many answers of bad versions reach callers. @public */
export const EXPOSURE_EXPERIMENT: Experiment = {
  summary:
    'answers from versions that are bad from the start, for one kind, or after some time',
  run,
};
