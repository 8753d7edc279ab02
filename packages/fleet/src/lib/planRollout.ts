import type {RolloutRecord, RolloutStep} from './FleetState.js';
import type {VersionAssessment} from './evaluateRollout.js';

/** Fraction of `maxCanaryShare` that the canary receives. */
const CANARY_MARGIN = 0.9;
/** Fraction of the duration, at its start, in which sessions stay on their version. */
const EARLY_FRACTION = 0.5;
/** Share of the new version in the step between the canary and all requests. */
const MIDDLE_SHARE = 0.5;
/** Minimum length of the step between the canary and all requests, as a fraction of the duration. */
const MIDDLE_FRACTION = 0.06;
/**
 * Maximum length of that step, as a fraction of the duration: until then the version must be shown to
 * be good again, since it gets many requests.
 */
const MAX_MIDDLE_FRACTION = 0.16;
/** Minimum number of answers of the new version in the step between the canary and all requests. */
const MIN_MIDDLE_ANSWERS = 12;
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
  /** Time since the share was last raised, in milliseconds. */
  readonly sinceStepMs: number;
  /** What all evidence since the order says, and what the evidence of the last seconds says. */
  readonly assessment: VersionAssessment;
  readonly recent: VersionAssessment;
  /** Answers of the new version since the share was last raised. */
  readonly answersSinceStep: number;
  /** Backend servers that are ready with the new version. */
  readonly freshServers: number;
  /** Requests in flight on the old version, over all entries. */
  readonly runningOnOld: number;
  /** Largest share of the service's requests that a faulty version may receive. */
  readonly maxCanaryShare: number;
}

/**
 * Computes the next step of a roll-out. Nothing but evidence that the version is good takes it past
 * the canary. From there on it is rolled back as soon as it may be bad, since it gets many requests and a
 * completed roll-out cannot be taken back; so is one that is not shown to be good by the deadline. The canary share stays
 * fixed in the first half, in which sessions must stay on their version.
 *
 * @example
 * ```ts
 * planRollout({...view, assessment: {...assessment, verdict: 'bad'}}).phase; // 'rolled_back'
 * ```
 * @public
 */
export function planRollout(view: RolloutView): RolloutStep {
  const {rollout, elapsedMs, assessment, recent} = view;
  const progress = elapsedMs / rollout.durationMs;
  const isEarly = progress < EARLY_FRACTION;
  const step = {phase: 'in_progress' as const, isEarly, elapsedMs};
  const verdicts = [assessment.verdict, recent.verdict];
  const isBad =
    verdicts.includes('bad') ||
    (rollout.share >= MIDDLE_SHARE && verdicts.includes('suspicious'));
  const isUndecided = rollout.share < 1 || assessment.verdict !== 'good';
  const isOverdue = progress >= 1 || isMiddleOverdue(view);
  if (isBad || (isOverdue && isUndecided)) {
    return {...step, phase: 'rolled_back', share: 0, isEarly: false};
  }
  if (view.freshServers === 0) return {...step, share: rollout.share};
  if (rollout.share === 1) {
    const isDone =
      assessment.verdict === 'good' &&
      view.sinceStepMs > SETTLE_MS &&
      (view.runningOnOld === 0 || progress > LAST_FRACTION);
    return {...step, share: 1, phase: isDone ? 'completed' : 'in_progress'};
  }
  return {...step, share: planShare(view, isEarly)};
}

function planShare(view: RolloutView, isEarly: boolean): number {
  const {rollout, sinceStepMs, answersSinceStep} = view;
  const canaryShare = view.maxCanaryShare * CANARY_MARGIN;
  if (rollout.share < canaryShare) return canaryShare;
  if (isEarly || !isShownGood(view)) return rollout.share;
  if (rollout.share < MIDDLE_SHARE) return MIDDLE_SHARE;
  const isMiddleDone =
    sinceStepMs >= MIDDLE_FRACTION * rollout.durationMs &&
    answersSinceStep >= MIN_MIDDLE_ANSWERS;
  return isMiddleDone ? 1 : rollout.share;
}

function isMiddleOverdue({rollout, sinceStepMs}: RolloutView): boolean {
  const {share, durationMs} = rollout;
  const isMiddle = share >= MIDDLE_SHARE && share < 1;
  return isMiddle && sinceStepMs > MAX_MIDDLE_FRACTION * durationMs;
}

/** Returns whether the evidence shows that the version is good, and still is. */
function isShownGood({assessment, recent}: RolloutView): boolean {
  return assessment.verdict === 'good' && recent.verdict !== 'suspicious';
}
