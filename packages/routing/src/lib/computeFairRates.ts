/** The demand and the weight of one customer. @public */
export interface Demand {
  readonly rate: number;
  readonly weight: number;
}

/**
 * Divides a capacity by weighted max-min fairness: no customer gets more than its demand while
 * others lack capacity, and contended capacity is divided by weight. Capacity without demand is
 * lent to all customers by weight.
 *
 * @example
 * ```ts
 * computeFairRates(10, new Map([['a', {rate: 2, weight: 1}], ['b', {rate: 50, weight: 1}]]));
 * // a: 2, b: 8
 * ```
 * @public
 */
export function computeFairRates(
  capacity: number,
  demands: ReadonlyMap<string, Demand>,
): Map<string, number> {
  const rates = new Map<string, number>();
  const ranked = [...demands].sort(
    ([, left], [, right]) =>
      left.rate / left.weight - right.rate / right.weight,
  );
  let left = capacity;
  let weights = ranked.reduce((sum, [, {weight}]) => sum + weight, 0);
  const totalWeight = weights;
  for (const [name, {rate, weight}] of ranked) {
    const fair = (left * weight) / weights;
    const given = Math.min(rate, fair);
    rates.set(name, given);
    left -= given;
    weights -= weight;
  }
  if (left <= 0) return rates;
  for (const [name, {weight}] of ranked) {
    const lent = (left * weight) / totalWeight;
    rates.set(name, (rates.get(name) ?? 0) + lent);
  }
  return rates;
}
