import {
  SycamoreheadError,
  evictOldest,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import {buildCallerGone} from './buildCallerGone.js';
import {
  RankedWaiter,
  WaiterRank,
  chooseNextWaiter,
  compareRanks,
} from './chooseNextWaiter.js';
import {classifyUrgency} from './computeUrgency.js';
import {listSizes} from './listSizes.js';
import {ClassifiedRequest, QueuePolicy, QueuedRequest} from './QueuePolicy.js';
import type {QueuedDemand, ServiceDemand} from './serviceDemand.js';
import {WaiterRanks} from './WaiterRanks.js';

/** How a request began to wait. @public */
export interface QueueNote {
  readonly ahead: number;
  readonly urgencyClass: number;
  /** The wait that was expected, in milliseconds; undefined if too little was known. */
  readonly expectedMs: number | undefined;
}

/** Work that waits for a slot. @public */
export interface WaitingWork<Slot> extends QueuedRequest {
  /** The time at which the wait is abandoned, on the monotonic clock. */
  readonly abandonAt: number;
  /**
   * The time from which the wait is abandoned if no places are known to come free, on the monotonic
   * clock; `abandonAt` unless it is given.
   */
  readonly reviewAt?: number;
  /** Work with the same needs can be sent to the same servers, but for its size. */
  readonly needs: string;
  /** Its size, in the unit that decides where it fits; the same for all if only slots do. */
  readonly size: number;
  readonly signal: AbortSignal;
  /**
   * Reserves a slot if one is free now.
   *
   * @throws SycamoreheadError if waiting is pointless.
   */
  tryReserveSlot(): Slot | undefined;
  /**
   * Finds the largest size for which some server that work with these needs can be sent to has a place; 0
   * if none has. Without it, all sizes find a place or none.
   */
  findRoom?(): number;
  /** Called when the work begins to wait. */
  onQueued?(note: QueueNote): void;
}

interface Waiter extends RankedWaiter {
  readonly classified: ClassifiedRequest;
  readonly abandonAt: number;
  rank: WaiterRank;
  /** Tries to reserve a slot and returns whether the waiter is settled. */
  trySettle(): boolean;
  findRoom(): number;
  refuse(error: SycamoreheadError): void;
}

/** Maximum number of requests that wait at one entry for one service. */
const MAX_WAITING = 500;
/** Maximum number of needs for which places are tried in one offer. */
const MAX_BLOCKED_NEEDS = 8;
/** Number of requests with the same needs that find no place in one offer before only the smallest is tried. */
const MAX_FAILED = 5;
/** Maximum number of needs of which the last place is known. */
const MAX_NEEDS = 100;
/** Time for which ranks are reused when a request arrives, in milliseconds. */
const RANK_MS = 20;
/** Time after which it is looked again whether places come free, in milliseconds. */
const REVIEW_MS = 100;
/** How far the expected wait of a waiting request has to exceed its limit for a refusal. */
const REVIEW_MARGIN = 1.5;
/** Time in which some request with the same needs must have got a place for others to yield, in ms. */
const SERVED_NEEDS_MS = 5_000;
/** What a copy takes for each random number. */
const USUAL_DRAW = 0.5;

/**
 * Queues the requests of one service that wait for a slot. `QueuePolicy` decides whose turn it is; a
 * request that can't be served in time is refused as soon as that is known.
 *
 * @public
 */
export class PlacementQueue {
  private readonly waiters = new Set<Waiter>();
  /** When a request with these needs last got a place, on the monotonic clock. */
  private readonly placedAt = new Map<string, number>();
  private readonly ranks: WaiterRanks;
  private rankedAt = -Infinity;
  private offerTimer: NodeJS.Timeout | undefined;

  constructor(private readonly policy = new QueuePolicy()) {
    this.ranks = new WaiterRanks(policy);
  }

  // Commands.

  /**
   * Reserves a slot and waits for one if none is free.
   *
   * @throws QueueRefusal if no slot becomes free in time; SycamoreheadError `caller_gone`, or what
   * `tryReserveSlot` throws.
   * @example
   * ```ts
   * const slot = await queue.acquire(work);
   * ```
   */
  async acquire<Slot>(work: WaitingWork<Slot>): Promise<Slot> {
    const {policy} = this;
    const classified = policy.classifyRequest(work);
    const slot = this.tryReserve(work, classified);
    if (slot !== undefined) return slot;
    const now = performance.now();
    const rank = policy.rateRequest(classified);
    const note = this.describeQueue(rank, work.needs);
    const waitMs = note.expectedMs ?? 0;
    if (now >= work.abandonAt) throw policy.refuse(classified, 'expired');
    if (now + waitMs > work.abandonAt) {
      throw policy.refuse(classified, 'hopeless', waitMs);
    }
    if (this.waiters.size >= MAX_WAITING) {
      this.refuseLast(classified, rank, waitMs);
    }
    work.onQueued?.(note);
    return this.wait(work, classified, rank);
  }

  /** Reserves a slot if one is free now and no other request waits for it. */
  tryAcquire<Slot>(work: WaitingWork<Slot>): Slot | undefined {
    // It does not wait, and would end without its turn.
    const classified = this.policy.classifyRequest(work, false);
    return this.tryReserve(work, classified);
  }

  /** Records that a place came free, and offers it. */
  recordFreed(): void {
    this.policy.recordFreed();
    this.offerSlots();
  }

  /** Offers slots that may have become free to the waiting requests. */
  offerSlots(): void {
    if (this.waiters.size === 0) return;
    this.updateRanks();
    const candidates = new Set(this.waiters);
    const rooms = new Map<string, number>();
    const failures = new Map<string, number>();
    while (rooms.size < MAX_BLOCKED_NEEDS) {
      const next = chooseNextWaiter(candidates, rooms);
      if (!next) return;
      if (this.policy.checkYield(next.rank)) return this.scheduleOffer();
      candidates.delete(next);
      if (next.trySettle()) continue;
      const {needs} = next;
      const failed = (failures.get(needs) ?? 0) + 1;
      failures.set(needs, failed);
      const room = failed > MAX_FAILED ? 0 : next.findRoom();
      const sizes = failed === MAX_FAILED ? listSizes(candidates, needs) : [];
      rooms.set(needs, Math.min(room, ...sizes));
    }
  }

  /** Offers no places at a later time any more. */
  stop(): void {
    clearTimeout(this.offerTimer);
  }

  /** Applies what the other entries have reported, and refuses requests that can't be served in time. */
  updateOthers(demand: ServiceDemand | undefined): void {
    this.policy.updateOthers(demand);
    this.refuseOutpaced();
  }

  /** Applies which requests of other entries wait, like `updateOthers`. */
  updateOthersWaiting(queued: QueuedDemand): void {
    this.policy.updateOthersWaiting(queued);
    this.refuseOutpaced();
  }

  // Queries.

  /** Copies the queue, which then decides alike with usual draws; the requests in it wait for nothing. */
  copy(): PlacementQueue {
    const queue = new PlacementQueue(this.policy.copy(() => USUAL_DRAW));
    for (const waiter of this.waiters) {
      queue.waiters.add({
        ...waiter,
        trySettle: () => false,
        findRoom: () => 0,
        refuse: () => {},
      });
    }
    for (const [needs, at] of this.placedAt) queue.placedAt.set(needs, at);
    queue.rankedAt = this.rankedAt;
    return queue;
  }

  /** Whether places are left to other entries at present. */
  get isYielding(): boolean {
    return this.policy.yieldsUntil > performance.now();
  }

  /** The number of waiting requests. */
  get length(): number {
    return this.waiters.size;
  }

  /** Counts the waiting requests that are at least as urgent as one of that priority. */
  countAhead(priority: number): number {
    let ahead = 0;
    for (const {classified} of this.waiters) {
      if (classified.request.priority <= priority) ahead += 1;
    }
    return ahead;
  }

  /** Counts the waiting requests by urgency class. */
  countByUrgency(): number[] {
    this.updateRanks();
    return this.countWaiters(() => true);
  }

  /** Describes the demand here to the other entries. */
  describeDemand(): ServiceDemand {
    return this.policy.describeDemand(this.countServed());
  }

  /** Describes the requests that wait here to the other entries. */
  describeWaiting(): QueuedDemand {
    return this.policy.describeWaiting(this.countServed());
  }

  /** Counts the waiting requests by urgency class; others need not yield to those that no server can take. */
  private countServed(): number[] {
    this.updateRanks();
    return this.countWaiters(({needs}) => this.isServed(needs));
  }

  /** Returns whether a request with these needs got a place lately. */
  private isServed(needs: string): boolean {
    const placedAt = this.placedAt.get(needs) ?? -Infinity;
    return performance.now() - placedAt <= SERVED_NEEDS_MS;
  }

  private describeQueue(rank: WaiterRank, ownNeeds: string): QueueNote {
    this.updateRanks(RANK_MS);
    let ahead = 0;
    for (const waiter of this.waiters) {
      // Those that no server can take take no places.
      const {needs} = waiter;
      if (needs !== ownNeeds && !this.isServed(needs)) continue;
      if (compareRanks(waiter.rank, rank) <= 0) ahead += 1;
    }
    const urgencyClass = classifyUrgency(rank.urgency);
    const counts = {ahead, urgencyClass};
    return {...counts, expectedMs: this.policy.estimateWait(counts)};
  }

  private countWaiters(isCounted: (waiter: Waiter) => boolean): number[] {
    const counts: number[] = [];
    for (const waiter of this.waiters) {
      if (!isCounted(waiter)) continue;
      const urgencyClass = classifyUrgency(waiter.rank.urgency);
      while (counts.length <= urgencyClass) counts.push(0);
      counts[urgencyClass] = (counts[urgencyClass] ?? 0) + 1;
    }
    return counts;
  }

  private tryReserve<Slot>(
    work: WaitingWork<Slot>,
    classified: ClassifiedRequest,
  ): Slot | undefined {
    const rank = this.policy.rateRequest(classified);
    if (this.isBehindOthers(work, rank)) return undefined;
    if (this.policy.checkYield(rank)) {
      this.scheduleOffer();
      return undefined;
    }
    return this.reserveSlot(work, classified);
  }

  private reserveSlot<Slot>(
    work: WaitingWork<Slot>,
    classified: ClassifiedRequest,
  ): Slot | undefined {
    try {
      const slot = work.tryReserveSlot();
      if (slot !== undefined) this.recordPlaced(work.needs, classified);
      return slot;
    } catch (error) {
      this.policy.releaseTurn(classified);
      throw error;
    }
  }

  /** Returns whether a request with the same needs waits that goes first, and found no place. */
  private isBehindOthers(
    work: WaitingWork<unknown>,
    rank: WaiterRank,
  ): boolean {
    if (this.waiters.size === 0) return false;
    this.updateRanks(RANK_MS);
    for (const waiter of this.waiters) {
      if (waiter.needs !== work.needs || waiter.size > work.size) continue;
      if (compareRanks(waiter.rank, rank) <= 0) return true;
    }
    return false;
  }

  private updateRanks(maxAgeMs = 0): void {
    const now = performance.now();
    if (now - this.rankedAt < maxAgeMs) return;
    this.rankedAt = now;
    this.ranks.update(this.waiters, now);
  }

  private recordPlaced(needs: string, classified: ClassifiedRequest): void {
    this.placedAt.delete(needs);
    this.placedAt.set(needs, performance.now());
    evictOldest(this.placedAt, MAX_NEEDS);
    this.policy.recordPlaced(classified);
  }

  private wait<Slot>(
    work: WaitingWork<Slot>,
    classified: ClassifiedRequest,
    rank: WaiterRank,
  ): Promise<Slot> {
    return new Promise((resolve, reject) => {
      const end = () => {
        clearTimeout(timer);
        work.signal.removeEventListener('abort', handleAbort);
        this.waiters.delete(waiter);
        this.policy.recordQueue(this.waiters.size > 0);
      };
      const handleAbort = () => {
        this.policy.releaseTurn(classified);
        waiter.refuse(buildCallerGone());
      };
      const handleReview = () => {
        const leftMs = work.abandonAt - performance.now();
        if (leftMs <= 0 || this.policy.isStalled) {
          waiter.refuse(this.policy.refuse(classified, 'expired'));
          return;
        }
        timer = setTimeout(handleReview, Math.min(REVIEW_MS, leftMs));
      };
      const reviewAt = Math.min(work.abandonAt, work.reviewAt ?? Infinity);
      let timer = setTimeout(handleReview, reviewAt - performance.now());
      const waiter: Waiter = {
        classified,
        rank,
        needs: work.needs,
        size: work.size,
        abandonAt: work.abandonAt,
        trySettle: () => {
          try {
            const slot = this.reserveSlot(work, classified);
            if (slot === undefined) return false;
            end();
            resolve(slot);
          } catch (error) {
            waiter.refuse(toSycamoreheadError(error));
          }
          return true;
        },
        findRoom: () => work.findRoom?.() ?? 0,
        refuse: error => {
          end();
          reject(error);
        },
      };
      work.signal.addEventListener('abort', handleAbort, {once: true});
      this.waiters.add(waiter);
      this.ranks.add(waiter);
      this.policy.recordQueue(true);
    });
  }

  /** Refuses the last of a full queue: the new request, or one that would go after it. */
  private refuseLast(
    classified: ClassifiedRequest,
    rank: WaiterRank,
    waitMs: number,
  ): void {
    const last = this.listRanked().at(-1);
    if (!last || compareRanks(rank, last.rank) >= 0) {
      throw this.policy.refuse(classified, 'displaced', waitMs);
    }
    last.refuse(this.policy.refuse(last.classified, 'displaced', waitMs));
  }

  /** Refuses waiting requests that so many others have overtaken that they can't be served in time. */
  private refuseOutpaced(): void {
    const now = performance.now();
    let ahead = 0;
    for (const waiter of this.listRanked()) {
      const urgencyClass = classifyUrgency(waiter.rank.urgency);
      const waitMs = this.policy.estimateWait({ahead, urgencyClass}) ?? 0;
      if (waitMs <= (waiter.abandonAt - now) * REVIEW_MARGIN) {
        if (this.isServed(waiter.needs)) ahead += 1;
        continue;
      }
      waiter.refuse(this.policy.refuse(waiter.classified, 'outpaced', waitMs));
    }
  }

  /** Lists the waiting requests in the order of their turns. */
  private listRanked(): Waiter[] {
    this.updateRanks();
    return [...this.waiters].sort((first, second) =>
      compareRanks(first.rank, second.rank),
    );
  }

  /** Offers places once they are no longer left to other entries. */
  private scheduleOffer(): void {
    if (this.offerTimer) return;
    this.offerTimer = setTimeout(() => {
      this.offerTimer = undefined;
      this.offerSlots();
    }, this.policy.yieldsUntil - performance.now());
  }
}
