import type {WorkEstimate} from './WorkEstimator.js';

/** Time constant of the means, in milliseconds. */
const DECAY_MS = 2_000;
/** Deviations of the number of short requests that the reserve covers. */
const DEVIATIONS = 2;
/** Part of the slots kept for short work even while none is asked for. */
const MIN_RESERVED_SHARE = 1 / 8;

/**
 * Sizes the slots that long work cannot take: the mean number of short requests running and two
 * standard deviations of a Poisson number of that mean, over all servers together. Short work can
 * claim no more than its share of the work asked for, so that long work is not starved.
 *
 * @public
 */
export class SlotReserve {
  private meanShort = 0;
  private shortUnits = 0;
  private longUnits = 0;
  private updatedAt = performance.now();

  // Commands.

  /** Notes work that was asked for. */
  record({units, isLong}: WorkEstimate): void {
    if (isLong) this.longUnits += units;
    else this.shortUnits += units;
  }

  /** Notes how many short requests run now on all servers. */
  update(shortRunning: number): void {
    const now = performance.now();
    const kept = Math.exp(-(now - this.updatedAt) / DECAY_MS);
    this.meanShort = shortRunning + (this.meanShort - shortRunning) * kept;
    this.shortUnits *= kept;
    this.longUnits *= kept;
    this.updatedAt = now;
  }

  // Queries.

  /** Computes how many of so many slots long work may take; at least one. */
  computeLongSlots(slots: number): number {
    const reserve = this.meanShort + DEVIATIONS * Math.sqrt(this.meanShort);
    const total = this.shortUnits + this.longUnits;
    const longShare = total > 0 ? this.longUnits / total : 0;
    const wanted = Math.max(1, slots - reserve, slots * longShare);
    const most = Math.floor(slots * (1 - MIN_RESERVED_SHARE));
    return Math.max(1, Math.min(wanted, most));
  }
}
