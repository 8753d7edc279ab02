/**
 * Computes a quantile of a sample by the nearest-rank method; NaN for an empty sample.
 *
 * @example
 * ```ts
 * computeQuantile([1, 2, 3, 4], 0.5); // 2
 * ```
 * @public
 */
export function computeQuantile(
  values: readonly number[],
  quantile: number,
): number {
  if (values.length === 0) return Number.NaN;
  const sorted = [...values].sort((left, right) => left - right);
  const rank = Math.ceil(quantile * sorted.length);
  return sorted[Math.max(rank, 1) - 1] ?? Number.NaN;
}

/**
 * Computes the mean of a sample; NaN for an empty sample.
 *
 * @example
 * ```ts
 * computeMean([1, 3]); // 2
 * ```
 * @public
 */
export function computeMean(values: readonly number[]): number {
  if (values.length === 0) return Number.NaN;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
