import type {VersionCounts} from '@sycamorehead/schema';

/** Minimum number of answers of the new version for a verdict on failures. */
const MIN_ANSWERS = 6;
/** Minimum number of failures of the new version for a verdict on failures. */
const MIN_FAILURES = 3;
/** Standard deviations by which the new version's failures must exceed the old one's rate. */
const FAILURE_Z = 3;
/** Fraction of the new version's answers by which its failures must exceed the old one's rate. */
const MIN_EXCESS_FRACTION = 0.1;
/**
 * Factor by which the geometric mean of the new version's answer times must exceed the old one's
 * while both versions serve requests. If half of the answers are eight times slower, the mean rises
 * by a factor of 2.8.
 */
const SLOWNESS_FACTOR = 2;
/**
 * The factor used once the new version serves most requests and the old one's times are outdated.
 */
const MAJORITY_SLOWNESS_FACTOR = 4;
/** Minimum number of timed answers for a verdict on answer times. */
const MIN_TIMED = 8;
/** Prior of the old version's failure rate: this many answers, one of them failed. */
const PRIOR_ANSWERS = 20;

/** Regression of a new version that causes its rollback. @public */
export type RegressionReason = 'failures' | 'slow';

/** Counts of the old and the new version on one route, or on all routes. @public */
export interface VersionPair {
  readonly old: VersionCounts;
  readonly new: VersionCounts;
}

/** Counts of a version without answers. @public */
export const NO_COUNTS: VersionCounts = {
  answers: 0,
  failures: 0,
  logTimeSum: 0,
  timed: 0,
};

/**
 * Adds the counts of two sets of answers.
 *
 * @example
 * ```ts
 * addCounts(NO_COUNTS, counts); // counts
 * ```
 * @public
 */
export function addCounts(
  left: VersionCounts,
  right: VersionCounts,
): VersionCounts {
  return {
    answers: left.answers + right.answers,
    failures: left.failures + right.failures,
    logTimeSum: left.logTimeSum + right.logTimeSum,
    timed: left.timed + right.timed,
  };
}

/**
 * Evaluates a new version against the old one, over all routes and on each route separately, since
 * a version may fail on one route only. Set `isMajority` once it serves most requests.
 *
 * @example
 * ```ts
 * evaluateRollout([{old, new: failing}]); // 'failures'
 * ```
 * @public
 */
export function evaluateRollout(
  routes: readonly VersionPair[],
  isMajority = false,
): RegressionReason | undefined {
  const total = routes.reduce(
    (sum, pair) => ({
      old: addCounts(sum.old, pair.old),
      new: addCounts(sum.new, pair.new),
    }),
    {old: NO_COUNTS, new: NO_COUNTS},
  );
  if ([total, ...routes].some(hasMoreFailures)) return 'failures';
  const factor = isMajority ? MAJORITY_SLOWNESS_FACTOR : SLOWNESS_FACTOR;
  return isSlower(routes, factor) ? 'slow' : undefined;
}

function hasMoreFailures({old, new: fresh}: VersionPair): boolean {
  if (fresh.answers < MIN_ANSWERS || fresh.failures < MIN_FAILURES) {
    return false;
  }
  const baseRate = (old.failures + 1) / (old.answers + PRIOR_ANSWERS);
  const expected = baseRate * fresh.answers;
  const deviation = Math.sqrt(expected * (1 - baseRate));
  return (
    fresh.failures > expected + FAILURE_Z * deviation &&
    fresh.failures > expected + MIN_EXCESS_FRACTION * fresh.answers
  );
}

/**
 * Returns whether the new version is slower. Answer times are compared per route, so that a
 * different mix of routes does not count as slowness.
 */
function isSlower(routes: readonly VersionPair[], factor: number): boolean {
  let weight = 0;
  let sum = 0;
  for (const {old, new: fresh} of routes) {
    const samples = Math.min(old.timed, fresh.timed);
    if (samples === 0) continue;
    const difference =
      fresh.logTimeSum / fresh.timed - old.logTimeSum / old.timed;
    weight += samples;
    sum += samples * difference;
  }
  return weight >= MIN_TIMED && sum / weight > Math.log(factor);
}
