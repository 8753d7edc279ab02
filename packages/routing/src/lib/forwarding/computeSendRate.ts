/** The lowest rate of sends: only an answer tells that a server takes more, in sends a second. */
const MIN_SENDS_PER_SECOND = 0.1;

/**
 * Computes the sends a second of all entries together to a server that names a limit.
 *
 * @example
 * ```ts
 * computeSendRate(2.5); // 2.5
 * ```
 * @public
 */
export function computeSendRate(limitPerSecond: number): number {
  return Math.max(MIN_SENDS_PER_SECOND, limitPerSecond);
}
