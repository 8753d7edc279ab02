import type {
  Experiment,
  ExperimentOptions,
  ExperimentResult,
} from '../experimentTypes.js';
import {Arrival, WorkKind, generateArrivals} from '../load/arrivals.js';
import {
  BASELINE_POLICIES,
  ScenarioPolicies,
  ScenarioRecord,
  runScenario,
} from '../scenario/runScenario.js';
import {
  describeRun,
  isLongRequest,
  trimDecimals,
} from '../scenario/scenarioFigures.js';
import {
  BRIEF,
  CUSTOMERS,
  SHORT_KINDS,
  computeRate,
} from '../scenario/workload.js';
import {CANDIDATE_POLICIES} from '../scenario/candidatePolicies.js';

const LOAD = 0.75;
const DURATION_MS = 6_000;
/** Weight of long work among the arrivals, relative to the other kinds. */
const LONG_WEIGHT = 8;
const MAX_SLOWDOWN = 1.3;
const MIN_LONG_THROUGHPUT = 0.85;
const KINDS: readonly WorkKind[] = [
  ...SHORT_KINDS,
  {...BRIEF, weight: LONG_WEIGHT},
];
/** One large customer temporarily sends four times as much work of every kind. */
const SURGE = {atMs: 2_000, durationMs: 1_200, factor: 4, customer: 'large-1'};

function generateMix(seed: number): Arrival[] {
  return generateArrivals({
    seed,
    durationMs: DURATION_MS,
    ratePerSecond: computeRate(KINDS, LOAD),
    kinds: KINDS,
    customers: CUSTOMERS,
    surges: [SURGE],
  });
}

/**
 * Returns the throughput of complete long answers, in tokens per millisecond from the start of the
 * run until the last of them was complete.
 */
function computeLongThroughput({records}: ScenarioRecord): number {
  const long = records.filter(
    record => isLongRequest(record) && record.outcome === 'ok',
  );
  const lastEndMs = Math.max(
    ...long.map(({arrival, totalMs}) => arrival.atMs + totalMs),
  );
  return long.reduce((sum, {tokens}) => sum + tokens, 0) / lastEndMs;
}

async function compareMixes(seed: number, policies: ScenarioPolicies) {
  const arrivals = generateMix(seed);
  const short = arrivals.filter(({kind}) => kind.kind !== BRIEF.kind);
  const without = await runScenario({policies, arrivals: short});
  const mixed = await runScenario({policies, arrivals});
  const figures = {without: describeRun(without), mixed: describeRun(mixed)};
  return {
    ...figures,
    slowdown: trimDecimals(
      figures.mixed.shortP99Ms / figures.without.shortP99Ms,
    ),
    longTokensPerMs: trimDecimals(computeLongThroughput(mixed)),
  };
}

/** Compares the latency of short work with and without concurrent long work. @public */
export const headOfLine: Experiment = {
  summary: 'short work behind long work',
  async run({seed}: ExperimentOptions): Promise<ExperimentResult> {
    const baseline = await compareMixes(seed, BASELINE_POLICIES);
    const candidate = await compareMixes(seed, CANDIDATE_POLICIES);
    const {slowdown} = candidate;
    const longThroughputRatio = trimDecimals(
      candidate.longTokensPerMs / baseline.longTokensPerMs,
    );
    return {
      experiment: 'head-of-line',
      seed,
      baseline,
      candidate,
      targets: [
        {
          name: 'p99 of short work with long work beside it, over that without',
          target: `≤ ${MAX_SLOWDOWN}`,
          value: slowdown,
          met: slowdown <= MAX_SLOWDOWN,
        },
        {
          name: 'throughput of long work, over the baseline',
          target: `≥ ${MIN_LONG_THROUGHPUT}`,
          value: longThroughputRatio,
          met: longThroughputRatio >= MIN_LONG_THROUGHPUT,
        },
      ],
    };
  },
};
