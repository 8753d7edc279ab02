/** The admission policy by expected work, with fair shares and deadlines over the deployment. */
import {SycamoreheadError} from '@sycamorehead/schema';
import {AdaptiveLimit} from './AdaptiveLimit.js';
import {AdmissionQueue, WorkClass, classify} from './AdmissionQueue.js';
import {CustomerLimiter} from './CustomerLimiter.js';
import {ClassCounts, Room, computeRoom} from './DeploymentRoom.js';
import type {RoutingContext} from './RoutingContext.js';
import type {
  AdmissionPolicy,
  AdmissionTicket,
  AttemptOutcome,
  RoutedRequest,
} from './routingTypes.js';
import type {WorkEstimate} from './WorkEstimator.js';

/** Longest wait in the queue for a caller that gave no nearer deadline, in milliseconds. */
const MAX_WAIT_MS: Readonly<Record<WorkClass, number>> = {
  short: 1_600,
  long: 10_000,
};
/** Margin on a predicted wait, for what arrives meanwhile. */
const WAIT_MARGIN = 1.3;
/** Share of the first tokens that come within the time kept free for them. */
const FIRST_TOKEN_QUANTILE = 0.75;
/** Time to the first token before any was measured, in milliseconds. */
const FIRST_TOKEN_MS = 30;
const MIN_WEIGHT = 1e-3;
const SWEEP_MS = 20;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 10_000;

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
export class FairWork implements AdmissionPolicy {
  private readonly limit = new AdaptiveLimit();
  private readonly queue: AdmissionQueue;
  private readonly limiter: CustomerLimiter;
  private readonly running = new Map<string, RunningRequest>();
  private readonly admitted: Record<WorkClass, number> = {short: 0, long: 0};
  private sweep: NodeJS.Timeout | undefined;

  constructor(private readonly context: RoutingContext) {
    this.queue = new AdmissionQueue(request => this.readWeight(request));
    this.limiter = new CustomerLimiter(context.meter, context.peers);
  }

  // Commands.

  /** Waits for leave to run, or refuses at once. */
  async admit(request: RoutedRequest): Promise<AdmissionTicket> {
    const work = this.context.estimator.estimate(request);
    this.context.reserve.record(work);
    this.limiter.consume(request, work.outputTokens);
    const room = this.computeRoom(request);
    const workClass = classify(work);
    const isFirst = this.queue.count(workClass) === 0;
    if (isFirst && hasRoom(workClass, room)) this.begin(request, work);
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
  countQueued(): ClassCounts {
    return {short: this.queue.count('short'), long: this.queue.count('long')};
  }

  /** A customer's weight, divided among the entries by what it asks of each. */
  private readWeight({customer: {customer, weight}}: RoutedRequest): number {
    const {meter, peers} = this.context;
    const own = meter.read(customer).tokens;
    const others = peers.sumCustomer(customer).tokens;
    return Math.max(MIN_WEIGHT, (weight * own) / Math.max(own + others, 1));
  }

  private computeRoom(request: RoutedRequest): Room {
    return computeRoom(this.context, this.context.listEngines(request), {
      limit: this.limit.read(),
      queued: this.countQueued(),
      admitted: this.admitted,
    });
  }

  private begin(request: RoutedRequest, work: WorkEstimate): void {
    const {meter, hedges, retries} = this.context;
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
    room: Room,
  ): Promise<void> {
    const startBy = this.computeStartBy(request, work, room.typicalMs);
    this.checkWait(request, work, room, startBy - performance.now());
    this.context.setOverloaded(true);
    this.sweep ??= setInterval(() => this.sweepQueue(), SWEEP_MS);
    await new Promise<void>((resolve, reject) => {
      const item = {request, work, startBy, grant: resolve, refuse: reject};
      if (this.queue.enqueue(item)) return;
      reject(new SycamoreheadError('overloaded', 'the queue is full'));
    });
  }

  /** Refuses at once what could not be answered within its deadline. */
  private checkWait(
    request: RoutedRequest,
    work: WorkEstimate,
    room: Room,
    leftMs: number,
  ): void {
    const slots = work.isLong
      ? room.longAllowance
      : Math.max(1, room.slots - room.longRunning);
    const ahead = this.queue.sumUnitsAhead(request, work);
    const unitsPerMs = slots / room.typicalMs;
    const waitMs = (ahead / unitsPerMs) * WAIT_MARGIN;
    if (waitMs <= leftMs) return;
    throw new SycamoreheadError(
      'overloaded',
      `the deadline cannot be met: work of about ${Math.round(waitMs)} ms is queued ahead`,
      {retryAfterMs: limitRetry(waitMs - Math.max(leftMs, 0))},
    );
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
      this.queue.remove(item);
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
    const rooms = new Map<string, Room>();
    for (;;) {
      const next = this.queue.findNext(
        ({request, work, startBy}) =>
          startBy >= now &&
          hasRoom(classify(work), this.findRoom(rooms, request)),
      );
      if (!next) return;
      this.queue.remove(next);
      this.begin(next.request, next.work);
      rooms.clear();
      next.grant();
    }
  }

  /** Rooms of one pass, by what decides which servers may run a request. */
  private findRoom(rooms: Map<string, Room>, request: RoutedRequest): Room {
    const key = `${request.model} ${request.customer.customer}`;
    const room = rooms.get(key) ?? this.computeRoom(request);
    rooms.set(key, room);
    return room;
  }
}

function hasRoom(workClass: WorkClass, room: Room): boolean {
  if (room.running >= room.allowance) return false;
  return workClass === 'short' || room.longRunning < room.longAllowance;
}

function limitRetry(waitMs: number): number {
  return Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs)));
}
