/** Bounds of the interval, in milliseconds. */
const MIN_INTERVAL_MS = 100;
/** The longest interval between two digests, in milliseconds. @internal */
export const MAX_INTERVAL_MS = 400;
/** The interval times the number of entries, between the bounds. */
const ENTRY_INTERVALS_MS = 12_000;

/**
 * Computes the interval between two digests of load to the other control instances, in milliseconds.
 * Their cost does not depend on the number of entries, but the harm of old figures does: the more
 * entries, the more requests are placed by the same figures.
 *
 * @example
 * ```ts
 * computeDigestInterval(60); // 200
 * ```
 * @internal
 */
export function computeDigestInterval(entries: number): number {
  const intervalMs = ENTRY_INTERVALS_MS / Math.max(1, entries);
  return Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, intervalMs));
}
