import {SycamoreheadError} from '@sycamorehead/schema';
import type {CustomerMeter} from './CustomerMeter.js';
import type {PeerUsage} from './PeerUsage.js';
import type {RoutedRequest} from './routingTypes.js';

const MAX_CUSTOMERS = 10_000;
/** Seconds of its rate that a customer may use at once. */
const BURST_S = 1;
const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 60_000;

type Measure = 'requests' | 'tokens';

interface Bucket extends Record<Measure, number> {
  at: number;
}

/**
 * Holds customers to their limits over the whole deployment. Each entry lets through its part of a
 * limit: the part that it has in what the customer asks of all entries. That depends on what is
 * asked and not on what is let through, so the entries' parts do not chase each other.
 *
 * @public
 */
export class CustomerLimiter {
  private readonly buckets = new Map<string, Bucket>();

  constructor(
    private readonly meter: CustomerMeter,
    private readonly peers: PeerUsage,
  ) {}

  // Commands.

  /**
   * Takes a request of so many tokens out of its customer's limits.
   *
   * @throws SycamoreheadError `rate_limited`, with the time until the limit has room again.
   */
  consume(request: RoutedRequest, tokens: number): void {
    const {customer} = request.customer;
    this.meter.record(customer, {requests: 1, tokens});
    const rates = this.computeRates(request);
    const bucket = this.refill(customer, rates);
    const waitMs = Math.max(
      ((1 - bucket.requests) / rates.requests) * 1_000,
      // An answer may exceed what is left; its customer then waits until the debt is paid.
      (-bucket.tokens / rates.tokens) * 1_000,
    );
    if (waitMs > 0) throw createRefusal(request, waitMs);
    bucket.requests -= 1;
    bucket.tokens -= tokens;
  }

  /** Corrects an estimate by the tokens that were generated. */
  settle(customer: string, extraTokens: number): void {
    const bucket = this.buckets.get(customer);
    if (bucket) bucket.tokens -= extraTokens;
  }

  // Queries.

  /** This entry's part of a customer's limits, a second. */
  private computeRates(request: RoutedRequest): Record<Measure, number> {
    const {customer, limits} = request.customer;
    const own = this.meter.read(customer);
    const others = this.peers.sumCustomerRates(customer);
    const computePart = (measure: Measure) =>
      own[measure] / Math.max(own[measure] + others[measure], 1e-9);
    return {
      requests: limits.requestsPerSecond * computePart('requests'),
      tokens: limits.tokensPerSecond * computePart('tokens'),
    };
  }

  private refill(customer: string, rates: Record<Measure, number>): Bucket {
    const now = performance.now();
    const burst = {
      requests: Math.max(1, rates.requests * BURST_S),
      tokens: rates.tokens * BURST_S,
    };
    const bucket = this.buckets.get(customer) ?? {...burst, at: now};
    const seconds = (now - bucket.at) / 1_000;
    for (const measure of ['requests', 'tokens'] as const) {
      const refilled = bucket[measure] + seconds * rates[measure];
      bucket[measure] = Math.min(burst[measure], refilled);
    }
    bucket.at = now;
    if (this.buckets.size >= MAX_CUSTOMERS) this.buckets.clear();
    this.buckets.set(customer, bucket);
    return bucket;
  }
}

function createRefusal(
  {customer}: RoutedRequest,
  waitMs: number,
): SycamoreheadError {
  const {requestsPerSecond, tokensPerSecond} = customer.limits;
  return new SycamoreheadError(
    'rate_limited',
    `customer ${customer.customer} is above its limits of ${requestsPerSecond} requests and ${tokensPerSecond} tokens a second`,
    {
      retryAfterMs: Math.ceil(
        Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs)),
      ),
    },
  );
}
