/**
 * Probability that the guard quarantines a good version during its roll-out, divided among the
 * tests that run in parallel.
 *
 * @internal
 */
export const ROLLOUT_FALSE_ALARM_RATE = {
  quality: 0.0005,
  comparison: 0.001,
  kinds: 0.002,
  errors: 0.001,
  latency: 0.0005,
} as const;

/**
 * Inverse of the mean number of observations between false alarms of one change detector.
 *
 * @internal
 */
export const CHANGE_FALSE_ALARM_RATE = 1e-6;

/**
 * Computes the share of the false-alarm rate for all kinds that the kind with the given index gets:
 * 1/2, 1/6, 1/12 and so on. The shares add up to at most 1 for any number of kinds.
 *
 * @example
 * ```ts
 * computeKindShare(0); // 0.5
 * ```
 * @internal
 */
export function computeKindShare(index: number): number {
  return 1 / ((index + 1) * (index + 2));
}
