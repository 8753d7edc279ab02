/** Lower bound of a time ratio, and so of the slowness of a server. */
const MIN_RATIO = 0.5;
/** Upper bound of a time ratio, and so of the slowness of a server. */
const MAX_RATIO = 8;

/**
 * Limits the ratio of an answer's time to the expected time, so that one answer does not decide on a server.
 *
 * @example
 * ```ts
 * limitTimeRatio(30); // 8
 * ```
 * @internal
 */
export function limitTimeRatio(timeRatio: number): number {
  return Math.min(MAX_RATIO, Math.max(MIN_RATIO, timeRatio));
}
