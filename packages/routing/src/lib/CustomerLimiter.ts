import {SycamoreheadError} from '@sycamorehead/schema';
import type {CustomerMeter} from './CustomerMeter.js';
import type {PeerUsage} from './PeerUsage.js';
import type {RoutedRequest} from './routingTypes.js';

const MAX_CUSTOMERS = 10_000;
/** The burst that a customer may use at once, in seconds of its rate. */
const BURST_S = 1;
const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 60_000;

type Measure = 'requests' | 'tokens';

interface Bucket extends Record<Measure, number> {
  at: number;
}

/**
 * Enforces the customers' limits over the whole deployment. Each entry enforces a share of a
 * limit: its share of the customer's demand on all entries. The shares follow the demand and not
 * the admitted requests, so that the entries do not react to each other's admissions.
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
   * Charges a request and its estimated tokens to its customer's limits.
   *
   * @throws SycamoreheadError `rate_limited`, with the time until the limit has capacity again.
   */
  consume(request: RoutedRequest, tokens: number): void {
    const {customer} = request.customer;
    this.meter.record(customer, {requests: 1, tokens});
    const rates = this.computeRates(request);
    const bucket = this.refill(customer, rates);
    const waitMs = Math.max(
      ((1 - bucket.requests) / rates.requests) * 1_000,
      // A request may make the token balance negative; the customer's next request then waits until
      // the deficit is refilled.
      (-bucket.tokens / rates.tokens) * 1_000,
    );
    if (waitMs > 0) throw createRefusal(request, waitMs);
    bucket.requests -= 1;
    bucket.tokens -= tokens;
  }

  /** Corrects the charge for a finished request by its generated minus its estimated tokens. */
  settle(customer: string, extraTokens: number): void {
    const bucket = this.buckets.get(customer);
    if (bucket) bucket.tokens -= extraTokens;
  }

  // Queries.

  /** Computes this entry's share of a customer's limits, per second. */
  private computeRates(request: RoutedRequest): Record<Measure, number> {
    const {customer, limits} = request.customer;
    const own = this.meter.read(customer);
    const others = this.peers.sumCustomerRates(customer);
    const computeShare = (measure: Measure) =>
      own[measure] / Math.max(own[measure] + others[measure], 1e-9);
    return {
      requests: limits.requestsPerSecond * computeShare('requests'),
      tokens: limits.tokensPerSecond * computeShare('tokens'),
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
