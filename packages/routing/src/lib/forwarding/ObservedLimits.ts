import {evictOldest} from '@sycamorehead/schema';
import {decodeLimitTable} from './decodeLimitTable.js';

/** What an answer of a backend server said of its limit. @public */
export interface ObservedLimit {
  /** Requests a second from all entries together; undefined if the answer named no limit. */
  readonly perSecond: number | undefined;
  /** A time at which it was true, on the monotonic clock. */
  readonly observedAt: number;
}

/**
 * Limits as they travel between processes, by incarnation: requests a second, null for none, and the
 * age of the observation in milliseconds.
 *
 * @public
 */
export type LimitTable = Readonly<
  Record<string, readonly [perSecond: number | null, ageMs: number]>
>;

/** Maximum number of incarnations that are tracked; the oldest are removed first. */
const MAX_INCARNATIONS = 2_000;

/**
 * The newest observation of each incarnation's limit. Observations may arrive late, repeated or in any
 * order.
 *
 * @public
 */
export class ObservedLimits {
  private readonly limits = new Map<string, ObservedLimit>();

  // Commands.

  /** Records an observation; returns whether it is newer than what was known. */
  record(incarnation: string, limit: ObservedLimit): boolean {
    const known = this.limits.get(incarnation);
    if (known && known.observedAt >= limit.observedAt) return false;
    this.limits.delete(incarnation);
    this.limits.set(incarnation, limit);
    evictOldest(this.limits, MAX_INCARNATIONS);
    return true;
  }

  /** Records what another process has observed. */
  addTable(table: LimitTable): void {
    for (const [incarnation, limit] of decodeLimitTable(table)) {
      this.record(incarnation, limit);
    }
  }

  /** Removes the observation of an incarnation. */
  remove(incarnation: string): void {
    this.limits.delete(incarnation);
  }

  /** Removes observations above an age, in milliseconds. */
  expire(maxAgeMs: number): void {
    const oldest = performance.now() - maxAgeMs;
    for (const [incarnation, {observedAt}] of this.limits) {
      if (observedAt < oldest) this.limits.delete(incarnation);
    }
  }

  // Queries.

  /** Whether nothing has been observed. */
  get isEmpty(): boolean {
    return this.limits.size === 0;
  }

  /** Returns the newest observation of an incarnation. */
  find(incarnation: string): ObservedLimit | undefined {
    return this.limits.get(incarnation);
  }

  /** Lists the newest observations. */
  list(): Array<readonly [incarnation: string, limit: ObservedLimit]> {
    return [...this.limits];
  }

  /** Builds a table of the observations that are selected. */
  buildTable(
    isSelected: (limit: ObservedLimit) => boolean = () => true,
  ): LimitTable {
    const now = performance.now();
    const table: Record<string, readonly [number | null, number]> = {};
    for (const [incarnation, limit] of this.limits) {
      if (!isSelected(limit)) continue;
      const {perSecond, observedAt} = limit;
      table[incarnation] = [perSecond ?? null, Math.round(now - observedAt)];
    }
    return table;
  }
}
