import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import type {RandomGenerator} from 'pure-rand';

/** A seeded source of random numbers. @public */
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
    let left = this.sampleUniform() * total;
    for (const item of items) {
      left -= item.weight;
      if (left < 0) return item;
    }
    return items[items.length - 1]!;
  }
}

/** One kind of work in a mix. @public */
export interface WorkKind {
  readonly kind: string;
  /** Share of the arrivals, relative to the other kinds. */
  readonly weight: number;
  /** Median and log-normal sigma of the prompt's and the answer's tokens. */
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly sigma: number;
  /** Time within which the answer is wanted, in milliseconds. */
  readonly deadlineMs: number;
  /** Set for calls of a plain service instead of a model. */
  readonly service?: {
    readonly name: string;
    readonly method: 'GET' | 'POST';
    readonly path: string;
    readonly isRepeatable: boolean;
  };
}

/** A customer's part of the arrivals. @public */
export interface CustomerLoad {
  readonly customer: string;
  readonly weight: number;
}

/** A time during which arrivals are more frequent. @public */
export interface Surge {
  readonly atMs: number;
  readonly durationMs: number;
  readonly factor: number;
  /** The one customer whose arrivals grow; all of them where absent. */
  readonly customer?: string;
}

/** What arrivals are drawn from. @public */
export interface ArrivalPlan {
  readonly seed: number;
  readonly durationMs: number;
  /** Arrivals a second outside surges, over all customers. */
  readonly ratePerSecond: number;
  readonly kinds: readonly WorkKind[];
  readonly customers: readonly CustomerLoad[];
  readonly surges?: readonly Surge[];
}

/** One request to be made. @public */
export interface Arrival {
  readonly index: number;
  /** Time from the start, in milliseconds. */
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
    const isOn = atMs >= surge.atMs && atMs < surge.atMs + surge.durationMs;
    const isMeant = !surge.customer || surge.customer === customer;
    return isOn && isMeant ? factor * surge.factor : factor;
  }, 1);
}

/**
 * Draws the arrivals of a plan: a Poisson process for each customer, thinned to its surges.
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
  const drawn: Array<Omit<Arrival, 'index'>> = [];
  for (const {customer, weight} of plan.customers) {
    const ratePerMs = (plan.ratePerSecond * weight) / totalWeight / 1_000;
    let atMs = random.sampleExponential(1 / (ratePerMs * peak));
    while (atMs < plan.durationMs) {
      const isKept =
        random.sampleUniform() < getSurgeFactor(surges, atMs, customer) / peak;
      if (isKept) drawn.push(sampleArrival(random, plan.kinds, customer, atMs));
      atMs += random.sampleExponential(1 / (ratePerMs * peak));
    }
  }
  return drawn
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
