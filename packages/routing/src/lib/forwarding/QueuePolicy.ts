import {WaiterRank} from './chooseNextWaiter.js';
import {classifyUrgency, computeUrgency} from './computeUrgency.js';
import {copyState} from './copyState.js';
import {estimateQueueWait} from './estimateQueueWait.js';
import {FairShares} from './FairShares.js';
import {KindShares, SizeClass} from './KindShares.js';
import {QueueFlow} from './QueueFlow.js';
import {QueueRefusal, QueueRefusalReason} from './QueueRefusal.js';
import {ReturnSchedule} from './ReturnSchedule.js';
import {NO_DEMAND, QueuedDemand, ServiceDemand} from './serviceDemand.js';
import {SessionShares} from './SessionShares.js';
import {YieldWindows} from './YieldWindows.js';

/** Time for which the standing of a kind and a customer is reused, in milliseconds. */
const STANDING_MS = 20;

/** What the turn of a request depends on. @public */
export interface QueuedRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Requests without one share the places of one customer. */
  readonly customer: string | undefined;
  /** Names what a caller's requests have in common over a while; undefined for none. */
  readonly session?: string;
  /** Kinds are served alike often, as far as their priorities permit. */
  readonly kind: string;
  /** What it costs a server, in any unit that is the same for all requests of the service. */
  readonly work: number;
  /** A number of its own, evenly spread over [0, 1). */
  readonly draw: number;
  /** The time until which it can be sent and be answered in time, on the monotonic clock. */
  readonly startBy: number;
  /** The time until which its caller waits for the answer, on the monotonic clock. */
  readonly deadlineAt: number;
}

/** A request with what was decided on its arrival. @public */
export interface ClassifiedRequest {
  readonly request: QueuedRequest;
  readonly size: SizeClass;
  readonly customer: string;
  /** Names its kind and size. */
  readonly kindAndSize: string;
  /** Whether it has the turn that its session is owed. */
  readonly isOwed: boolean;
}

/** How a customer stands against the others. */
interface CustomerStanding {
  /** What it got lately. */
  readonly served: number;
  /** The fraction of its requests that are within its share. */
  readonly allowed: number;
}

/** Whose standing has changed. @internal */
export interface StandingChanges {
  /** Whether that of all customers and kinds has. */
  readonly isAll: boolean;
  readonly customers: ReadonlySet<string>;
}

/** What entries count of each other's queues, beside the customers. @public */
export interface QueueCounts {
  readonly ahead: number;
  readonly urgencyClass: number;
}

/**
 * Decides on the requests of one service that compete for its places: whose turn it is, who is refused
 * and when refused callers return.
 *
 * @public
 */
export class QueuePolicy {
  private readonly flow = new QueueFlow();
  private readonly customers = new FairShares();
  private readonly kinds = new KindShares();
  private readonly sessions = new SessionShares();
  private readonly returns: ReturnSchedule;
  private readonly yields: YieldWindows;
  private starved = new Map<string, boolean>();
  private standings = new Map<string, CustomerStanding>();
  private standingAt = -Infinity;
  private hasAllChanged = true;
  private changed = new Set<string>();

  constructor(private readonly random: () => number = Math.random) {
    this.returns = new ReturnSchedule(random);
    this.yields = new YieldWindows(random);
  }

  // Commands.

  /** Records a request and classifies it; it takes the turn that its session is owed, if it may. */
  classifyRequest(
    request: QueuedRequest,
    mayTakeTurn = true,
  ): ClassifiedRequest {
    const {kind, priority, work, session, deadlineAt} = request;
    const customer = request.customer ?? '';
    this.customers.recordRequest(customer, work);
    const size = this.kinds.classifySize(kind, priority, work);
    const isOwed =
      mayTakeTurn &&
      session !== undefined &&
      this.sessions.takeTurn(session, deadlineAt);
    const kindAndSize = `${size} ${kind}`;
    return {request, size, customer, kindAndSize, isOwed};
  }

  /** Records that a request got a place. */
  recordPlaced(classified: ClassifiedRequest): void {
    const {request, size, customer} = classified;
    const {urgency} = this.rateRequest(classified);
    this.flow.recordPlaced(classifyUrgency(urgency));
    this.customers.recordServed(customer, request.work);
    const {kind, priority} = request;
    this.kinds.recordOutcome({kind, size, priority}, true);
    const {session} = request;
    if (session !== undefined) this.sessions.recordServed(session);
    this.standings.delete(customer);
    this.changed.add(customer);
  }

  /** Returns whose standing has changed since the last call. */
  takeChanges(now: number): StandingChanges {
    this.expireStandings(now);
    const changes = {isAll: this.hasAllChanged, customers: this.changed};
    this.hasAllChanged = false;
    this.changed = new Set();
    return changes;
  }

  /** Records whether requests wait. */
  recordQueue(isQueued: boolean): void {
    this.flow.recordQueue(isQueued);
  }

  /** Records that a place came free. */
  recordFreed(): void {
    this.flow.recordFreed();
  }

  /** Releases the turn that a request has, which ended without a place or a refusal. */
  releaseTurn({request, isOwed}: ClassifiedRequest): void {
    const {session} = request;
    if (isOwed && session !== undefined) this.sessions.releaseTurn(session);
  }

