import type {WorkEstimate} from './WorkEstimator.js';

/** Time constant of the means, in milliseconds. */
const DECAY_MS = 2_000;
/** Number of standard deviations that are reserved beyond the mean number of short requests. */
const RESERVED_DEVIATIONS = 2;
/** Fraction of the slots that is reserved for short work even without demand for it. */
const MIN_RESERVED_SHARE = 1 / 8;

/**
 * Computes the slots that are reserved for short work: the mean number of running short requests
 * plus two standard deviations of a Poisson distribution of that mean, over all servers together.
 * Short work cannot reserve more than its share of the requested work, so that long work is not
 * starved.
 *
 * @public
 */
export class SlotReserve {
  private meanShort = 0;
  private shortUnits = 0;
  private longUnits = 0;
  private updatedAt = performance.now();

  // Commands.

  /** Records the work of a new request. */
  record({units, isLong}: WorkEstimate): void {
    if (isLong) this.longUnits += units;
    else this.shortUnits += units;
  }

  /** Records the number of short requests that run on all servers now. */
  update(shortRunning: number): void {
    const now = performance.now();
    const decay = Math.exp(-(now - this.updatedAt) / DECAY_MS);
    this.meanShort = shortRunning + (this.meanShort - shortRunning) * decay;
    this.shortUnits *= decay;
    this.longUnits *= decay;
    this.updatedAt = now;
  }

  // Queries.

  /** Computes how many of the slots long work may use; at least one. */
  computeLongSlots(slots: number): number {
    const reserve =
      this.meanShort + RESERVED_DEVIATIONS * Math.sqrt(this.meanShort);
    const total = this.shortUnits + this.longUnits;
    const longShare = total > 0 ? this.longUnits / total : 0;
    const longSlots = Math.max(1, slots - reserve, slots * longShare);
    const maxLongSlots = Math.floor(slots * (1 - MIN_RESERVED_SHARE));
    return Math.max(1, Math.min(longSlots, maxLongSlots));
  }
}
