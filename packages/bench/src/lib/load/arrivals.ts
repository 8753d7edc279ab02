import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import type {RandomGenerator} from 'pure-rand';

/** A seeded random number generator. @public */
export class SeededRandom {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Draws from the uniform distribution on [0, 1). */
  sampleUniform(): number {
    return (
      unsafeUniformIntDistribution(0, 0x7ffffffe, this.generator) / 0x7fffffff
    );
  }

  /** Draws from the exponential distribution with the given mean. */
  sampleExponential(mean: number): number {
    return -mean * Math.log(1 - this.sampleUniform());
  }

  /** Draws from a log-normal distribution with the given median and sigma. */
  sampleLogNormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.sampleUniform()));
    const normal = radius * Math.cos(2 * Math.PI * this.sampleUniform());
    return median * Math.exp(sigma * normal);
  }

  /** Picks an item with probability in proportion to its weight. */
  pickWeighted<Item extends {readonly weight: number}>(
    items: readonly Item[],
  ): Item {
    const total = items.reduce((sum, {weight}) => sum + weight, 0);
    let remaining = this.sampleUniform() * total;
    for (const item of items) {
      remaining -= item.weight;
      if (remaining < 0) return item;
    }
    return items[items.length - 1]!;
  }
}

/** One kind of request in a workload mix. @public */
export interface WorkKind {
  readonly kind: string;
  /** Share of the arrivals, relative to the weights of the other kinds. */
  readonly weight: number;
  /** Median number of tokens of the prompt. */
  readonly promptTokens: number;
  /** Median number of tokens of the answer. */
  readonly outputTokens: number;
  /** Log-normal sigma of both numbers of tokens. */
  readonly sigma: number;
  /** Deadline for the whole answer, in milliseconds after the request. */
  readonly deadlineMs: number;
  /** The called endpoint of a plain service; absent for requests to a model. */
  readonly service?: {
    readonly name: string;
    readonly method: 'GET' | 'POST';
    readonly path: string;
    readonly isRepeatable: boolean;
  };
}

/** A customer's share of the arrivals. @public */
export interface CustomerLoad {
  readonly customer: string;
  readonly weight: number;
}

/** A period during which the arrival rate is multiplied. @public */
export interface Surge {
  readonly atMs: number;
  readonly durationMs: number;
  readonly factor: number;
  /** The only customer whose arrivals increase; absent for all customers. */
  readonly customer?: string;
}

/** Parameters from which arrivals are generated. @public */
export interface ArrivalPlan {
  readonly seed: number;
  readonly durationMs: number;
  /** Arrivals per second of all customers together, outside surges. */
  readonly ratePerSecond: number;
  readonly kinds: readonly WorkKind[];
  readonly customers: readonly CustomerLoad[];
  readonly surges?: readonly Surge[];
}

/** One request that a load sends. @public */
export interface Arrival {
  readonly index: number;
  /** Time after the start of the load, in milliseconds. */
  readonly atMs: number;
  readonly customer: string;
  readonly kind: WorkKind;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

const MIN_TOKENS = 1;

function getSurgeFactor(
  surges: readonly Surge[],
  atMs: number,
  customer: string,
) {
  return surges.reduce((factor, surge) => {
    const isActive = atMs >= surge.atMs && atMs < surge.atMs + surge.durationMs;
    const appliesToCustomer = !surge.customer || surge.customer === customer;
    return isActive && appliesToCustomer ? factor * surge.factor : factor;
  }, 1);
}

/**
 * Generates the arrivals of a plan: a Poisson process for each customer at the peak rate, thinned
 * to the rate at each time.
 *
 * @example
 * ```ts
 * const arrivals = generateArrivals({seed: 1, durationMs: 5_000, ratePerSecond: 40, kinds, customers});
 * ```
 * @public
 */
export function generateArrivals(plan: ArrivalPlan): Arrival[] {
  const random = new SeededRandom(plan.seed);
  const surges = plan.surges ?? [];
  const peak = surges.reduce((product, {factor}) => product * factor, 1);
  const totalWeight = plan.customers.reduce((sum, {weight}) => sum + weight, 0);
  const generated: Array<Omit<Arrival, 'index'>> = [];
  for (const {customer, weight} of plan.customers) {
    const ratePerMs = (plan.ratePerSecond * weight) / totalWeight / 1_000;
    let atMs = random.sampleExponential(1 / (ratePerMs * peak));
    while (atMs < plan.durationMs) {
      const isAccepted =
        random.sampleUniform() < getSurgeFactor(surges, atMs, customer) / peak;
      if (isAccepted)
        generated.push(sampleArrival(random, plan.kinds, customer, atMs));
      atMs += random.sampleExponential(1 / (ratePerMs * peak));
    }
  }
  return generated
    .sort((left, right) => left.atMs - right.atMs)
    .map((arrival, index) => ({...arrival, index}));
}

function sampleArrival(
  random: SeededRandom,
  kinds: readonly WorkKind[],
  customer: string,
  atMs: number,
): Omit<Arrival, 'index'> {
  const kind = random.pickWeighted(kinds);
  const sampleTokens = (median: number) =>
    Math.max(
      MIN_TOKENS,
      Math.round(random.sampleLogNormal(median, kind.sigma)),
    );
  return {
    atMs,
    customer,
    kind,
    promptTokens: sampleTokens(kind.promptTokens),
    outputTokens: sampleTokens(kind.outputTokens),
  };
}
