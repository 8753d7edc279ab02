import {PermitBucket} from '@sycamorehead/routing';
import {ServerWarmup, getOrCreate} from '@sycamorehead/schema';
import {COLD_BURST_MS, ColdBound, computeColdRate} from './computeColdRate.js';
import type {ColdReply, ColdReport, PermitTable} from './fleetMessages.js';

/** Maximum number of buckets; the oldest are removed first. */
const MAX_BUCKETS = 2_000;
/** Maximum number of incarnations of one report that are looked at. */
const MAX_WANTED = 500;

/** Settings of a ColdPermitPool. @public */
export interface ColdPermitPoolOptions {
  readonly bound: ColdBound;
  /** Returns what an incarnation of a server bears while it is cold; undefined if it is not known. */
  findWarmup(incarnation: string): ServerWarmup | undefined;
  /** Returns the fraction of all entries that report to this instance; 0 if it is not known. */
  computeShare(): number;
  /** Returns the number of known control instances, including this one. */
  countControls(): number;
  /** Called with the permits of a report, and how many of them are granted. */
  onGrant(wanted: number, granted: number): void;
}

/**
 * Grants the sends to cold servers, in each control instance: when many return together, all entries
 * would choose them at the same time. A permit that is lost on its way is not used.
 *
 * @public
 */
export class ColdPermitPool {
  private readonly buckets = new Map<string, PermitBucket>();

  constructor(private readonly options: ColdPermitPoolOptions) {}

  /** Grants an entry some of the permits that it wants. */
  exchange({coldWanted}: ColdReport): ColdReply {
    if (!coldWanted) return {};
    const share = this.options.computeShare();
    const permits: Record<string, number> = {};
    if (share <= 0) return {coldPermits: permits};
    for (const [key, count] of listWanted(coldWanted)) {
      const granted = this.takePermits(key, count, share);
      if (granted > 0) permits[key] = granted;
      this.options.onGrant(count, granted);
    }
    return {coldPermits: permits};
  }

  private takePermits(key: string, count: number, share: number): number {
    const {bound, findWarmup, countControls} = this.options;
    const warmup = findWarmup(key);
    if (!warmup) return 0;
    const rate = computeColdRate(warmup.perSecond, bound, countControls());
    return this.getBucket(key).take(count, rate * share);
  }

  private getBucket(key: string): PermitBucket {
    return getOrCreate(
      this.buckets,
      key,
      MAX_BUCKETS,
      () => new PermitBucket(COLD_BURST_MS),
    );
  }
}

/** Lists what a report wants; it may come from a faulty process. */
function listWanted(wanted: PermitTable): Array<readonly [string, number]> {
  return Object.entries(wanted)
    .slice(0, MAX_WANTED)
    .filter(([, count]) => Number.isSafeInteger(count) && count > 0);
}
