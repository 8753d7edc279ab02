import type {RolloutEvidence} from '@sycamorehead/schema';
import {
  DemandTable,
  PrefillSumTable,
  PrefillSums,
  addPrefillSums,
  buildPrefillSums,
  computeOthersDemand,
  computeOthersWaiting,
  sumDemand,
} from '@sycamorehead/routing';
import {writeDecision} from '@sycamorehead/telemetry';
import {completeReport} from './completeReport.js';
import {MAX_INTERVAL_MS} from './computeDigestInterval.js';
import {countAllEntries, countMutual, listHeard} from './entryCensus.js';
import type {
  ExchangeReply,
  ExchangeRequest,
  LoadDigest,
  LoadTable,
} from './fleetMessages.js';
import {RouteEvidence, groupByRoute, mergeEvidence} from './rolloutEvidence.js';
import {
  BRIEF_NUMBERS,
  LoadSums,
  ToldLoad,
  addLoad,
  buildLoadTable,
  computeOthersLoad,
} from './serverLoad.js';

/** Age above which a report or a digest is ignored, in milliseconds. */
const LOAD_EXPIRY_MS = 1_500;
/** Age above which an entry is removed with its evidence, in milliseconds. */
const ENTRY_EXPIRY_MS = 60_000;
/** Time for which totals over all reports are reused, in milliseconds. */
const TOTALS_MS = 50;
/** Time for which the most entries that were known count at least, in milliseconds. */
const PEAK_MS = 15_000;
/** Time for which digests name an entry that has begun to report here, in milliseconds. */
const ARRIVAL_MS = 2_000;

/** Maximum number of kept sessions in a digest or a reply, which has to fit into a frame. */
const MAX_KEPT = 20_000;

/** Time in which the other instances learn of an entry that has begun to report here, in milliseconds. */
const SETTLING_MS = MAX_INTERVAL_MS + 100;
/** The same where some of them learn of it from others only. */
const INDIRECT_SETTLING_MS = 2 * MAX_INTERVAL_MS + 100;

interface EntryUsage {
  readonly request: ExchangeRequest;
  /** The load of its last whole report, if a brief one has followed. */
  readonly fullLoad: LoadTable | undefined;
  /** When its last whole report came; never, if a brief one came that could not be completed. */
  readonly wholeAt: number;
  readonly receivedAt: number;
  readonly arrivedAt: number;
}

interface ReceivedDigest {
  readonly digest: LoadDigest;
  readonly receivedAt: number;
}

interface Totals {
  readonly computedAt: number;
  readonly load: LoadSums;
  readonly entries: number;
  readonly leaving: readonly string[];
  readonly kept: readonly string[];
  readonly prefill: PrefillSumTable;
  readonly demand: DemandTable;
  /** The reports that the totals contain. */
  readonly included: ReadonlyMap<string, EntryUsage>;
  /** The number of these that the other instances know. */
  readonly settled: number;
  /** The entries of all instances, also of those that only others hear. */
  readonly allEntries: number;
  /** The instances that hear this one and are heard by it, including itself. */
  readonly mutual: number;
}

/**
 * Aggregates the load on backend servers and the evidence on roll-outs. Each control instance sums
 * the reports of its own entries and exchanges the sums with the other instances, so that the work
 * of an exchange does not grow with the number of entries. The loss of an instance costs only
 * freshness: its entries report to another one, which names them to the others.
 *
 * @public
 */
export class LoadExchange {
  private readonly entries = new Map<string, EntryUsage>();
  private readonly digests = new Map<string, ReceivedDigest>();
  private totals: Totals | undefined;
  /** The most entries that were known, in this period and the one before it. */
  private peaks = {current: 0, previous: 0, startedAt: performance.now()};

  constructor(
    private readonly instance: string,
    /** Returns the number of known control instances, including this one. */
    private readonly countControls: () => number,
  ) {}

  // Commands.

  /** Records one entry's report and returns the load of the other entries. */
  exchange(received: ExchangeRequest): ExchangeReply {
    const now = performance.now();
    const {entry} = received;
    const last = this.entries.get(entry);
    const isPresent = last && now - last.receivedAt <= LOAD_EXPIRY_MS;
    const arrivedAt = isPresent ? last.arrivedAt : now;
    // Without a report to complete it by, the reply is a whole one, and asks for one.
    const isBrief =
      received.isBrief === true &&
      isPresent === true &&
      now - last.wholeAt <= LOAD_EXPIRY_MS;
    const wholeAt = received.isBrief ? -Infinity : now;
    const usage: EntryUsage = {
      request: isBrief ? completeReport(received, last.request) : received,
      fullLoad: isBrief ? (last.fullLoad ?? last.request.load) : undefined,
      wholeAt: isBrief ? last.wholeAt : wholeAt,
      receivedAt: now,
      arrivedAt,
    };
    this.entries.set(entry, usage);
    const {entries, leaving, kept, included} = this.getTotals();
    const own = included.get(entry);
    return {
      entries: included.has(entry) ? entries : entries + 1,
      leaving,
      kept,
      ...(isBrief ? this.describeBriefly(own) : this.describeOthers(own)),
      takesBrief: isBrief || received.isBrief !== true,
      isIsolated: this.isIsolated(),
    };
  }

