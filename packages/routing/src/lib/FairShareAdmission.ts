/** The admission policy by expected work, with fair shares and deadlines over the deployment. */
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

/** Longest wait in the queue for a caller that gave no nearer deadline, in milliseconds. */
const MAX_WAIT_MS: Readonly<Record<WorkClass, number>> = {
  short: 1_600,
  long: 10_000,
};
/** Share of the first tokens that come within the time kept free for them. */
const FIRST_TOKEN_QUANTILE = 0.75;
/** Time to the first token before any was measured, in milliseconds. */
const FIRST_TOKEN_MS = 30;
/** Rates below this count as this, in units a millisecond. */
const MIN_RATE = 1e-6;
/** Part of its time left that a customer's waiting work may take at its fair rate to go first. */
const BURST_SHARE = 0.4;
const MS_PER_S = 1_000;
const MAX_CUSTOMERS = 10_000;
const SWEEP_MS = 20;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 10_000;

/** A customer's share of the deployment, in units a millisecond. */
interface Share {
  readonly fair: number;
  readonly asked: number;
  /** Part of what it asks that it asks of this entry. */
  readonly part: number;
}

/** Where a request would queue. */
interface Place {
  readonly predictedMs: number;
  readonly order: number;
}

/** A request that was admitted and is not finished. */
interface RunningRequest {
  readonly work: WorkEstimate;
  generated: number;
}

/**
 * Admits by expected work. Requests beyond the servers' slots wait here, where customers share them
 * by weight and short work does not wait behind long work; a request whose deadline cannot be met
 * is refused at once.
 *
 * @internal
 */
export class FairShareAdmission implements AdmissionPolicy {
  private readonly limit = new AdaptiveLimit();
  private readonly queue = new AdmissionQueue();
  private readonly limiter: CustomerLimiter;
  private readonly margins = new WaitPredictionMargins();
  /** Weights of the customers seen. */
  private readonly weights = new Map<string, number>();
  private readonly running = new Map<string, RunningRequest>();
  private readonly admitted: Record<WorkClass, number> = {short: 0, long: 0};
  private sweep: NodeJS.Timeout | undefined;

  constructor(private readonly context: RoutingContext) {
    this.limiter = new CustomerLimiter(context.meter, context.peers);
  }

  // Commands.

