import type {VersionCounts} from '@sycamorehead/schema';

/** Answers of the new version below which nothing is said. */
const MIN_ANSWERS = 6;
/** Failures of the new version below which it is not called bad. */
const MIN_FAILURES = 3;
/** Standard deviations by which the new version's failure rate must exceed the old one's. */
const FAILURE_Z = 3;
/** Part of the new version's answers by which its failures must exceed the old one's rate. */
const MIN_EXCESS = 0.1;
/**
 * Times by which the geometric mean of the new version's answer times must exceed the old one's,
 * while both answer side by side. Half of the answers eight times slower make 2.8.
 */
const SLOWNESS_FACTOR = 2;
/** The same once the new version carries the load, and the old one's times are from before. */
const MOVED_SLOWNESS_FACTOR = 4;
/** Timed answers of the new version below which its times are not judged. */
const MIN_TIMED = 8;
/** Answers taken as seen of the old version before any were, with none failed but one. */
const PRIOR_ANSWERS = 20;

/** Why a version is bad. @public */
export type RegressionReason = 'failures' | 'slow';

/** Counts of the old and the new version for one kind of work, or for all together. @public */
export interface VersionPair {
  readonly old: VersionCounts;
  readonly new: VersionCounts;
}

/** No answers. @public */
export const NO_COUNTS: VersionCounts = {
  answers: 0,
  failures: 0,
  logTimeSum: 0,
  timed: 0,
};

/**
 * Adds counts.
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
 * Judges a new version against the old one, over all routes and on each route by itself, since a
 * version may be bad on one only. `isMoved` tells that the new version carries the load.
 *
 * @example
 * ```ts
 * judgeRollout([{old, new: failing}]); // 'failures'
 * ```
 * @public
 */
export function evaluateRollout(
  routes: readonly VersionPair[],
  isMoved = false,
): RegressionReason | undefined {
  const total = routes.reduce(
    (sum, pair) => ({
      old: addCounts(sum.old, pair.old),
      new: addCounts(sum.new, pair.new),
    }),
    {old: NO_COUNTS, new: NO_COUNTS},
  );
  if ([total, ...routes].some(hasMoreFailures)) return 'failures';
  const factor = isMoved ? MOVED_SLOWNESS_FACTOR : SLOWNESS_FACTOR;
  return isSlower(routes, factor) ? 'slow' : undefined;
}

function hasMoreFailures({old, new: fresh}: VersionPair): boolean {
  if (fresh.answers < MIN_ANSWERS || fresh.failures < MIN_FAILURES) {
    return false;
  }
  const base = (old.failures + 1) / (old.answers + PRIOR_ANSWERS);
  const expected = base * fresh.answers;
  const deviation = Math.sqrt(expected * (1 - base));
  return (
    fresh.failures > expected + FAILURE_Z * deviation &&
    fresh.failures > expected + MIN_EXCESS * fresh.answers
  );
}

/** Compares like with like: the mean difference over the kinds of work that both have answered. */
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
