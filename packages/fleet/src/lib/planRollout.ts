import type {RolloutRecord, RolloutStep} from './FleetState.js';
import type {RegressionReason, VersionPair} from './evaluateRollout.js';

/** Fraction of `maxCanaryShare` that the canary receives. */
const CANARY_MARGIN = 0.6;
/** Fraction of the duration, at its start, in which sessions stay on their version. */
const EARLY_FRACTION = 0.5;
/** Share of the new version in the step between the canary and all requests. */
const MIDDLE_SHARE = 0.5;
/** Length of the step between the canary and all requests, as a fraction of the duration. */
const MIDDLE_FRACTION = 0.06;
/**
 * Fraction of the duration after which the roll-out no longer waits for requests on the old
 * version.
 */
const LAST_FRACTION = 0.93;
/** Time after the last step in which entries may still use the old version, in milliseconds. */
const SETTLE_MS = 1_000;

/** The state of a roll-out as known to the leader. @public */
export interface RolloutView {
  readonly rollout: RolloutRecord;
  /** Time since the order, in milliseconds. */
  readonly elapsedMs: number;
  readonly verdict: RegressionReason | undefined;
  /** Evidence on which the verdict is based. */
  readonly evidence: readonly VersionPair[];
  /** Backend servers that are ready with the new version. */
  readonly freshServers: number;
  /** Requests in flight on the old version, over all entries. */
  readonly runningOnOld: number;
  /** Largest share of the service's requests that a faulty version may receive. */
  readonly maxCanaryShare: number;
}

/**
 * Computes the next step of a roll-out. The canary share stays fixed in the first half, in which
 * sessions must stay on their version; the second half lets requests on the old version finish.
 *
 * @example
 * ```ts
 * planRollout({...view, verdict: 'failures'}).phase; // 'rolled_back'
 * ```
 * @public
 */
export function planRollout(view: RolloutView): RolloutStep {
  const {rollout, elapsedMs, verdict} = view;
  const progress = elapsedMs / rollout.durationMs;
  const isEarly = progress < EARLY_FRACTION;
  const step = {phase: 'in_progress' as const, isEarly, elapsedMs};
  if (verdict) {
    return {...step, phase: 'rolled_back', share: 0, isEarly: false};
  }
  const isAtFullShare = rollout.share === 1;
  if (progress >= 1 && !isAtFullShare) {
    return {...step, phase: 'rolled_back', share: 0, isEarly: false};
  }
  if (view.freshServers === 0) return {...step, share: rollout.share};
  if (isEarly) {
    return {...step, share: view.maxCanaryShare * CANARY_MARGIN};
  }
  if (progress < EARLY_FRACTION + MIDDLE_FRACTION)
    return {...step, share: MIDDLE_SHARE};
  const sinceFullShareMs =
    elapsedMs - (EARLY_FRACTION + MIDDLE_FRACTION) * rollout.durationMs;
  const isDone =
    sinceFullShareMs > SETTLE_MS &&
    (view.runningOnOld === 0 || progress > LAST_FRACTION);
  return {...step, share: 1, phase: isDone ? 'completed' : 'in_progress'};
}
