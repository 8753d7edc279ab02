import {sampleByHash} from '@sycamorehead/routing';
import type {VersionPolicyName} from '@sycamorehead/routing';
import type {
  Experiment,
  ExperimentOptions,
  ExperimentResult,
} from '../experimentTypes.js';
import {Arrival, generateArrivals} from '../load/arrivals.js';
import {computeMean} from '../load/computeStatistics.js';
import {Fleet} from '../load/Fleet.js';
import {CallRecord, runLoad} from '../load/runLoad.js';
import {
  SCENARIO_CUSTOMERS,
  SCENARIO_KINDS,
  SCENARIO_SPEED,
  buildScenarioNote,
  getScenarioKey,
} from './versionScenario.js';

const DURATION_MS = 9_000;
const RATE_PER_SECOND = 200;
const RATING_DELAY_MS = 200;
const MISSING_SHARE = 0.1;
const MAX_COST_RATIO_TO_BEST = 0.5;
const MAX_COST_RATIO_TO_ORACLE = 1.15;
const ENTRIES = 8;
const ENGINES = 8;

/** Price per prompt or output token, in micro-units. */
const PRICES: Readonly<Record<string, number>> = {
  'small/v1': 1,
  'medium/v1': 3,
  'large/v1': 10,
};
/** Mean ratings by version and kind; an answer's rating differs from its mean by at most 0.1. */
const QUALITY: Readonly<Record<string, number>> = {
  'small/v1/proof': 0.83,
  'small/v1/note': 0.94,
  'small/v1/label': 0.95,
  'small/v1/brief': 0.7,
  'medium/v1/proof': 0.88,
  'medium/v1/note': 0.95,
  'medium/v1/label': 0.95,
  'medium/v1/brief': 0.94,
  'large/v1/proof': 0.95,
  'large/v1/note': 0.96,
  'large/v1/label': 0.96,
  'large/v1/brief': 0.96,
};

const NOTE = buildScenarioNote([
  '{model: small, version: v1, inputPrice: 1, outputPrice: 1, contextTokens: 8192, qualityPrior: 0.82}',
  '{model: medium, version: v1, inputPrice: 3, outputPrice: 3, contextTokens: 16384, qualityPrior: 0.88}',
  '{model: large, version: v1, inputPrice: 10, outputPrice: 10, contextTokens: 32768, qualityPrior: 0.94}',
]);

function computeCost(arrival: Arrival, version: string): number {
  const price = PRICES[version] ?? Number.NaN;
  return price * (arrival.promptTokens + arrival.outputTokens);
}

function getQuality(arrival: Arrival, version: string): number {
  return QUALITY[`${version}/${arrival.kind.kind}`] ?? Number.NaN;
}

function getQualityTarget(customer: string): number {
  const found = SCENARIO_CUSTOMERS.find(load => load.customer === customer);
  return found?.qualityTarget ?? Number.NaN;
}

/** Returns the version that a router with knowledge of every mean rating would choose. */
function chooseByOracle(arrival: Arrival): string {
  const byPrice = Object.keys(PRICES).sort(
    (left, right) => PRICES[left]! - PRICES[right]!,
  );
  const target = getQualityTarget(arrival.customer);
  const cheapestAtTarget = byPrice.find(
    version => getQuality(arrival, version) >= target,
  );
  return cheapestAtTarget ?? byPrice[byPrice.length - 1]!;
}

interface Choice {
  readonly arrival: Arrival;
  readonly version: string;
}

function measureChoices(choices: readonly Choice[]) {
  const margins = SCENARIO_CUSTOMERS.map(({customer, qualityTarget}) => {
    const customerChoices = choices.filter(
      ({arrival}) => arrival.customer === customer,
    );
    const quality = customerChoices.map(({arrival, version}) =>
      getQuality(arrival, version),
    );
    return computeMean(quality) - qualityTarget;
  });
  const costs = choices.map(({arrival, version}) =>
    computeCost(arrival, version),
  );
  return {
    requests: choices.length,
    meanCost: computeMean(costs),
    /** Smallest margin of a customer's mean quality over the quality target. */
    worstMargin: Math.min(...margins),
    /** Fraction of answers from versions with a mean quality below the customer's target. */
    belowTarget: computeMean(
      choices.map(({arrival, version}) =>
        getQuality(arrival, version) < getQualityTarget(arrival.customer)
          ? 1
          : 0,
      ),
    ),
  };
}

