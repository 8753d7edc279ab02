/**
 * The `fair_work` admission policy: admits requests by expected work, with fair shares and
 * deadlines over the whole deployment.
 */
import {SycamoreheadError} from '@sycamorehead/schema';
import {AdaptiveLimit} from './AdaptiveLimit.js';
import {
  AdmissionQueue,
  QueuedRequest,
  WorkClass,
  classify,
} from './AdmissionQueue.js';
import {Demand, computeFairRates} from './computeFairRates.js';
import {CustomerLimiter} from './CustomerLimiter.js';
import {
  WorkClassCounts,
  EntryCapacity,
  computeEntryCapacity,
} from './computeEntryCapacity.js';
import type {RoutingContext} from './RoutingContext.js';
import type {
  AdmissionPolicy,
  AdmissionTicket,
  AttemptOutcome,
  RoutedRequest,
} from './routingTypes.js';
import {WaitPredictionMargins} from './WaitPredictionMargins.js';
import type {WorkEstimate} from './WorkEstimator.js';

/** Maximum wait in the queue, in milliseconds; the caller's deadline may shorten it. */
const MAX_WAIT_MS: Readonly<Record<WorkClass, number>> = {
  short: 1_600,
  long: 10_000,
};
/** Quantile of the time to the first token that is reserved before the deadline. */
const FIRST_TOKEN_QUANTILE = 0.75;
/** The time to the first token assumed before the first measurement, in milliseconds. */
const FIRST_TOKEN_MS = 30;
/** The lower bound of rates, in units per millisecond; it avoids divisions by zero. */
const MIN_RATE = 1e-6;
/**
 * A customer's queued work has precedence up to the amount that its fair rate completes in this
 * fraction of the time left until the new request must start.
 */
const BURST_SHARE = 0.4;
const MS_PER_S = 1_000;
const MAX_CUSTOMERS = 10_000;
const SWEEP_INTERVAL_MS = 20;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 10_000;

/** A customer's share of the deployment, in units per millisecond. */
interface Share {
  readonly fair: number;
  readonly demand: number;
  /** The fraction of its demand that reaches this entry. */
  readonly entryFraction: number;
}

/** The position at which a request would be queued. */
interface QueuePosition {
  readonly predictedMs: number;
  readonly order: number;
}

/** A request that was admitted and is not finished. */
interface RunningRequest {
  readonly work: WorkEstimate;
  generated: number;
}

/**
 * Admits requests by expected work. Requests beyond the servers' slots are queued at the entry,
 * where customers share the slots by weight and short work does not wait behind long work. A
 * request whose deadline cannot be met is refused immediately.
 *
 * @internal
 */
export class FairShareAdmission implements AdmissionPolicy {
  private readonly limit = new AdaptiveLimit();
  private readonly queue = new AdmissionQueue();
  private readonly limiter: CustomerLimiter;
  private readonly margins = new WaitPredictionMargins();
  /** The weight of each customer that has sent a request. */
  private readonly weights = new Map<string, number>();
  private readonly running = new Map<string, RunningRequest>();
  private readonly admitted: Record<WorkClass, number> = {short: 0, long: 0};
  private sweepTimer: NodeJS.Timeout | undefined;

  constructor(private readonly context: RoutingContext) {
    this.limiter = new CustomerLimiter(context.meter, context.peers);
  }

  // Commands.

  /** Waits until the request is admitted, or refuses it immediately. */
  async admit(request: RoutedRequest): Promise<AdmissionTicket> {
    const work = this.context.estimator.estimate(request);
    this.context.reserve.record(work);
    this.recordWeight(request);
    this.limiter.consume(request, work.outputTokens);
    const capacity = this.computeCapacity(request);
    const workClass = classify(work);
    const isFirst = this.queue.count(workClass) === 0;
    // Without any server, waiting is useless: the request is admitted, and the server policy
    // reports the error.
    const isAdmissible =
      capacity.totalSlots === 0 || hasCapacity(workClass, capacity);
    if (isFirst && isAdmissible) this.begin(request, work);
    else await this.waitForAdmission(request, work, capacity);
    return {release: () => this.end(request)};
  }

  /** Learns from a finished attempt. */
  observe({request, firstTokenMs, outputTokens}: AttemptOutcome): void {
    const running = this.running.get(request.requestId);
    if (!running) return;
    running.generated += outputTokens;
    if (running.work.isLong || firstTokenMs === undefined) return;
    this.limit.record(firstTokenMs);
    this.limit.update(this.queue.size > 0);
  }

