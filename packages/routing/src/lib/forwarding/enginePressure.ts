/** Average pending work at which engines count as full, as a fraction of the target latency. */
const FULL_FRACTION = 0.8;
/** The pressure up to which engines count as idle; usual bursts reach it. */
const USUAL_PRESSURE = 0.375;

/**
 * Computes the pressure on engines for requests with a target latency: 0 is idle; at 1 as much work is
 * pending on each as may pass before such a request is read.
 *
 * @example
 * ```ts
 * computePressure(400, 1_000); // 0.5
 * ```
 * @public
 */
export function computePressure(
  pendingMs: number,
  targetLatencyMs: number,
): number {
  return pendingMs / (targetLatencyMs * FULL_FRACTION);
}

/**
 * Computes how far the pressure has risen from its usual value to full engines, from 0 to 1.
 *
 * @example
 * ```ts
 * computeLoadFraction(0.375); // 0
 * ```
 * @public
 */
export function computeLoadFraction(pressure: number): number {
  const fraction = (pressure - USUAL_PRESSURE) / (1 - USUAL_PRESSURE);
  return Math.min(1, Math.max(0, fraction));
}
