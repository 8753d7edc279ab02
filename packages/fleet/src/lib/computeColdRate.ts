/** The most requests that a cold server may get in a second, from all entries together. @public */
export interface ColdBound {
  /** Relative to what the server bears in a second. */
  readonly overshoot: number;
  /** Requests beyond it. */
  readonly slack: number;
}

/** The bound of deployments whose settings hold none. @public */
export const DEFAULT_COLD_BOUND: ColdBound = {overshoot: 1.5, slack: 5};
/**
 * Time for which a permit of a cold server may be used, in milliseconds; a few exchanges, since it adds
 * to what one second may see.
 *
 * @public
 */
export const COLD_PERMIT_MS = 300;
/** Permits of a cold server that a control instance saves up, as a time in milliseconds. @public */
export const COLD_BURST_MS = 100;
/** The lowest rate relative to what a server bears, where the bound leaves less. */
const MIN_RATE_FRACTION = 0.1;
const MS_PER_SECOND = 1_000;

/**
 * Computes the permits a second of all control instances together for one cold server: the most for
 * which no second sees more sends than the bound, though each instance may have saved up one.
 *
 * @example
 * ```ts
 * computeColdRate(10, {overshoot: 1.5, slack: 5}, 5); // 10.7
 * ```
 * @public
 */
export function computeColdRate(
  perSecond: number,
  {overshoot, slack}: ColdBound,
  controls: number,
): number {
  const allowed = perSecond * overshoot + slack - controls;
  const windowMs = MS_PER_SECOND + COLD_PERMIT_MS + COLD_BURST_MS;
  return Math.max(
    perSecond * MIN_RATE_FRACTION,
    (allowed * MS_PER_SECOND) / windowMs,
  );
}
