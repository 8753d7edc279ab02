import {computeQuantile} from '../load/computeStatistics.js';
import {
  GuardSimulation,
  RatingSpread,
  simulateGuard,
} from './guardSimulation.js';

const GOOD_ROLLOUTS = 99;
const GOOD_ANSWERS = 300;
const BAD_ROLLOUTS = 15;
const BAD_ANSWERS = 600;
const LOSS = 0.4;
const SPREADS: readonly RatingSpread[] = ['narrow', 'wide', 'two_valued'];
/**
 * Seeds reserved for each experiment: more than it has roll-outs, so that no two experiments share
 * a seed.
 */
const SEEDS_PER_EXPERIMENT = 10_000;

const COMMON = {
  spread: 'narrow' as RatingSpread,
  errorRate: 0.01,
  ratedShare: 0.7,
  delayAnswers: 5,
  maxAnswers: BAD_ANSWERS,
};
const ALL_KINDS = {proof: LOSS, note: LOSS, label: LOSS, brief: LOSS};

/** Bad roll-outs, with every mechanism of the guard or with one of them disabled. */
const VARIANTS: Readonly<Record<string, Partial<GuardSimulation>>> = {
  allKindsBad: {qualityLoss: ALL_KINDS},
  allKindsBadNotPooled: {qualityLoss: ALL_KINDS, isPooled: false},
  // A fifth of the answers is sampled for ratings, as for versions that are not in roll-out, and
  // 70% of these are rated.
  allKindsBadNotRatedFirst: {qualityLoss: ALL_KINDS, ratedShare: 0.14},
  allKindsBadTwoValuedRatings: {qualityLoss: ALL_KINDS, spread: 'two_valued'},
  allKindsSlightlyWorse: {
    qualityLoss: {proof: 0.15, note: 0.15, label: 0.15, brief: 0.15},
  },
  oneKindBad: {qualityLoss: {proof: LOSS}},
  oneKindBadKindsNotToldApart: {qualityLoss: {proof: LOSS}, isPerKind: false},
};

/**
 * Measures the guard on simulated evidence: the fraction of good roll-outs that it quarantines, and
 * the number of bad answers until it quarantines a bad roll-out, with and without each mechanism.
 *
 * @example
 * ```ts
 * measureGuard(1).falseQuarantineShare;
 * ```
 * @internal
 */
export function measureGuard(seed: number) {
  const firstSeed = seed * SEEDS_PER_EXPERIMENT;
  let falseQuarantines = 0;
  for (let index = 0; index < GOOD_ROLLOUTS; index++) {
    const {isQuarantined} = simulateGuard({
      ...COMMON,
      seed: firstSeed + index,
      spread: SPREADS[index % SPREADS.length]!,
      maxAnswers: GOOD_ANSWERS,
    });
    if (isQuarantined) falseQuarantines += 1;
  }
  const bad = Object.entries(VARIANTS).map(([name, variant]) => [
    name,
    measureVariant(variant, firstSeed + GOOD_ROLLOUTS),
  ]);
  return {
    goodRollouts: GOOD_ROLLOUTS,
    falseQuarantines,
    falseQuarantineShare: falseQuarantines / GOOD_ROLLOUTS,
    badAnswersUntilQuarantine: Object.fromEntries(bad) as Record<
      string,
      ReturnType<typeof measureVariant>
    >,
  };
}

function measureVariant(variant: Partial<GuardSimulation>, firstSeed: number) {
  const results = Array.from({length: BAD_ROLLOUTS}, (unused, index) =>
    simulateGuard({...COMMON, ...variant, seed: firstSeed + index}),
  );
  const answers = results.map(({badAnswers}) => badAnswers);
  return {
    median: computeQuantile(answers, 0.5),
    worst: Math.max(...answers),
    missed: results.filter(result => !result.isQuarantined).length,
  };
}
