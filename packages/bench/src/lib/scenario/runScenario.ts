import type {EngineFaults} from '@sycamorehead/stand-ins';
import type {EntryOptions} from '@sycamorehead/entry';
import type {Arrival} from '../load/arrivals.js';
import type {EngineRunRecord} from '../load/EngineHost.js';
import type {CallRecord} from '../load/runLoad.js';
import {runLoadInWorker} from '../load/runLoadInWorker.js';
import {ScenarioFleet} from './ScenarioFleet.js';
import {
  CUSTOMERS,
  ENGINE_COUNT,
  buildScenarioNote,
  createCustomerKey,
} from './workload.js';

/** Routing policies of the entries. @public */
export type ScenarioPolicies = NonNullable<EntryOptions['policies']>;

/** Baseline policies with which the candidates are compared. @public */
export const BASELINE_POLICIES: ScenarioPolicies = {
  versionPolicy: 'fixed_best',
  serverPolicy: 'round_robin',
  admissionPolicy: 'first_come_first_served',
  hedgePolicy: 'never',
  priorityPolicy: 'equal',
};

/** Faults of one engine that start at a given time. @public */
export interface TimedFault {
  readonly atMs: number;
  readonly engine: number;
  readonly faults: Partial<EngineFaults>;
}

/** Policies, arrivals and faults of one run. @public */
export interface Scenario {
  readonly policies: ScenarioPolicies;
  readonly arrivals: readonly Arrival[];
  /** Faults that every engine has from the start of the run. */
  readonly commonFaults?: Partial<EngineFaults>;
  readonly timedFaults?: readonly TimedFault[];
}

/** Results of one run. @public */
export interface ScenarioRecord {
  readonly records: readonly CallRecord[];
  readonly runs: ReadonlyArray<readonly EngineRunRecord[]>;
  readonly entryLoopDelayP99Ms: number;
  readonly engineLoopDelayP99Ms: number;
}

/**
 * Runs arrivals against real entries in a deployment of the first users' size.
 *
 * @example
 * ```ts
 * const {records} = await runScenario({policies: BASELINE_POLICIES, arrivals});
 * ```
 * @public
 */
export async function runScenario(scenario: Scenario): Promise<ScenarioRecord> {
  const fleet = new ScenarioFleet(buildScenarioNote(), scenario.policies);
  await fleet.start();
  try {
    return await measureRun(scenario, fleet);
  } finally {
    await fleet.stop();
  }
}

async function measureRun(
  {arrivals, commonFaults, timedFaults}: Scenario,
  fleet: ScenarioFleet,
): Promise<ScenarioRecord> {
  const {engines, entryHosts, entryUrls} = fleet;
  for (let engine = 0; engine < ENGINE_COUNT; engine++) {
    engines.setFaults(engine, commonFaults ?? {});
  }
  engines.reset();
  for (const host of entryHosts) host.reset();
  const timers = (timedFaults ?? []).map(({atMs, engine, faults}) =>
    setTimeout(() => engines.setFaults(engine, faults), atMs),
  );
  const records = await runLoadInWorker({
    target: {entryUrls},
    keys: Object.fromEntries(
      CUSTOMERS.map(({customer}) => [customer, createCustomerKey(customer)]),
    ),
    arrivals,
  });
  for (const timer of timers) clearTimeout(timer);
  const collected = await engines.collect();
  const loopDelays = await Promise.all(
    entryHosts.map(host => host.readLoopDelayMs()),
  );
  return {
    records,
    runs: collected.runs,
    entryLoopDelayP99Ms: Math.max(...loopDelays),
    engineLoopDelayP99Ms: collected.loopDelayP99Ms,
  };
}
