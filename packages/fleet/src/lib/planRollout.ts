import type {RolloutRecord, RolloutStep} from './FleetState.js';
import type {RegressionReason, VersionPair} from './evaluateRollout.js';

/** Share of the bound on the new version's requests that the canary takes. */
const CANARY_MARGIN = 0.6;
/** Part of the duration in which sessions stay on the old version. */
const EARLY_PART = 0.5;
/** Share of the new version in the step between canary and all. */
const MIDDLE_SHARE = 0.5;
/** Time of the step between canary and all, as a part of the duration. */
const MIDDLE_PART = 0.06;
/** Part of the duration after which what still runs on the old version is no longer waited for. */
const LAST_PART = 0.97;
/** Time after the last step in which entries may still place work on the old version. */
const SETTLE_MS = 1_000;

/** What the leader sees of a roll-out. @public */
export interface RolloutView {
  readonly rollout: RolloutRecord;
  /** Time since the order, in milliseconds. */
  readonly elapsedMs: number;
  readonly verdict: RegressionReason | undefined;
  /** What the verdict rests on. */
  readonly evidence: readonly VersionPair[];
  /** Backend servers that are ready with the new version. */
  readonly freshServers: number;
  /** Requests in flight on the old version, over all entries. */
  readonly runningOnOld: number;
  /** Largest share of the service's requests that a bad version may get. */
  readonly maxCanaryShare: number;
}

/**
 * Computes where a roll-out stands next. The canary holds through the first half, in which
 * sessions must keep their version; the second half is left for what runs on the old version.
 *
 * @example
 * ```ts
 * planRollout({...view, verdict: 'failures'}).phase; // 'rolled_back'
 * ```
 * @public
 */
export function planRollout(view: RolloutView): RolloutStep {
  const {rollout, elapsedMs, verdict} = view;
  const part = elapsedMs / rollout.durationMs;
  const isEarly = part < EARLY_PART;
  const step = {phase: 'in_progress' as const, isEarly, elapsedMs};
  if (verdict) {
    return {...step, phase: 'rolled_back', share: 0, isEarly: false};
  }
  const isMoved = rollout.share === 1;
  if (part >= 1 && !isMoved) {
    return {...step, phase: 'rolled_back', share: 0, isEarly: false};
  }
  if (view.freshServers === 0) return {...step, share: rollout.share};
  if (isEarly) {
    return {...step, share: view.maxCanaryShare * CANARY_MARGIN};
  }
  if (part < EARLY_PART + MIDDLE_PART) return {...step, share: MIDDLE_SHARE};
  const sinceAllMs =
    elapsedMs - (EARLY_PART + MIDDLE_PART) * rollout.durationMs;
  const isDone =
    sinceAllMs > SETTLE_MS && (view.runningOnOld === 0 || part > LAST_PART);
  return {...step, share: 1, phase: isDone ? 'completed' : 'in_progress'};
}
