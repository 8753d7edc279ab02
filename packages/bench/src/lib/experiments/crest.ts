import type {
  Experiment,
  ExperimentOptions,
  ExperimentResult,
} from '../experimentTypes.js';
import {generateArrivals} from '../load/arrivals.js';
import {computeQuantile} from '../load/computeStatistics.js';
import type {CallRecord} from '../load/runLoad.js';
import {
  BASELINE_POLICIES,
  ScenarioPolicies,
  ScenarioRecord,
  runScenario,
} from '../scenario/runScenario.js';
import {
  computeInTimeShare,
  describeRun,
  isInTime,
  isModelRequest,
  isRefused,
  trimDecimals,
  sumOutputTokens,
} from '../scenario/scenarioFigures.js';
import {computeAchievableGoodput} from '../scenario/computeAchievableGoodput.js';
import {ALL_KINDS, CUSTOMERS, computeRate} from '../scenario/workload.js';
import {CANDIDATE_POLICIES} from '../scenario/candidatePolicies.js';

const BASE_LOAD = 0.4;
const SURGE_FACTOR = 5;
const DURATION_MS = 8_000;
const SURGE_MS = 2_000;
const FIRST_SURGE_AT_MS = 1_500;
const SECOND_SURGE_AT_MS = 5_000;
const LARGE_CUSTOMER = 'large-1';

/** Returns the factor on one customer's arrivals that multiplies the total by the surge factor. */
function computeCustomerFactor(customer: string): number {
  const totalWeight = CUSTOMERS.reduce((sum, {weight}) => sum + weight, 0);
  const customerLoad = CUSTOMERS.find(load => load.customer === customer);
  return 1 + ((SURGE_FACTOR - 1) * totalWeight) / (customerLoad?.weight ?? 1);
}

/** Plans arrivals with two five-fold surges: all customers, then a large one. @internal */
export function planCrest(seed: number) {
  return {
    seed,
    durationMs: DURATION_MS,
    ratePerSecond: computeRate(ALL_KINDS, BASE_LOAD),
    kinds: ALL_KINDS,
    customers: CUSTOMERS,
    surges: [
      {atMs: FIRST_SURGE_AT_MS, durationMs: SURGE_MS, factor: SURGE_FACTOR},
      {
        atMs: SECOND_SURGE_AT_MS,
        durationMs: SURGE_MS,
        factor: computeCustomerFactor(LARGE_CUSTOMER),
        customer: LARGE_CUSTOMER,
      },
    ],
  };
}

/** Computes the figures of one run with the surges. @internal */
export function measureCrest(run: ScenarioRecord) {
  const {records} = run;
  const possible = computeAchievableGoodput(
    records.map(({arrival}) => arrival),
  );
  const modelRecords = records.filter(isModelRequest);
  const plainRecords = records.filter(record => !isModelRequest(record));
  const refused = records.filter(isRefused);
  const smallCustomerRecords = modelRecords.filter(
    ({arrival}) => arrival.customer !== LARGE_CUSTOMER,
  );
  const isInSecondSurge = ({arrival}: CallRecord) =>
    arrival.atMs >= SECOND_SURGE_AT_MS &&
    arrival.atMs < SECOND_SURGE_AT_MS + SURGE_MS;
  const isBeforeSurges = ({arrival}: CallRecord) =>
    arrival.atMs < FIRST_SURGE_AT_MS;
  const engineIds = new Set(
    run.runs.flat().map(({id}) => id.replace(/\.\d+$/, '')),
  );
  return {
    ...describeRun(run),
    servedOfPossible: trimDecimals(
      sumOutputTokens(modelRecords.filter(isInTime)) / possible.tokens,
    ),
    requestsOfPossible: trimDecimals(
      modelRecords.filter(isInTime).length / possible.requests,
    ),
    refusalP99Ms: trimDecimals(
      computeQuantile(
        refused.map(({totalMs}) => totalMs),
        0.99,
      ),
    ),
    refusalMaxMs: trimDecimals(
      Math.max(0, ...refused.map(({totalMs}) => totalMs)),
    ),
    untrueRefusals: refused.filter(
      ({ran, requestId}) => ran !== 'no' || engineIds.has(requestId),
    ).length,
    smallCustomersLoss: trimDecimals(
      computeInTimeShare(smallCustomerRecords.filter(isBeforeSurges)) -
        computeInTimeShare(smallCustomerRecords.filter(isInSecondSurge)),
    ),
    plainInTime: trimDecimals(computeInTimeShare(plainRecords)),
  };
}

async function runCrest(
  seed: number,
  policies: ScenarioPolicies,
): Promise<ReturnType<typeof measureCrest>> {
  return measureCrest(
    await runScenario({policies, arrivals: generateArrivals(planCrest(seed))}),
  );
}

/** Measures service under two five-fold surges of two seconds each. @public */
export const crest: Experiment = {
  summary: 'service under two five-fold surges',
  async run({seed}: ExperimentOptions): Promise<ExperimentResult> {
    const baseline = await runCrest(seed, BASELINE_POLICIES);
    const candidate = await runCrest(seed, CANDIDATE_POLICIES);
    const {servedOfPossible, refusalMaxMs, untrueRefusals} = candidate;
    const {smallCustomersLoss, plainInTime} = candidate;
    return {
      experiment: 'crest',
      seed,
      baseline,
      candidate,
      targets: [
        {
          name: 'tokens served in time, of those possible',
          target: '≥ 0.9',
          value: servedOfPossible,
          met: servedOfPossible >= 0.9,
        },
        {
          name: 'slowest refusal',
          target: '≤ 50 ms',
          value: refusalMaxMs,
          met: refusalMaxMs <= 50,
        },
        {
          name: 'untrue refusals',
          target: '0',
          value: untrueRefusals,
          met: untrueRefusals === 0,
        },
        {
          name: "small customers' loss to a large one's surge",
          target: '≤ 0.05',
          value: smallCustomersLoss,
          met: smallCustomersLoss <= 0.05,
        },
        {
          name: 'plain calls in time',
          target: '≥ 0.999',
          value: plainInTime,
          met: plainInTime >= 0.999,
        },
      ],
    };
  },
};
