import {evictOldest, getOrCreate} from '@sycamorehead/schema';
import {DecayingSum} from './DecayingSum.js';
import {CustomerTable, limitNames} from './serviceDemand.js';

/** Time in which what a customer asks for counts as lately, in milliseconds. */
const RECENT_MS = 2_000;
/** Time over which the usual demand of a customer is averaged, in milliseconds. */
const USUAL_MS = 60_000;
/** Time for which demand has to be observed before any of it counts as unusual, in milliseconds. */
const MIN_HISTORY_MS = 20_000;
/** Demand that counts as usual, relative to the average. */
const USUAL_FACTOR = 1.2;
/** What a burst adds to the average at most, relative to it. */
const MAX_LEARNED_FACTOR = 2;
/** Maximum number of customers that are tracked. */
const MAX_CUSTOMERS = 2_000;

/**
 * Shares the places of one service between customers, under the load of one customer that sends many
 * times its usual: what exceeds both its usual demand and an equal share gives way to all others.
 *
 * @public
 */
export class FairShares {
  private readonly asked = new Map<string, DecayingSum>();
  /** The work of the last request, by customer. */
  private readonly lastWork = new Map<string, number>();
  private readonly served = new Map<string, DecayingSum>();
  /** The average of what all entries are asked for, by customer. */
  private readonly usual = new Map<string, number>();
  private others: CustomerTable = {};
  /** An equal share of what all customers with demand ask for. */
  private equalShare = 0;
  /** The number of customers that the equal share is for. */
  private activeCustomers = 0;
  /** When the demand at all entries was first averaged, on the monotonic clock. */
  private startedAt = Infinity;
  private averagedAt = Infinity;

  // Commands.

  recordRequest(customer: string, work: number): void {
    getSum(this.asked, customer).add(work);
    this.lastWork.set(customer, work);
    evictOldest(this.lastWork, MAX_CUSTOMERS);
  }

  recordServed(customer: string, work: number): void {
    getSum(this.served, customer).add(work);
  }

  /** Sets what other entries are asked for. */
  setOthers(others: CustomerTable): void {
    this.others = others;
  }

  /** Averages the demand at all entries; to be called regularly. */
  updateUsual(): void {
    const now = performance.now();
    this.startedAt = Math.min(this.startedAt, now);
    this.averagedAt = Math.min(this.averagedAt, now);
    const gain = 1 - Math.exp((this.averagedAt - now) / USUAL_MS);
    // At the beginning the average is one over the time so far.
    const firstGain = (now - this.averagedAt) / (now - this.startedAt);
    this.averagedAt = now;
    const demands = this.sumDemands(now);
    const active = [...demands].filter(([, demand]) => demand >= 1);
    const total = active.reduce((sum, [, demand]) => sum + demand, 0);
    this.equalShare = total / Math.max(1, active.length);
    this.activeCustomers = active.length;
    for (const [customer] of active) {
      if (!this.usual.has(customer)) this.usual.set(customer, 0);
    }
    for (const [customer, usual] of this.usual) {
      const most = Math.max(usual, this.equalShare) * MAX_LEARNED_FACTOR;
      const seen = Math.min(demands.get(customer) ?? 0, most);
      const change = (seen - usual) * Math.max(gain, firstGain || 0);
      this.usual.set(customer, usual + change);
    }
    evictOldest(this.usual, MAX_CUSTOMERS);
  }

  // Queries.

  /** What the customer got lately at this entry. */
  getServed(customer: string): number {
    return this.served.get(customer)?.value ?? 0;
  }

  /**
   * Computes the fraction of a customer's requests that are within what is usual, or within an equal
   * share if that is more. One request more is within it: the demand includes the one in question.
   *
   * @example
   * ```ts
   * shares.computeAllowed('clinic'); // 0.2 while it sends seven times its usual
   * ```
   */
  computeAllowed(customer: string): number {
    // Nobody is there to give way to.
    if (this.activeCustomers <= 1) return 1;
    if (performance.now() - this.startedAt < MIN_HISTORY_MS) return 1;
    const usual = (this.usual.get(customer) ?? 0) * USUAL_FACTOR;
    const request = this.lastWork.get(customer) ?? 0;
    const allowed = Math.max(usual, this.equalShare) + request;
    return Math.min(1, allowed / Math.max(1, this.getDemand(customer)));
  }

  /** Lists what customers asked this entry for lately. */
  listAsked(): CustomerTable {
    const table: Record<string, number> = {};
    const now = performance.now();
    for (const [customer, sum] of this.asked) {
      table[customer] = Math.round(sum.readAt(now));
    }
    return limitNames(table, work => work);
  }

  /** Sums what all entries are asked for, by customer. */
  private sumDemands(now: number): Map<string, number> {
    const demands = new Map<string, number>();
    for (const [customer, sum] of this.asked) {
      demands.set(customer, sum.readAt(now));
    }
    for (const customer of Object.keys(this.others)) {
      const own = demands.get(customer) ?? 0;
      demands.set(customer, own + (this.others[customer] ?? 0));
    }
    return demands;
  }

  private getDemand(customer: string): number {
    const own = this.asked.get(customer)?.value ?? 0;
    return own + (this.others[customer] ?? 0);
  }
}

function getSum(sums: Map<string, DecayingSum>, customer: string): DecayingSum {
  return getOrCreate(
    sums,
    customer,
    MAX_CUSTOMERS,
    () => new DecayingSum(RECENT_MS),
  );
}
