import {number, option} from 'cmd-ts';
import type {ReconcilerOptions} from '@sycamorehead/control';

const MINUTE_MS = 60_000;
const SECOND_MS = 1_000;

/** Flags that control how versions are placed on engines. */
export const placementOptions = {
  weightLoadsPerMinute: option({
    type: number,
    long: 'weight-loads-per-minute',
    env: 'SYC_WEIGHT_LOADS_PER_MINUTE',
    description:
      'maximum number of loads from the weight store that begin in a minute',
    defaultValue: () => 4,
    defaultValueIsSerializable: true,
  }),
  loadTimeout: option({
    type: number,
    long: 'load-timeout',
    env: 'SYC_LOAD_TIMEOUT',
    description:
      'seconds after which an unfinished load counts as failed and may be ordered on another server',
    defaultValue: () => 300,
    defaultValueIsSerializable: true,
  }),
};

/** Builds the reconciler's options from the flags. */
export function buildReconcilerOptions(flags: {
  weightLoadsPerMinute: number;
  loadTimeout: number;
}): Partial<ReconcilerOptions> {
  return {
    weightStore: {loads: flags.weightLoadsPerMinute, windowMs: MINUTE_MS},
    loadTimeoutMs: flags.loadTimeout * SECOND_MS,
  };
}
