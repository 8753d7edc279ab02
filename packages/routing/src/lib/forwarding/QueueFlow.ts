import {DecayingSum} from './DecayingSum.js';
import {SaturatedRate} from './SaturatedRate.js';
import {NO_DEMAND, QueuedDemand} from './serviceDemand.js';
import {URGENCY_CLASSES} from './computeUrgency.js';

/** Time in which places and requests count as lately, in milliseconds. */
const FLOW_MS = 2_000;
/** Age above which what other entries reported is ignored, in milliseconds. */
const OTHERS_EXPIRY_MS = 1_000;

/**
 * Measures how many places of one service requests of each urgency take here, and holds what the other
 * entries reported.
 *
 * @public
 */
export class QueueFlow {
  private readonly saturated = new SaturatedRate();
  private readonly freed = new DecayingSum(FLOW_MS);
  private readonly placed = Array.from(
    {length: URGENCY_CLASSES},
    () => new DecayingSum(FLOW_MS),
  );
  private others: QueuedDemand = NO_DEMAND;
  private othersAt = -Infinity;

  // Commands.

  recordPlaced(urgencyClass: number): void {
    this.placed[urgencyClass]?.add(1);
    this.saturated.recordPlaced();
  }

  recordFreed(): void {
    this.freed.add(1);
  }

  /** Records whether requests wait here. */
  recordQueue(isQueued: boolean): void {
    this.saturated.recordQueue(isQueued);
  }

  setOthers(demand: QueuedDemand): void {
    this.others = demand;
    this.othersAt = performance.now();
  }

  // Queries.

  /** Places that waiting requests get here in a second; undefined if too little is known. */
  get saturatedPerSecond(): number | undefined {
    return this.saturated.perSecond;
  }

  /** Whether requests have waited here for long enough for estimates. */
  get isSaturated(): boolean {
    return this.saturated.isSaturated;
  }

  /** Places that requests can get here in a second at least. */
  get placesPerSecond(): number {
    const lately = Math.max(sumRates(this.placed), this.freed.perSecond);
    return this.saturatedPerSecond ?? lately;
  }

  /** What the other entries reported; nothing if it is out of date. */
  getOthers(): QueuedDemand {
    const isFresh = performance.now() - this.othersAt < OTHERS_EXPIRY_MS;
    return isFresh ? this.others : NO_DEMAND;
  }

  /** Estimates the part of the places that more urgent requests take. */
  estimateOvertaken(urgencyClass: number): number {
    const total = sumRates(this.placed);
    if (total <= 0) return 0;
    return sumRates(this.placed.slice(0, urgencyClass)) / total;
  }
}

function sumRates(sums: readonly DecayingSum[]): number {
  return sums.reduce((total, {perSecond}) => total + perSecond, 0);
}
