import type {LimitTable, ObservedLimit} from './ObservedLimits.js';

/**
 * Decodes the limits that another process has sent, with the times of their observation on this process's
 * monotonic clock.
 *
 * @example
 * ```ts
 * decodeLimitTable({'i-1 17': [2.5, 100]}); // [['i-1 17', {perSecond: 2.5, observedAt: ...}]]
 * ```
 * @public
 */
export function decodeLimitTable(
  table: LimitTable,
): Array<readonly [incarnation: string, limit: ObservedLimit]> {
  const now = performance.now();
  return Object.entries(table).map(([incarnation, [perSecond, ageMs]]) => [
    incarnation,
    {perSecond: perSecond ?? undefined, observedAt: now - ageMs},
  ]);
}
