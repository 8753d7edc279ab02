import type {
  Experiment,
  ExperimentOptions,
  ExperimentResult,
} from '../experimentTypes.js';
import {measureFailover} from '../rollout/measureFailover.js';
import {measureRollout} from '../rollout/measureRollout.js';

const SETTLE_MS = 2_000;
const ORDER_TIMEOUT_MS = 1_000;
const LEADER_LEASE_MS = 1_000;
const PACED = {loads: 2, windowMs: 1_000};
/** A limit so high that loads are paced only by the weight store's refusals. */
const UNPACED = {loads: 1_000, windowMs: 1_000};
const MAX_RATIO_TO_LIMIT = 1.2;

async function run({seed}: ExperimentOptions): Promise<ExperimentResult> {
  const shared = {
    settleMs: SETTLE_MS,
    orderTimeoutMs: ORDER_TIMEOUT_MS,
    leaderLeaseMs: LEADER_LEASE_MS,
  };
  const baseline = await measureRollout({...shared, weightStore: UNPACED});
  const paced = await measureRollout({...shared, weightStore: PACED});
  const failover = await measureFailover();
  return {
    experiment: 'rollout',
    seed,
    baseline: {...baseline},
    candidate: {...paced, failover},
    targets: [
      {
        name: "roll-out time against the weight store's limit",
        target: `at most ${MAX_RATIO_TO_LIMIT}`,
        value: paced.ofLimit,
        met: paced.ofLimit <= MAX_RATIO_TO_LIMIT,
      },
      {
        name: 'wrong or repeated orders executed',
        target: '0',
        value: paced.wrongOrders,
        met: paced.wrongOrders === 0,
      },
      {
        name: 'orders of a deposed leader with lasting effect',
        target: '0',
        value: failover.lastingEffects,
        met: failover.lastingEffects === 0,
      },
      {
        name: 'late orders of the deposed leader that were executed',
        target: 'at least 1, so that the one above means something',
        value: failover.lateOrdersObeyed,
        met: failover.lateOrdersObeyed >= 1,
      },
      {
        name: 'least capacity of the old version beyond its need',
        target: 'at least 0 engines',
        value: paced.leastSpare,
        met: paced.leastSpare >= 0,
      },
    ],
  };
}

/** Measures roll-out time against the weight store's limit, and failover. @internal */
export const rollout: Experiment = {
  summary: "roll-out time against the weight store's limit; failover",
  run,
};