async function runPolicy(
  arrivals: readonly Arrival[],
  versionPolicy: VersionPolicyName,
) {
  const fleet = new Fleet({
    note: NOTE,
    entries: ENTRIES,
    engines: ENGINES,
    engineSpeed: SCENARIO_SPEED,
    quality: {...QUALITY},
    ratings: {sampledShare: 0.2},
    entryOptions: {policies: {versionPolicy}},
  });
  fleet.ratings.delayMs = RATING_DELAY_MS;
  fleet.ratings.missingShare = MISSING_SHARE;
  await fleet.start();
  const {entryUrls} = fleet;
  const records = await runLoad({entryUrls, getKey: getScenarioKey}, arrivals);
  await fleet.stop();
  return describeRun(records);
}

function describeRun(records: readonly CallRecord[]) {
  const answered = records.filter(({outcome}) => outcome === 'ok');
  const shares: Record<string, number> = {};
  for (const {version} of answered) {
    shares[version] = (shares[version] ?? 0) + 1 / answered.length;
  }
  return {
    ...measureChoices(answered),
    failed: records.length - answered.length,
    shares,
    secondHalfMeanCost: measureChoices(
      answered.filter(({arrival}) => arrival.atMs >= DURATION_MS / 2),
    ).meanCost,
  };
}

async function run({seed}: ExperimentOptions): Promise<ExperimentResult> {
  const arrivals = generateArrivals({
    seed,
    durationMs: DURATION_MS,
    ratePerSecond: RATE_PER_SECOND,
    kinds: SCENARIO_KINDS,
    customers: SCENARIO_CUSTOMERS,
    surges: [{atMs: 3_000, durationMs: 1_000, factor: 2}],
  });
  const baseline = await runPolicy(arrivals, 'fixed_best');
  const candidate = await runPolicy(arrivals, 'cheapest_at_target');
  const oracle = measureChoices(
    arrivals.map(arrival => ({arrival, version: chooseByOracle(arrival)})),
  );
  const randomChoice = measureChoices(
    arrivals.map(arrival => ({arrival, version: pickRandomVersion(arrival)})),
  );
  const costRatioToBest = candidate.meanCost / baseline.meanCost;
  const costRatioToOracle = candidate.meanCost / oracle.meanCost;
  return {
    experiment: 'cost',
    seed,
    baseline,
    candidate: {...candidate, allKnowing: oracle, byChance: randomChoice},
    targets: [
      {
        name: 'cost of always-best',
        target: `≤ ${MAX_COST_RATIO_TO_BEST}`,
        value: costRatioToBest,
        met: costRatioToBest <= MAX_COST_RATIO_TO_BEST,
      },
      {
        name: 'cost of the all-knowing choice',
        target: `≤ ${MAX_COST_RATIO_TO_ORACLE}`,
        value: costRatioToOracle,
        met: costRatioToOracle <= MAX_COST_RATIO_TO_ORACLE,
      },
      {
        name: 'mean quality above the target, worst customer',
        target: '≥ 0',
        value: candidate.worstMargin,
        met: candidate.worstMargin >= 0,
      },
      {
        name: 'requests not answered',
        target: '≤ 0',
        value: candidate.failed,
        met: candidate.failed === 0,
      },
    ],
  };
}

/** Picks a version uniformly at random, as a router without any knowledge would. */
function pickRandomVersion(arrival: Arrival): string {
  const versions = Object.keys(PRICES);
  const draw = sampleByHash(String(arrival.index));
  return versions[Math.floor(draw * versions.length)]!;
}

/** Measures the cost of answers at the customers' quality targets. @public */
export const COST_EXPERIMENT: Experiment = {
  summary:
    'mean cost at the quality target, relative to always-best and to an oracle',
  run,
};