  /** Records the sums of another control instance, and forgets the entries that report there now. */
  acceptDigest(digest: LoadDigest): void {
    this.digests.set(digest.instance, {
      digest,
      receivedAt: performance.now(),
    });
    for (const entry of digest.arrived) {
      if (!this.entries.delete(entry)) continue;
      writeDecision('entry_moved', {entry, control: digest.instance});
    }
  }

  // Queries.

  /** Sums the reports of the entries that report to this instance. */
  describeDigest(): LoadDigest {
    const now = performance.now();
    const usages = this.listFresh();
    const sums = sumReports(usages, []);
    return {
      ...sums,
      load: buildLoadTable(sums.load),
      instance: this.instance,
      entries: usages.length,
      heard: listHeard(this.listFreshDigests()),
      evidence: this.mergeOwnEvidence(),
      arrived: usages
        .filter(({arrivedAt}) => now - arrivedAt < ARRIVAL_MS)
        .map(({request}) => request.entry),
    };
  }

  /** Counts the entries that have reported recently, to any instance. */
  countEntries(): number {
    return this.getTotals().entries;
  }

  /**
   * Computes the fraction of all entries that report to this instance; 0 if too few other instances are
   * heard to know all entries.
   */
  computeShare(): number {
    const {allEntries, included} = this.getTotals();
    if (this.isIsolated() || allEntries === 0) return 0;
    return included.size / allEntries;
  }

  /**
   * Computes a fraction like `computeShare` of which the sum over all instances is at most one, whichever of
   * them hear each other. It is relative to the most entries that were known of late, since what others tell
   * may come late; 0 if this instance and most others do not hear each other.
   */
  computeFirmShare(): number {
    const {allEntries, settled, mutual} = this.getTotals();
    const {current, previous} = this.peaks;
    if (mutual * 2 <= this.countControls()) return 0;
    const most = Math.max(allEntries, current, previous);
    return most === 0 ? 0 : settled / most;
  }

  /** Counts the requests of all entries in flight on the given backend servers. */
  countInFlight(ids: ReadonlySet<string>): number {
    let total = 0;
    const {load} = this.getTotals();
    for (const id of ids) total += load.get(id)?.[0] ?? 0;
    return total;
  }

  /** Sums the evidence of one roll-out by route. */
  listEvidence(service: string, number: number): RouteEvidence[] {
    const digests = this.listFreshDigests();
    const lists = [
      this.mergeOwnEvidence(),
      ...digests.map(({evidence}) => evidence),
    ];
    return groupByRoute(lists.flat(), service, number);
  }

  /** Describes what the other entries have reported. */
  private describeOthers(own: EntryUsage | undefined) {
    const {load, prefill, demand} = this.getTotals();
    const request = own?.request;
    return {
      load: computeOthersLoad(load, describeLoad(own)),
      prefill: computeOthersPrefill(prefill, request?.prefill ?? {}),
      demand: computeOthersDemand(demand, request?.demand ?? {}),
    };
  }

  /** Describes of what the other entries have reported what changes within moments. */
  private describeBriefly(own: EntryUsage | undefined) {
    const {load, demand} = this.getTotals();
    return {
      load: computeOthersLoad(load, describeLoad(own), BRIEF_NUMBERS),
      waiting: computeOthersWaiting(demand, own?.request.demand ?? {}),
      isBrief: true,
    };
  }

  /** Returns whether too few other instances are heard for the sums to be complete. */
  private isIsolated(): boolean {
    const heard = this.listFreshDigests().length + 1;
    return heard * 2 <= this.countControls();
  }

  /** Sums the evidence of the entries that report here, also of those that pause. */
  private mergeOwnEvidence(): RolloutEvidence[] {
    return mergeEvidence(
      [...this.entries.values()].flatMap(({request}) => request.evidence),
    );
  }