  /** Waits for leave to run, or refuses at once. */
  async admit(request: RoutedRequest): Promise<AdmissionTicket> {
    const work = this.context.estimator.estimate(request);
    this.context.reserve.record(work);
    this.noteWeight(request);
    this.limiter.consume(request, work.outputTokens);
    const room = this.computeRoom(request);
    const workClass = classify(work);
    const isFirst = this.queue.count(workClass) === 0;
    // Without any server nothing is gained by waiting; the choice of one says so.
    const isOpen = room.totalSlots === 0 || hasRoom(workClass, room);
    if (isFirst && isOpen) this.begin(request, work);
    else await this.waitForTurn(request, work, room);
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

  /** Counts the requests that wait, by class. */
  countQueued(): WorkClassCounts {
    return {short: this.queue.count('short'), long: this.queue.count('long')};
  }

  /**
   * What a customer may get of the whole deployment, what it asks of it, and this entry's part of
   * that, in units a millisecond.
   */
  private readShare(customer: string, unitsPerMs: number): Share {
    const {meter, peers} = this.context;
    const demands = new Map<string, Demand>();
    let asked = 0;
    let part = 1;
    for (const name of meter.listCustomers()) {
      const own = meter.read(name).tokens / MS_PER_S;
      const rate = own + peers.sumCustomerRates(name).tokens / MS_PER_S;
      const weight = this.weights.get(name) ?? 1;
      if (name === customer) {
        asked = rate;
        part = own / Math.max(rate, MIN_RATE);
        // What it may get does not depend on what it has asked for so far.
        demands.set(name, {rate: Infinity, weight});
      } else {
        demands.set(name, {rate, weight});
      }
    }
    const fair = computeFairRates(unitsPerMs, demands);
    return {fair: fair.get(customer) ?? unitsPerMs, asked, part};
  }

  private computeRoom(request: RoutedRequest): EntryCapacity {
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

  private noteWeight({customer: {customer, weight}}: RoutedRequest): void {
    if (this.weights.size >= MAX_CUSTOMERS) this.weights.clear();
    this.weights.set(customer, weight);
  }

  private begin(request: RoutedRequest, work: WorkEstimate): void {
    const {meter, hedgeBudget: hedges, retryBudget: retries} = this.context;
    this.running.set(request.requestId, {work, generated: 0});
    this.admitted[classify(work)] += 1;
    meter.record(request.customer.customer, {units: work.units});
    hedges.refill(work.units);
    retries.refill(work.units);
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

  private async waitForTurn(
    request: RoutedRequest,
    work: WorkEstimate,
    room: EntryCapacity,
  ): Promise<void> {
    const now = performance.now();
    const startBy = this.computeStartBy(request, work, room.typicalTokenMs);
    const {predictedMs, order} = this.findPlace(request, work, room, startBy);
    if (now + predictedMs > startBy) {
      throw createRefusal(predictedMs, startBy - now);
    }
    this.context.setOverloaded(true);
    this.sweep ??= setInterval(() => this.sweepQueue(), SWEEP_MS);
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

  /** Finds where a request would queue, and how long it would wait there. */
  private findPlace(
    {customer}: RoutedRequest,
    work: WorkEstimate,
    room: EntryCapacity,
    startBy: number,
  ): Place {
    const workClass = classify(work);
    const now = performance.now();
    const unitsPerMs = this.computeRate(work, room);
    // Shares go by what the servers can do; the margin only concerns how long a wait is.
    const capacity = room.totalSlots / room.typicalTokenMs;
    const share = this.readShare(customer.customer, capacity);
    const margin = this.margins.read(workClass);
    const ownRate = Math.max((share.fair * share.part) / margin, MIN_RATE);
    const own = this.queue.sumUnitsAhead(workClass, startBy, customer.customer);
    const isBurst =
      own > 0 && own + work.units > ownRate * (startBy - now) * BURST_SHARE;
    if (share.asked <= share.fair && !isBurst) {
      // A customer within its share goes before all that is beyond one.
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

  /** This entry's rate for a class of work, in units a millisecond. */
  private computeRate(work: WorkEstimate, room: EntryCapacity): number {
    const slots = work.isLong
      ? room.longAllowance
      : Math.max(1, room.slots - room.longRunning);
    return slots / room.typicalTokenMs / this.margins.read(classify(work));
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
    const byPatience = performance.now() + MAX_WAIT_MS[classify(work)];
    return Math.min(byDeadline, byPatience);
  }

  private sweepQueue(): void {
    this.dispatchQueued();
    for (const item of this.queue.listExpired(performance.now())) {
      this.leaveQueue(item);
      const message = 'the deadline can no longer be met';
      item.refuse(new SycamoreheadError('overloaded', message));
    }
    if (this.queue.size > 0) return;
    clearInterval(this.sweep);
    this.sweep = undefined;
    this.context.setOverloaded(false);
  }

  private dispatchQueued(): void {
    if (this.queue.size === 0) return;
    const now = performance.now();
    const rooms = new Map<string, EntryCapacity>();
    for (;;) {
      const next = this.queue.findNext(
        ({request, work, startBy}) =>
          startBy >= now &&
          hasRoom(classify(work), this.findRoom(rooms, request)),
      );
      if (!next) return;
      this.leaveQueue(next);
      this.begin(next.request, next.work);
      rooms.clear();
      next.grant();
    }
  }

  private leaveQueue(item: QueuedRequest): void {
    const {work, queuedAt, predictedMs} = item;
    this.queue.remove(item);
    const waitedMs = performance.now() - queuedAt;
    this.margins.record(classify(work), predictedMs, waitedMs);
  }

  /** Rooms of one pass, by what decides which servers may run a request. */
  private findRoom(
    rooms: Map<string, EntryCapacity>,
    request: RoutedRequest,
  ): EntryCapacity {
    const key = `${request.model} ${request.customer.customer}`;
    const room = rooms.get(key) ?? this.computeRoom(request);
    rooms.set(key, room);
    return room;
  }
}

function hasRoom(workClass: WorkClass, room: EntryCapacity): boolean {
  if (room.running >= room.allowance) return false;
  // Rounded, so that the entries' parts together do not exceed the whole.
  const longAllowance = Math.max(1, Math.round(room.longAllowance));
  return workClass === 'short' || room.longRunning < longAllowance;
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