  // Queries.

  /** Counts the queued requests of each class. */
  countQueued(): WorkClassCounts {
    return {short: this.queue.count('short'), long: this.queue.count('long')};
  }

  /**
   * Computes a customer's fair rate over the whole deployment, its demand, and the fraction of
   * the demand that reaches this entry. Rates are in units per millisecond.
   */
  private readShare(customer: string, unitsPerMs: number): Share {
    const {meter, peers} = this.context;
    const demands = new Map<string, Demand>();
    let demand = 0;
    let entryFraction = 1;
    for (const name of meter.listCustomers()) {
      const own = meter.read(name).tokens / MS_PER_S;
      const rate = own + peers.sumCustomerRates(name).tokens / MS_PER_S;
      const weight = this.weights.get(name) ?? 1;
      if (name === customer) {
        demand = rate;
        entryFraction = own / Math.max(rate, MIN_RATE);
        // The customer's own demand counts as unlimited, so that its fair rate does not depend on
        // its demand so far.
        demands.set(name, {rate: Infinity, weight});
      } else {
        demands.set(name, {rate, weight});
      }
    }
    const fair = computeFairRates(unitsPerMs, demands);
    return {
      fair: fair.get(customer) ?? unitsPerMs,
      demand,
      entryFraction,
    };
  }

  private computeCapacity(request: RoutedRequest): EntryCapacity {
    return computeEntryCapacity(
      this.context,
      this.context.listEngines(request),
      {
        limit: this.limit.read(),
        queued: this.countQueued(),
        admitted: this.admitted,
      },
    );
  }

  private recordWeight({customer: {customer, weight}}: RoutedRequest): void {
    if (this.weights.size >= MAX_CUSTOMERS) this.weights.clear();
    this.weights.set(customer, weight);
  }

  private begin(request: RoutedRequest, work: WorkEstimate): void {
    const {meter, hedgeBudget, retryBudget} = this.context;
    this.running.set(request.requestId, {work, generated: 0});
    this.admitted[classify(work)] += 1;
    meter.record(request.customer.customer, {units: work.units});
    hedgeBudget.refill(work.units);
    retryBudget.refill(work.units);
  }

  private end({requestId, customer}: RoutedRequest): void {
    const running = this.running.get(requestId);
    if (!running) return;
    this.running.delete(requestId);
    this.admitted[classify(running.work)] -= 1;
    const extra = running.generated - running.work.outputTokens;
    this.context.meter.record(customer.customer, {units: extra});
    this.limiter.settle(customer.customer, extra);
    this.dispatchQueued();
  }

  private async waitForAdmission(
    request: RoutedRequest,
    work: WorkEstimate,
    capacity: EntryCapacity,
  ): Promise<void> {
    const now = performance.now();
    const startBy = this.computeStartBy(request, work, capacity.typicalTokenMs);
    const {predictedMs, order} = this.findQueuePosition(
      request,
      work,
      capacity,
      startBy,
    );
    if (now + predictedMs > startBy) {
      throw createRefusal(predictedMs, startBy - now);
    }
    this.context.setOverloaded(true);
    this.sweepTimer ??= setInterval(() => this.sweepQueue(), SWEEP_INTERVAL_MS);
    await new Promise<void>((grant, refuse) => {
      const isQueued = this.queue.enqueue({
        request,
        work,
        queuedAt: now,
        predictedMs,
        startBy,
        order,
        grant,
        refuse,
      });
      if (isQueued) return;
      refuse(new SycamoreheadError('overloaded', 'the queue is full'));
    });
  }

