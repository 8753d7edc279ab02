import type {
  Experiment,
  ExperimentOptions,
  ExperimentResult,
  ExperimentTarget,
} from '../experimentTypes.js';
import {ConfigDeployment, sleep} from './config/ConfigDeployment.js';
import {
  measureCommits,
  measureEntryCost,
  measureInForce,
  measureLeaderLoss,
  measureRestart,
  startCommits,
} from './config/measureConfig.js';

const CONTROL_COUNT = 3;
const ENTRY_COUNT = 8;
const PUBLISHES = 30;
const BASELINE_PUBLISHES = 8;
const LEADER_LOSSES = 3;
const COMMITS = 30_000;
const LOAD_COMMITS_PER_SECOND = 1_000;
/** Longer than a lease, so that every lease has expired after this wait. */
const LEASE_EXPIRY_WAIT_MS = 3_500;
const CHANGES_BEFORE_RESTART = 10_000;

async function measureCandidate(deployment: ConfigDeployment) {
  await deployment.startEntries(ENTRY_COUNT, 'watch');
  const idle = await measureInForce(deployment, PUBLISHES);
  const stopLoad = startCommits(deployment, LOAD_COMMITS_PER_SECOND);
  const underLoad = await measureInForce(deployment, PUBLISHES);
  stopLoad();
  const costIdle = await measureEntryCost(deployment, false);
  const costChanging = await measureEntryCost(deployment, true);
  const commits = await measureCommits(deployment, COMMITS);
  const leaderLoss = await measureLeaderLoss(deployment, LEADER_LOSSES);
  return {idle, underLoad, leaderLoss, commits, costIdle, costChanging};
}

async function measureBaseline(deployment: ConfigDeployment) {
  await deployment.startEntries(ENTRY_COUNT, 'poll');
  const idle = await measureInForce(deployment, BASELINE_PUBLISHES);
  const costIdle = await measureEntryCost(deployment, false);
  await deployment.stopEntries();
  // The leases of the stopped entries must expire first: a revision is in force only when no entry
  // holds a lease on an older one.
  await sleep(LEASE_EXPIRY_WAIT_MS);
  return {idle, costIdle};
}

function buildTargets(
  candidate: Awaited<ReturnType<typeof measureCandidate>>,
): ExperimentTarget[] {
  const {idle, underLoad, leaderLoss, commits, costIdle, costChanging} =
    candidate;
  const buildUpperBound = (
    name: string,
    bound: number,
    unit: string,
    value: number,
  ) => ({
    name,
    target: `<= ${bound} ${unit}`,
    value,
    met: value <= bound,
  });
  return [
    buildUpperBound('in_force_idle_p99', 3_000, 'ms', idle.p99),
    buildUpperBound('in_force_under_load_p99', 3_000, 'ms', underLoad.p99),
    buildUpperBound('in_force_leader_loss_p99', 5_000, 'ms', leaderLoss.p99),
    buildUpperBound(
      'bytes_idle',
      2_048,
      'B/s per entry',
      costIdle.bytesPerSecond,
    ),
    buildUpperBound(
      'bytes_changing',
      2_048,
      'B/s per entry',
      costChanging.bytesPerSecond,
    ),
    buildUpperBound(
      'cpu_idle',
      1.5,
      '% of a core per entry',
      costIdle.cpuPercent,
    ),
    buildUpperBound(
      'cpu_changing',
      1.5,
      '% of a core per entry',
      costChanging.cpuPercent,
    ),
    {
      name: 'commits',
      target: '>= 5000 commits/s',
      value: commits.perSecond,
      met: commits.perSecond >= 5_000,
    },
  ];
}

async function run({seed}: ExperimentOptions): Promise<ExperimentResult> {
  const deployment = new ConfigDeployment();
  await deployment.start(CONTROL_COUNT);
  try {
    // If the leader changed during the start, the new one reports the first revision in force only
    // after every lease of its predecessor has expired.
    await sleep(LEASE_EXPIRY_WAIT_MS);
    const baseline = await measureBaseline(deployment);
    const measured = await measureCandidate(deployment);
    const restartMs = await measureRestart(CHANGES_BEFORE_RESTART);
    return {
      experiment: 'config',
      seed,
      baseline,
      candidate: {...measured, restartAfter10000ChangesMs: restartMs},
      targets: buildTargets(measured),
    };
  } finally {
    await deployment.stop();
  }
}

/**
 * Measures the time until a release note is in force and the cost of the control plane. The
 * baseline polls for complete configurations instead of watching for deltas.
 *
 * @internal
 */
export const config: Experiment = {
  summary:
    'time to in force, commits, restart, and what control costs an entry',
  run,
};
