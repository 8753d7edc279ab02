import type {
  Experiment,
  ExperimentOptions,
  ExperimentResult,
} from '../experimentTypes.js';
import {RestartFleet} from '../delivery/RestartFleet.js';
import {RestartCall, RestartLoad} from '../delivery/RestartLoad.js';

const ENTRIES = 8;
const CONTROLS = 3;
const CALLS_PER_SECOND = 60;
/** Time for which a stopping entry still serves; longer than the load balancer needs to notice. */
const BALANCER_LAG_MS = 1_200;
/** Number of entries that the baseline restarts; they stop serving at once. */
const BASELINE_ENTRIES = 4;
/** Time between two restarts, in milliseconds. */
const RESTART_INTERVAL_MS = 700;

function waitBetweenRestarts(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, RESTART_INTERVAL_MS));
}

function countFailureReasons(calls: readonly RestartCall[]) {
  const reasons: Record<string, number> = {};
  for (const {outcome, reason} of calls) {
    if (outcome === 'whole') continue;
    const name = `${outcome}: ${/"kind":"(\w+)"/.exec(reason)?.[1] ?? reason}`;
    reasons[name] = (reasons[name] ?? 0) + 1;
  }
  return reasons;
}

async function compareWithBills(
  fleet: RestartFleet,
  calls: readonly RestartCall[],
) {
  const bills = await fleet.control.callLeader(node => node.listBills());
  const billsByRequest = new Map<string, number>();
  for (const {requestId} of bills) {
    billsByRequest.set(requestId, (billsByRequest.get(requestId) ?? 0) + 1);
  }
  const completed = calls.filter(({outcome}) => outcome === 'whole');
  const deposits = calls.filter(({kind}) => kind === 'deposit');
  return {
    missingBills: completed.filter(
      ({requestId}) => !billsByRequest.has(requestId),
    ).length,
    doubleBills: [...billsByRequest.values()].filter(count => count > 1).length,
    repeatedDeposits: deposits.filter(({key}) => fleet.countRuns(key) > 1)
      .length,
  };
}

async function restartAll(
  seed: number,
  lagMs: number,
  restarts: {readonly entries: number; readonly controls: number},
) {
  const fleet = new RestartFleet(ENTRIES, lagMs);
  await fleet.start();
  const load = new RestartLoad(fleet, seed, CALLS_PER_SECOND);
  load.start();
  await waitBetweenRestarts();
  const startedAt = performance.now();
  for (let index = 0; index < restarts.entries; index++) {
    await fleet.restartEntry(index);
    await waitBetweenRestarts();
  }
  for (let index = 0; index < restarts.controls; index++) {
    await fleet.control.restart(index);
    await waitBetweenRestarts();
  }
  const elapsedMs = performance.now() - startedAt;
  await load.stop();
  const billFigures = await compareWithBills(fleet, load.calls);
  await fleet.stop();
  const countOutcome = (outcome: RestartCall['outcome']) =>
    load.calls.filter(call => call.outcome === outcome).length;
  return {
    restartedEntries: restarts.entries,
    restartedControls: restarts.controls,
    elapsedMs,
    calls: load.calls.length,
    whole: countOutcome('whole'),
    refused: countOutcome('refused'),
    cutOff: countOutcome('cut'),
    ...billFigures,
    reasons: countFailureReasons(load.calls),
  };
}

async function run({seed}: ExperimentOptions): Promise<ExperimentResult> {
  const baseline = await restartAll(seed, 0, {
    entries: BASELINE_ENTRIES,
    controls: 0,
  });
  const candidate = await restartAll(seed, BALANCER_LAG_MS, {
    entries: ENTRIES,
    controls: CONTROLS,
  });
  const mustBeZero = {
    'requests cut off': candidate.cutOff,
    'missing bills': candidate.missingBills,
    'double bills': candidate.doubleBills,
    'repeated deposits': candidate.repeatedDeposits,
  };
  return {
    experiment: 'restart',
    seed,
    baseline,
    candidate,
    targets: Object.entries(mustBeZero).map(([name, value]) => ({
      name,
      target: '0',
      value,
      met: value === 0,
    })),
  };
}

/** Restarts every entry and control instance one by one under load. @public */
export const restart: Experiment = {
  summary:
    'requests cut off, duplicate and missing bills while entries and control restart one by one',
  run,
};
