import type {
  Experiment,
  ExperimentOptions,
  ExperimentResult,
  ExperimentTarget,
} from '../experimentTypes.js';
import {generateArrivals} from '../load/arrivals.js';
import {
  BASELINE_POLICIES,
  ScenarioPolicies,
  runScenario,
} from '../scenario/runScenario.js';
import {describeRun, trimDecimals} from '../scenario/scenarioFigures.js';
import {ALL_KINDS, CUSTOMERS, computeRate} from '../scenario/workload.js';
import {CANDIDATE_POLICIES} from '../scenario/candidatePolicies.js';

const LOAD = 0.45;
const DURATION_MS = 6_000;
const SLOW_FROM_MS = 1_500;
const SLOW_FACTOR = 10;
const REPORT_LAG_MS = 5_000;
const MAX_SLOWDOWN = 1.5;
const MAX_EXTRA_WORK = 0.05;

async function runWithSlowEngines(
  seed: number,
  policies: ScenarioPolicies,
  slowEngines: number,
) {
  const run = await runScenario({
    policies,
    arrivals: generateArrivals({
      seed,
      durationMs: DURATION_MS,
      ratePerSecond: computeRate(ALL_KINDS, LOAD),
      kinds: ALL_KINDS,
      customers: CUSTOMERS,
    }),
    commonFaults: {reportLagMs: REPORT_LAG_MS},
    timedFaults: Array.from({length: slowEngines}, (unused, engine) => ({
      atMs: SLOW_FROM_MS,
      engine,
      faults: {slowFactor: SLOW_FACTOR},
    })),
  });
  return describeRun(run);
}

async function compareSlowEngines(seed: number, policies: ScenarioPolicies) {
  const none = await runWithSlowEngines(seed, policies, 0);
  const one = await runWithSlowEngines(seed, policies, 1);
  const two = await runWithSlowEngines(seed, policies, 2);
  return {
    none,
    one,
    two,
    slowdownOfOne: trimDecimals(one.shortP99Ms / none.shortP99Ms),
    slowdownOfTwo: trimDecimals(two.shortP99Ms / none.shortP99Ms),
    extraWork: Math.max(none.extraWork, one.extraWork, two.extraWork),
  };
}

function buildTarget(
  name: string,
  value: number,
  bound: number,
): ExperimentTarget {
  return {name, target: `≤ ${bound}`, value, met: value <= bound};
}

/**
 * Measures the latency of short work with delayed load reports, while none, one or two of the eight
 * engines are slow.
 *
 * @public
 */
export const straggler: Experiment = {
  summary: 'latency of short work while engines are stragglers',
  async run({seed}: ExperimentOptions): Promise<ExperimentResult> {
    const baseline = await compareSlowEngines(seed, BASELINE_POLICIES);
    const candidate = await compareSlowEngines(seed, CANDIDATE_POLICIES);
    return {
      experiment: 'straggler',
      seed,
      baseline,
      candidate,
      targets: [
        buildTarget(
          'p99 of short work with one straggler, over that with none',
          candidate.slowdownOfOne,
          MAX_SLOWDOWN,
        ),
        buildTarget(
          'p99 of short work with two stragglers, over that with none',
          candidate.slowdownOfTwo,
          MAX_SLOWDOWN,
        ),
        buildTarget('extra work', candidate.extraWork, MAX_EXTRA_WORK),
      ],
    };
  },
};
