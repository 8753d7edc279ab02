import {monitorEventLoopDelay} from 'node:perf_hooks';
import type {EngineFaults, StandInEngineOptions} from '@sycamorehead/stand-ins';
import type {EntryOptions} from '@sycamorehead/entry';
import type {Arrival} from '../load/arrivals.js';
import {EngineHost, EngineRunRecord} from '../load/EngineHost.js';
import {FLEET_SERVER_KEY, Fleet} from '../load/Fleet.js';
import type {CallRecord} from '../load/runLoad.js';
import {runLoadInWorker} from '../load/runLoadInWorker.js';
import {
  CUSTOMERS,
  ENGINE_COUNT,
  ENGINE_SPEED,
  ENTRY_COUNT,
  SERVICE_COUNT,
  buildScenarioNote,
  createCustomerKey,
} from './workload.js';

const SERVICE_CALL_MS = 5;
const POLL_MS = 20;
const READY_TIMEOUT_MS = 15_000;
const NANOSECONDS_PER_MS = 1e6;

/** Routing policies of the entries. @public */
export type ScenarioPolicies = NonNullable<EntryOptions['policies']>;

/** Policies that everything is compared with. @public */
export const BASELINE_POLICIES: ScenarioPolicies = {
  versionPolicy: 'fixed_best',
  serverPolicy: 'round_robin',
  admissionPolicy: 'first_come_first_served',
};

/** A fault of one engine from a time on. @public */
export interface TimedFault {
  readonly atMs: number;
  readonly engine: number;
  readonly faults: Partial<EngineFaults>;
}

/** One run of one set of policies. @public */
export interface Scenario {
  readonly policies: ScenarioPolicies;
  readonly arrivals: readonly Arrival[];
  /** Faults that every engine has from the start. */
  readonly commonFaults?: Partial<EngineFaults>;
  readonly timedFaults?: readonly TimedFault[];
}

/** What a run gave. @public */
export interface ScenarioRecord {
  readonly records: readonly CallRecord[];
  readonly runs: ReadonlyArray<readonly EngineRunRecord[]>;
  readonly entryLoopDelayP99Ms: number;
  readonly engineLoopDelayP99Ms: number;
}

/**
 * Runs arrivals of the first users' size against real entries.
 *
 * @example
 * ```ts
 * const {records} = await runScenario({policies: BASELINE_POLICIES, arrivals});
 * ```
 * @public
 */
export async function runScenario(scenario: Scenario): Promise<ScenarioRecord> {
  const fleet = new Fleet({
    note: buildScenarioNote(),
    entries: ENTRY_COUNT,
    engines: 0,
    services: {name: 'orders', replicas: SERVICE_COUNT},
    serviceCallMs: SERVICE_CALL_MS,
    engineSpeed: ENGINE_SPEED,
    entryOptions: {policies: scenario.policies},
  });
  await fleet.start();
  const engines = new EngineHost({
    engines: describeEngines(fleet.entryUrls.slice(-1)),
  });
  try {
    await engines.start();
    await awaitEngines(fleet);
    return await measureRun(scenario, fleet, engines);
  } finally {
    await engines.stop();
    await fleet.stop();
  }
}

async function measureRun(
  scenario: Scenario,
  fleet: Fleet,
  engines: EngineHost,
): Promise<ScenarioRecord> {
  for (let engine = 0; engine < ENGINE_COUNT; engine++) {
    engines.setFaults(engine, scenario.commonFaults ?? {});
  }
  engines.reset();
  const timers = (scenario.timedFaults ?? []).map(({atMs, engine, faults}) =>
    setTimeout(() => engines.setFaults(engine, faults), atMs),
  );
  const delay = monitorEventLoopDelay({resolution: 1});
  delay.enable();
  const records = await runLoadInWorker({
    target: {entryUrls: fleet.entryUrls},
    keys: Object.fromEntries(
      CUSTOMERS.map(({customer}) => [customer, createCustomerKey(customer)]),
    ),
    arrivals: scenario.arrivals,
  });
  delay.disable();
  for (const timer of timers) clearTimeout(timer);
  const collected = await engines.collect();
  return {
    records,
    runs: collected.runs,
    entryLoopDelayP99Ms: delay.percentile(99) / NANOSECONDS_PER_MS,
    engineLoopDelayP99Ms: collected.loopDelayP99Ms,
  };
}

function describeEngines(entries: readonly string[]): StandInEngineOptions[] {
  return Array.from({length: ENGINE_COUNT}, (unused, index) => ({
    id: `engine-${index + 1}`,
    dataCentre: `dc-${(index % 3) + 1}`,
    versions: [{model: 'inscription', version: 'v1'}],
    speed: ENGINE_SPEED,
    fencing: 'checked' as const,
    entries,
    serverKey: FLEET_SERVER_KEY,
  }));
}

async function awaitEngines(fleet: Fleet): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS;
  const wanted = ENGINE_COUNT + SERVICE_COUNT;
  while (
    !fleet.entries.every(
      ({directory}) => directory.listReady().length === wanted,
    )
  ) {
    if (performance.now() > deadline) throw new Error('engines are not known');
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}
