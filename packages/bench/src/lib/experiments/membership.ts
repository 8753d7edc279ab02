import type {
  Experiment,
  ExperimentOptions,
  ExperimentResult,
  ExperimentTarget,
} from '../experimentTypes.js';
import {measureDepartures} from '../membership/measureDepartures.js';
import {
  GossipCost,
  computeServerLoads,
  measureGossip,
  pickRandomViews,
} from '../membership/measureGossip.js';

const SIZES = [11, 100, 1_000] as const;
const LARGEST = 1_000;
const CANDIDATE_PERIODS = 6;
const BASELINE_PERIODS = 2;
const MAX_LEAVING_MS = 3_000;
const MAX_SILENT_MS = 5_000;
const MAX_BYTES_PER_SECOND = 2_000;

/** Returns the bytes per second that each server adds, from the smallest and the largest size. */
function computeSlope(costs: readonly GossipCost[]): number {
  const first = costs[0];
  const last = costs.at(-1);
  if (!first || !last) return NaN;
  const bytes =
    last.sentAndReceivedBytesPerSecond - first.sentAndReceivedBytesPerSecond;
  return Math.round((bytes / (last.servers - first.servers)) * 1_000) / 1_000;
}

function describeImbalance(loads: readonly number[]) {
  const limitDigits = (value: number) => Math.round(value * 1_000) / 1_000;
  return {
    most: limitDigits(Math.max(...loads)),
    least: limitDigits(Math.min(...loads)),
    servers: loads.length,
  };
}

function buildTarget(
  name: string,
  value: number,
  bound: number,
  unit: string,
): ExperimentTarget {
  const target = `at most ${bound} ${unit}`;
  return {name, target, value, met: value <= bound};
}

async function run({seed}: ExperimentOptions): Promise<ExperimentResult> {
  const exits = await measureDepartures(seed);
  const subsetCosts: GossipCost[] = [];
  const floodCosts: GossipCost[] = [];
  let loads: number[] = [];
  for (const size of SIZES) {
    const flood = await measureGossip('flood', size, seed, BASELINE_PERIODS);
    floodCosts.push(flood.cost);
    const subsets = await measureGossip(
      'subsets',
      size,
      seed,
      CANDIDATE_PERIODS,
    );
    subsetCosts.push(subsets.cost);
    loads = subsets.loads;
  }
  const largest = subsetCosts.at(-1);
  const randomViews = pickRandomViews(LARGEST, largest?.held ?? 0, seed);
  const getLatestUseMs = (kind: keyof typeof exits) =>
    Math.max(exits[kind].unlistedMs, exits[kind].lastWorkMs);
  return {
    experiment: 'membership',
    seed,
    baseline: {
      costs: floodCosts,
      bytesSlope: computeSlope(floodCosts),
      imbalance: describeImbalance(computeServerLoads(randomViews)),
    },
    candidate: {
      costs: subsetCosts,
      bytesSlope: computeSlope(subsetCosts),
      imbalance: describeImbalance(loads),
      exits,
    },
    targets: [
      buildTarget(
        'no new work after leaving',
        getLatestUseMs('leaving'),
        MAX_LEAVING_MS,
        'ms',
      ),
      buildTarget(
        'no new work after going silent',
        getLatestUseMs('silent'),
        MAX_SILENT_MS,
        'ms',
      ),
      buildTarget(
        'no new work after being killed',
        getLatestUseMs('killed'),
        MAX_SILENT_MS,
        'ms',
      ),
      buildTarget(
        'bytes sent and received by one entry at 1,000 servers',
        largest?.sentAndReceivedBytesPerSecond ?? Infinity,
        MAX_BYTES_PER_SECOND,
        'B/s',
      ),
      buildTarget(
        'servers held but not seen ready',
        largest?.missing ?? Infinity,
        0,
        'servers',
      ),
    ],
  };
}

/** Measures the time until entries stop using a server, and the cost of membership. @internal */
export const membership: Experiment = {
  summary:
    'time to stop using a server; cost and load balance by number of servers',
  run,
};
