import type {ReconcilerOptions} from '@sycamorehead/control';
import {ReleaseNote, hashKey, parseReleaseNote} from '@sycamorehead/schema';
import {StandInEngine, StandInWeightStore} from '@sycamorehead/stand-ins';
import {Fleet} from '../load/Fleet.js';

const ENGINES = 32;
const ENTRIES = 2;
const LOADS_PER_WINDOW = 2;
const WINDOW_MS = 1_000;
const LOAD_MS = 500;
const POLL_MS = 50;
const WAIT_TIMEOUT_MS = 60_000;
const MODEL = 'inscription';
const NEW_VERSION = {model: MODEL, version: 'v2'};
const STEP_SHARES = [0.25, 0.5, 1] as const;

/** Duration, orders and spare capacity of a roll-out. @internal */
export interface RolloutResult {
  readonly engines: number;
  /** Shortest duration that the rate limit of the weight store allows, in milliseconds. */
  readonly limitMs: number;
  readonly totalMs: number;
  /** Duration relative to `limitMs`. */
  readonly ofLimit: number;
  /** Loads that the weight store refused because of its rate limit. */
  readonly refusedLoads: number;
  /** Orders that repeat an earlier one, and unload orders; this roll-out needs neither. */
  readonly wrongOrders: number;
  /**
   * Lowest number of engines with the old version beyond those that its current step requires;
   * negative if capacity was missing.
   */
  readonly leastSpare: number;
}

function buildNote(): ReleaseNote {
  return parseReleaseNote(`
number: 1
follows: 0
add:
  versions:
    - {model: ${MODEL}, version: v1, inputPrice: 1, outputPrice: 1, contextTokens: 8192, qualityPrior: 0.8, replicas: ${ENGINES}}
  customers:
    - customer: taller
      keyHash: ${hashKey('rollout-key')}
      models: [{model: ${MODEL}, versions: any}]
      limits: {requestsPerSecond: 1000, tokensPerSecond: 100000}
      qualityTarget: 0.5
`);
}

function buildRolloutNote(): ReleaseNote {
  const steps = STEP_SHARES.map(share => `{share: ${share}, soakSeconds: 0}`);
  return parseReleaseNote(`
number: 2
follows: 1
add:
  versions:
    - model: ${MODEL}
      version: v2
      inputPrice: 1
      outputPrice: 1
      contextTokens: 8192
      qualityPrior: 0.9
      replicas: ${ENGINES}
      rollout:
        replaces: v1
        steps: [${steps.join(', ')}]
        guard: {minQuality: 0.5, maxErrorRate: 0.1}
`);
}

/** Counts the engines that report a version as loaded. */
export function countLoaded(
  engines: readonly StandInEngine[],
  version: string,
): number {
  return engines.filter(engine =>
    engine.listVersions().some(loaded => loaded.version === version),
  ).length;
}

/** Counts the orders beyond the single load order that each engine requires. */
export function countWrongOrders(engines: readonly StandInEngine[]): number {
  return engines.reduce((sum, {orders}) => {
    const accepted = new Set<string>();
    const wrong = orders.filter(({action, model, version}) => {
      const key = `${action} ${model}/${version}`;
      const isRepeated = accepted.has(key);
      accepted.add(key);
      return isRepeated || action === 'unload';
    });
    return sum + wrong.length;
  }, 0);
}

/**
 * Rolls out a version to all engines and advances each step as soon as its placement is ready.
 *
 * @internal
 */
export async function measureRollout(
  reconciler: Partial<ReconcilerOptions>,
): Promise<RolloutResult> {
  const weightStore = new StandInWeightStore({
    loadMs: LOAD_MS,
    loadsPerWindow: LOADS_PER_WINDOW,
    windowMs: WINDOW_MS,
  });
  const fleet = new Fleet({
    note: buildNote(),
    entries: ENTRIES,
    engines: ENGINES,
    engineSpeed: {
      slots: 16,
      stepMs: 4,
      stepMsPerJob: 0.2,
      prefillTokensPerMs: 20,
    },
    engineOptions: {versionSlots: 2, weightStore: await weightStore.start()},
    reconciler,
  });
  try {
    await fleet.start();
    return await runRollout(fleet, weightStore);
  } finally {
    await fleet.stop();
    await weightStore.stop();
  }
}

async function runRollout(
  fleet: Fleet,
  weightStore: StandInWeightStore,
): Promise<RolloutResult> {
  const {control, engines} = fleet;
  await waitFor(() => control.reconciler.isSettled());
  await control.publish(buildRolloutNote());
  const startedAt = performance.now();
  let leastSpare = Infinity;
  for (const [step, share] of STEP_SHARES.entries()) {
    const required = Math.max(1, Math.ceil(ENGINES * (1 - share)));
    await waitFor(() => {
      const spare = countLoaded(engines, 'v1') - required;
      leastSpare = Math.min(leastSpare, spare);
      return (
        countLoaded(engines, 'v2') >= Math.ceil(ENGINES * share) &&
        control.reconciler.isPlacementReady(NEW_VERSION)
      );
    });
    const command = {type: 'advance_rollout', version: NEW_VERSION};
    await fleet.log?.propose({...command, fromStep: step});
  }
  const totalMs = Math.round(performance.now() - startedAt);
  const limitMs =
    ((ENGINES - LOADS_PER_WINDOW) / LOADS_PER_WINDOW) * WINDOW_MS + LOAD_MS;
  return {
    engines: ENGINES,
    limitMs,
    totalMs,
    ofLimit: Math.round((totalMs / limitMs) * 1_000) / 1_000,
    refusedLoads: weightStore.refused,
    wrongOrders: countWrongOrders(engines),
    leastSpare,
  };
}

async function waitFor(isDone: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_TIMEOUT_MS;
  while (!isDone()) {
    if (performance.now() > deadline) {
      throw new Error(`roll-out did not progress within ${WAIT_TIMEOUT_MS} ms`);
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}