  /** Records a refusal, and builds it with the time after which the caller may return. */
  refuse(
    {request, size, isOwed}: ClassifiedRequest,
    reason: QueueRefusalReason,
    waitMs = 0,
  ): QueueRefusal {
    const {session, kind, priority} = request;
    this.kinds.recordOutcome({kind, size, priority}, false);
    const retryAfterMs = this.returns.reserveDelay({
      waitMs,
      leftMs: request.deadlineAt - performance.now(),
      placesPerSecond: this.flow.placesPerSecond,
    });
    if (session !== undefined) {
      const servedFraction = this.kinds.computeServed({
        kind,
        size,
        priority,
      });
      this.sessions.recordRefused(session, {
        servedFraction,
        isOwed,
        retryAfterMs,
      });
    }
    return new QueueRefusal(reason, retryAfterMs);
  }

  /** Sets what the other entries have reported; undefined if that is unknown. */
  updateOthers(demand: ServiceDemand | undefined): void {
    const {customers, outcomes} = demand ?? NO_DEMAND;
    this.flow.setOthers(demand ?? NO_DEMAND);
    this.kinds.setOthers(outcomes);
    this.customers.setOthers(customers);
    // The demand at this entry alone is not what is usual.
    if (demand) this.customers.updateUsual();
  }

  /** Sets which requests of other entries wait; the rest of their demand is as reported before. */
  updateOthersWaiting(queued: QueuedDemand): void {
    this.flow.setOthers(queued);
  }

  /** Returns whether a request leaves free places to more urgent ones of other entries for now. */
  checkYield(rank: WaiterRank): boolean {
    const {waiting, placesPerSecond} = this.flow.getOthers();
    return this.yields.checkYield({
      urgencyClass: classifyUrgency(rank.urgency),
      othersWaiting: waiting,
      placesPerSecond: placesPerSecond + this.flow.placesPerSecond,
    });
  }

  // Queries.

  /** Copies the policy, which then decides alike, but for what it draws. */
  copy(random: () => number): QueuePolicy {
    return copyState(this, new Map([[this.random, random]]));
  }

  /** The end of the time for which places are left to others, on the monotonic clock. */
  get yieldsUntil(): number {
    return this.yields.endsAt;
  }

  /** Whether requests have waited for a while, and no places are known to come free for them. */
  get isStalled(): boolean {
    const first = this.estimateWait({ahead: 0, urgencyClass: 0});
    return this.flow.isSaturated && first === undefined;
  }

  /** Rates where a request stands now. */
  rateRequest(
    classified: ClassifiedRequest,
    now = performance.now(),
  ): WaiterRank {
    const {request, customer} = classified;
    const {priority, startBy, draw} = request;
    this.expireStandings(now);
    const {served, allowed} = this.getStanding(customer);
    const urgency = computeUrgency({
      priority,
      isLate: now > startBy,
      isExcess: draw >= allowed,
      isStarved: classified.isOwed || this.isStarved(classified),
    });
    return {urgency, served, startBy};
  }

  /** Estimates the wait of a request with so many ahead here; undefined if too little is known. */
  estimateWait({ahead, urgencyClass}: QueueCounts): number | undefined {
    const {flow} = this;
    if (!flow.isSaturated) return undefined;
    const others = flow.getOthers();
    const hasOthers = others.placesPerSecond > 0;
    const own = {ahead, placesPerSecond: flow.saturatedPerSecond ?? 0};
    const aheadElsewhere = others.waiting
      .slice(0, urgencyClass + 1)
      .reduce((sum, count) => sum + count, 0);
    return estimateQueueWait({
      own,
      pooled: {
        ahead: ahead + aheadElsewhere,
        placesPerSecond: hasOthers
          ? flow.placesPerSecond + others.placesPerSecond
          : 0,
      },
      overtakenFraction: flow.estimateOvertaken(urgencyClass),
    });
  }

  /** Describes the demand here to the other entries, with the requests that wait. */
  describeDemand(waiting: readonly number[]): ServiceDemand {
    return {
      ...this.describeWaiting(waiting),
      customers: this.customers.listAsked(),
      outcomes: this.kinds.listOutcomes(),
    };
  }

  /** Describes the requests that wait here to the other entries. */
  describeWaiting(waiting: readonly number[]): QueuedDemand {
    const placesPerSecond = Number(this.flow.placesPerSecond.toFixed(1));
    return {waiting, placesPerSecond};
  }

  private isStarved(classified: ClassifiedRequest): boolean {
    const {request, size, kindAndSize} = classified;
    const known = this.starved.get(kindAndSize);
    if (known !== undefined) return known;
    const isStarved = this.kinds.isStarved(request.kind, size);
    this.starved.set(kindAndSize, isStarved);
    return isStarved;
  }

  private getStanding(customer: string): CustomerStanding {
    const known = this.standings.get(customer);
    if (known !== undefined) return known;
    const standing = {
      served: this.customers.getServed(customer),
      allowed: this.customers.computeAllowed(customer),
    };
    this.standings.set(customer, standing);
    return standing;
  }

  private expireStandings(now: number): void {
    if (now - this.standingAt < STANDING_MS) return;
    this.standingAt = now;
    this.hasAllChanged = true;
    this.starved = new Map();
    this.standings = new Map();
  }
}
