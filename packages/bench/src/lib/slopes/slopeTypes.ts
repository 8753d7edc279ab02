/** Cost per unit of load, fitted to measurements at several sizes. @public */
export interface Slope {
  readonly name: string;
  readonly unit: string;
  /** The measured value at each size. */
  readonly points: ReadonlyArray<{
    readonly size: number;
    readonly value: number;
  }>;
  /** Cost of one additional unit: the slope of the least-squares line through the points. */
  readonly perUnit: number;
  /** Value of that line at size zero. */
  readonly base: number;
}

/** A measured value at one size. @public */
export type SlopePoint = Slope['points'][number];

/**
 * Fits the least-squares line through measured values.
 *
 * @example
 * ```ts
 * computeSlope('memory', 'bytes a server', [{size: 1, value: 3}, {size: 2, value: 5}]).perUnit; // 2
 * ```
 * @public
 */
export function computeSlope(
  name: string,
  unit: string,
  points: readonly SlopePoint[],
): Slope {
  const count = points.length;
  const meanSize = points.reduce((sum, {size}) => sum + size, 0) / count;
  const meanValue = points.reduce((sum, {value}) => sum + value, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const {size, value} of points) {
    covariance += (size - meanSize) * (value - meanValue);
    variance += (size - meanSize) ** 2;
  }
  const perUnit = variance > 0 ? covariance / variance : 0;
  return {name, unit, points, perUnit, base: meanValue - perUnit * meanSize};
}