  private getTotals(): Totals {
    const now = performance.now();
    if (this.totals && now - this.totals.computedAt < TOTALS_MS) {
      return this.totals;
    }
    this.expireEntries(now);
    const usages = this.listFresh();
    const digests = this.listFreshDigests();
    const mutual = countMutual(this.instance, digests);
    this.totals = {
      ...sumReports(usages, digests),
      computedAt: now,
      entries: digests.reduce((sum, {entries}) => sum + entries, usages.length),
      included: new Map(usages.map(usage => [usage.request.entry, usage])),
      settled: this.countSettled(now, mutual),
      mutual,
      allEntries: countAllEntries(this.instance, usages.length, digests),
    };
    this.updatePeaks(this.totals.allEntries);
    return this.totals;
  }

  /** Counts the entries that report here for so long that the other instances count them too. */
  private countSettled(now: number, mutual: number): number {
    const isDirect = mutual >= this.countControls();
    const latest = now - (isDirect ? SETTLING_MS : INDIRECT_SETTLING_MS);
    return this.listFresh().filter(({arrivedAt}) => arrivedAt <= latest).length;
  }

  private updatePeaks(entries: number): void {
    const now = performance.now();
    const {current, startedAt} = this.peaks;
    if (now - startedAt > PEAK_MS) {
      this.peaks = {current: entries, previous: current, startedAt: now};
    }
    this.peaks.current = Math.max(this.peaks.current, entries);
  }

  private listFresh(): EntryUsage[] {
    const oldest = performance.now() - LOAD_EXPIRY_MS;
    return [...this.entries.values()].filter(
      ({receivedAt}) => receivedAt >= oldest,
    );
  }

  private listFreshDigests(): LoadDigest[] {
    const oldest = performance.now() - LOAD_EXPIRY_MS;
    return [...this.digests.values()]
      .filter(({receivedAt}) => receivedAt >= oldest)
      .map(({digest}) => digest);
  }

  private expireEntries(now: number): void {
    const oldest = now - ENTRY_EXPIRY_MS;
    for (const [entry, {receivedAt}] of this.entries) {
      if (receivedAt < oldest) this.entries.delete(entry);
    }
    for (const [instance, {receivedAt}] of this.digests) {
      if (receivedAt < oldest) this.digests.delete(instance);
    }
  }
}

/** What the reports of entries and the digests of control instances have in common. */
type Report = Pick<ExchangeRequest, 'leaving' | 'kept' | 'prefill' | 'demand'>;

/** Returns what an entry has told of its load; nothing if it is not known. */
function describeLoad(usage: EntryUsage | undefined): ToldLoad {
  return {load: usage?.request.load ?? {}, fullLoad: usage?.fullLoad};
}

/** Sums the reports of entries and the digests of other instances. */
function sumReports(
  usages: readonly EntryUsage[],
  digests: readonly LoadDigest[],
): Required<Report> & {readonly load: LoadSums} {
  const load: LoadSums = new Map();
  const prefill: Record<string, PrefillSums> = {};
  const leaving = new Set<string>();
  const kept = new Set<string>();
  for (const usage of usages) addLoad(load, describeLoad(usage));
  for (const digest of digests) addLoad(load, digest);
  const reports: readonly Report[] = [
    ...usages.map(({request}) => request),
    ...digests,
  ];
  for (const report of reports) {
    addPrefill(prefill, report.prefill ?? {});
    for (const key of report.leaving ?? []) leaving.add(key);
    for (const key of report.kept ?? []) {
      if (kept.size < MAX_KEPT) kept.add(key);
    }
  }
  return {
    load,
    prefill,
    leaving: [...leaving],
    kept: [...kept],
    demand: sumDemand(reports.map(({demand = {}}) => demand)),
  };
}

function addPrefill(
  sum: Record<string, PrefillSums>,
  table: PrefillSumTable,
): void {
  for (const [model, sums] of Object.entries(table)) {
    addPrefillSums((sum[model] ??= buildPrefillSums()), sums);
  }
}

/** Returns the measurements without a part of them. */
function computeOthersPrefill(
  total: PrefillSumTable,
  part: PrefillSumTable,
): PrefillSumTable {
  const rest: Record<string, PrefillSums> = {};
  for (const [model, sums] of Object.entries(total)) {
    const own = part[model] ?? buildPrefillSums();
    rest[model] = {
      weight: Math.max(0, sums.weight - own.weight),
      tokens: Math.max(0, sums.tokens - own.tokens),
      timeMs: Math.max(0, sums.timeMs - own.timeMs),
      tokensSquared: Math.max(0, sums.tokensSquared - own.tokensSquared),
      product: Math.max(0, sums.product - own.product),
    };
  }
  return rest;
}
