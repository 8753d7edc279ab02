import {
  LimitTable,
  ObservedLimit,
  ObservedLimits,
  PermitBucket,
  computeSendRate,
} from '@sycamorehead/routing';
import {getOrCreate} from '@sycamorehead/schema';
import type {
  LimitReply,
  LimitReport,
  LimitDigest,
  PermitTable,
} from './fleetMessages.js';

/** Age above which an observation is removed unless an entry repeats it, in milliseconds. */
const OBSERVATION_EXPIRY_MS = 60_000;
/** Age up to which it is told that a server no longer names a limit, in milliseconds. */
const LIFTED_MS = 10_000;
/** Maximum number of buckets; the oldest are removed first. */
const MAX_BUCKETS = 2_000;

/**
 * Pools the limits that backend servers name, in each control instance, and grants the sends to these
 * servers ahead, a few at a time. A permit that is lost on its way is not used, so that neither loss nor
 * repetition exceeds a limit.
 *
 * @public
 */
export class LimitPool {
  /** Observations of the entries that report to this instance. */
  private readonly own = new ObservedLimits();
  /** Observations that other control instances have passed on; they are not passed on again. */
  private readonly others = new ObservedLimits();
  private readonly buckets = new Map<string, PermitBucket>();

  constructor(
    /** Returns the fraction of all entries that report to this instance; 0 if it is not known. */
    private readonly computeShare: () => number,
  ) {}

  // Commands.

  /** Adds an entry's report and returns the known limits and the permits that it is granted. */
  exchange({limits = {}, hearsay = {}, wanted = {}}: LimitReport): LimitReply {
    this.own.addTable(limits);
    this.own.addTable(this.selectUnknown(hearsay));
    const permits = this.issuePermits(wanted);
    return this.isEmpty ? {permits} : {limits: this.buildTable(), permits};
  }

  /** Adds what another control instance has learned from its entries. */
  acceptDigest({limits = {}}: LimitDigest): void {
    this.others.addTable(limits);
  }

  // Queries.

  /** Describes what the entries that report to this instance have observed. */
  describeDigest(): LimitDigest {
    return this.own.isEmpty ? {} : {limits: this.own.buildTable()};
  }

  /** Builds a table of the newest limits that any entry has observed. */
  buildTable(): LimitTable {
    this.own.expire(OBSERVATION_EXPIRY_MS);
    this.others.expire(OBSERVATION_EXPIRY_MS);
    const newest = new ObservedLimits();
    const oldestLifted = performance.now() - LIFTED_MS;
    for (const [key, limit] of [...this.own.list(), ...this.others.list()]) {
      newest.record(key, limit);
    }
    const isTold = ({perSecond, observedAt}: ObservedLimit) =>
      perSecond !== undefined || observedAt >= oldestLifted;
    return newest.buildTable(isTold);
  }

  /** Selects what an instance that has restarted can only learn from entries that were told of it. */
  private selectUnknown(hearsay: LimitTable): LimitTable {
    return Object.fromEntries(
      Object.entries(hearsay).filter(([key]) => !this.find(key)),
    );
  }

  private issuePermits(wanted: PermitTable): PermitTable {
    const share = this.computeShare();
    const permits: Record<string, number> = {};
    for (const [key, count] of Object.entries(wanted)) {
      const perSecond = this.find(key)?.perSecond;
      if (perSecond === undefined) continue;
      const rate = computeSendRate(perSecond) * share;
      const granted = this.getBucket(key).take(count, rate);
      if (granted > 0) permits[key] = granted;
    }
    return permits;
  }

  private get isEmpty(): boolean {
    return this.own.isEmpty && this.others.isEmpty;
  }

  private find(key: string): ObservedLimit | undefined {
    const own = this.own.find(key);
    const other = this.others.find(key);
    if (!own || !other) return own ?? other;
    return own.observedAt >= other.observedAt ? own : other;
  }

  private getBucket(key: string): PermitBucket {
    return getOrCreate(
      this.buckets,
      key,
      MAX_BUCKETS,
      () => new PermitBucket(),
    );
  }
}