  /** Finds the queue position of a new request and predicts its wait. */
  private findQueuePosition(
    {customer}: RoutedRequest,
    work: WorkEstimate,
    capacity: EntryCapacity,
    startBy: number,
  ): QueuePosition {
    const workClass = classify(work);
    const now = performance.now();
    const unitsPerMs = this.computeRate(work, capacity);
    // Shares are based on the capacity of the servers; the margin applies to predicted waits
    // only.
    const totalUnitsPerMs = capacity.totalSlots / capacity.typicalTokenMs;
    const share = this.readShare(customer.customer, totalUnitsPerMs);
    const margin = this.margins.read(workClass);
    const ownRate = Math.max(
      (share.fair * share.entryFraction) / margin,
      MIN_RATE,
    );
    const own = this.queue.sumUnitsAhead(workClass, startBy, customer.customer);
    const isBurst =
      own > 0 && own + work.units > ownRate * (startBy - now) * BURST_SHARE;
    if (share.demand <= share.fair && !isBurst) {
      // Work within its customer's share is ordered before all work beyond a share.
      const ahead = this.queue.sumUnitsAhead(workClass, now);
      return {predictedMs: ahead / unitsPerMs, order: now};
    }
    const all = this.queue.sumUnitsAhead(workClass, startBy);
    const waitMs = Math.max(own / ownRate, all / unitsPerMs);
    const isFeasible = this.queue.isFeasibleWith(work, startBy, unitsPerMs);
    return {
      predictedMs: isFeasible ? waitMs : Math.max(waitMs, startBy - now + 1),
      order: startBy,
    };
  }

  /** Computes this entry's rate for a class of work, in units per millisecond. */
  private computeRate(work: WorkEstimate, capacity: EntryCapacity): number {
    const slots = work.isLong
      ? capacity.longAllowance
      : Math.max(1, capacity.slots - capacity.longRunning);
    return slots / capacity.typicalTokenMs / this.margins.read(classify(work));
  }

  private computeStartBy(
    {deadlineAt}: RoutedRequest,
    work: WorkEstimate,
    typicalMs: number,
  ): number {
    const firstTokenMs =
      this.context.tracker.computeFirstTokenMs(FIRST_TOKEN_QUANTILE) ??
      FIRST_TOKEN_MS;
    const byDeadline = deadlineAt - work.units * typicalMs - firstTokenMs;
    const byMaxWait = performance.now() + MAX_WAIT_MS[classify(work)];
    return Math.min(byDeadline, byMaxWait);
  }

  private sweepQueue(): void {
    this.dispatchQueued();
    for (const item of this.queue.listExpired(performance.now())) {
      this.removeFromQueue(item);
      const message = 'the deadline can no longer be met';
      item.refuse(new SycamoreheadError('overloaded', message));
    }
    if (this.queue.size > 0) return;
    clearInterval(this.sweepTimer);
    this.sweepTimer = undefined;
    this.context.setOverloaded(false);
  }

  private dispatchQueued(): void {
    if (this.queue.size === 0) return;
    const now = performance.now();
    const capacities = new Map<string, EntryCapacity>();
    for (;;) {
      const next = this.queue.findNext(
        ({request, work, startBy}) =>
          startBy >= now &&
          hasCapacity(classify(work), this.findCapacity(capacities, request)),
      );
      if (!next) return;
      this.removeFromQueue(next);
      this.begin(next.request, next.work);
      capacities.clear();
      next.grant();
    }
  }

  private removeFromQueue(item: QueuedRequest): void {
    const {work, queuedAt, predictedMs} = item;
    this.queue.remove(item);
    const waitedMs = performance.now() - queuedAt;
    this.margins.record(classify(work), predictedMs, waitedMs);
  }

  /**
   * Returns the capacity for a request, cached during one pass by model and customer, which
   * determine the servers that may run it.
   */
  private findCapacity(
    capacities: Map<string, EntryCapacity>,
    request: RoutedRequest,
  ): EntryCapacity {
    const key = `${request.model} ${request.customer.customer}`;
    const capacity = capacities.get(key) ?? this.computeCapacity(request);
    capacities.set(key, capacity);
    return capacity;
  }
}

function hasCapacity(workClass: WorkClass, capacity: EntryCapacity): boolean {
  if (capacity.running >= capacity.allowance) return false;
  // Rounded, because a comparison with the fractional share would round it up at every entry, and
  // the shares together would exceed the total.
  const longAllowance = Math.max(1, Math.round(capacity.longAllowance));
  return workClass === 'short' || capacity.longRunning < longAllowance;
}

function createRefusal(waitMs: number, leftMs: number): SycamoreheadError {
  return new SycamoreheadError(
    'overloaded',
    `the deadline cannot be met: the wait is about ${Math.round(waitMs)} ms`,
    {retryAfterMs: limitRetry(waitMs - Math.max(leftMs, 0))},
  );
}

function limitRetry(waitMs: number): number {
  return Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs)));
}
