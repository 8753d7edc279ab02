/**
 * Probability that the guard quarantines a good version in the course of its roll-out, split
 * over the tests that run side by side.
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

/** Inverse of the mean number of observations between false alarms of one change detector. @internal */
export const CHANGE_FALSE_ALARM_RATE = 1e-6;

/**
 * Computes the part of the kinds' false-alarm rate that the kind with an index has: 1/2, 1/6,
 * 1/12 and so on, 1 in all, however many there are.
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
