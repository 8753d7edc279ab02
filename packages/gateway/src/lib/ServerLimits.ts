import type {
  ExchangeReply,
  LimitReport,
  PermitTable,
} from '@sycamorehead/fleet';
import {
  LimitTable,
  ObservedLimit,
  ObservedLimits,
  RateLimitNotice,
  SendPermits,
  computeSendRate,
  decodeLimitTable,
} from '@sycamorehead/routing';
import {
  ServerRegistration,
  buildIncarnationKey,
  evictOldest,
  getOrCreate,
} from '@sycamorehead/schema';
import {LogFields, writeDecision} from '@sycamorehead/telemetry';
import {LineIntervals} from './LineIntervals.js';

/** Maximum number of incarnations with permits or log times. */
const MAX_INCARNATIONS = 2_000;
/** Age up to which this entry reports what a server told it, in milliseconds. */
const REPORT_MS = 3_000;
/** Time without a grant of any control instance after which sends are paced, in milliseconds. */
const UNGRANTED_MS = 1_000;
/**
 * Fraction of its equal share that an entry without a control instance uses; the others may be granted
 * the whole limit.
 */
const UNGRANTED_FRACTION = 0.5;
/** Age of what is known of a limit above which the next permit is used to hear of it, in milliseconds. */
const CHECK_MS = 500;
/** Time for which a server that has lifted its limit returns gradually, in milliseconds. */
const RETURN_MS = 2_000;
/** Maximum number of permits that are wanted of one server at a time. */
const MAX_WANTED = 50;
const MS_PER_SECOND = 1_000;

type Incarnation = Pick<ServerRegistration, 'id' | 'startedAtMs'>;

/**
 * The limits that backend servers name in their answers, and the sends to such servers that this
 * entry may make. A limit holds for all entries together: control instances grant the sends ahead.
 * An entry that gets no grants paces its sends at a part of its share.
 *
 * @public
 */
export class ServerLimits {
  /** The newest observation of any entry. */
  private readonly known = new ObservedLimits();
  /** Incarnations whose newest observation is this entry's own. */
  private readonly ownKeys = new Set<string>();
  private readonly permits = new Map<string, SendPermits>();
  /** Requests since the last report, by service. */
  private readonly demand = new Map<string, number>();
  /** When this entry last sent to an incarnation with a limit, on the monotonic clock. */
  private readonly sentAt = new Map<string, number>();
  private readonly lines = new LineIntervals(MAX_INCARNATIONS);
  /** Incarnations in the last reply. */
  private repliedKeys: ReadonlySet<string> = new Set();
  /** When an exchange that was granted permits began, on the monotonic clock. */
  private grantedAt = performance.now();
  private entries = 1;

  // Commands.

  /** Records what an answer to a request that was sent at a time says of the limit of its server. */
  record(server: Incarnation, notice: RateLimitNotice, sentAt: number): void {
    const key = buildIncarnationKey(server);
    if (notice.type === 'malformed') {
      this.logChange(key, {malformed: notice.text});
      return;
    }
    if (notice.type === 'none' && !this.isLimited(server)) return;
    const limit: ObservedLimit =
      notice.type === 'named'
        ? {perSecond: notice.perSecond, observedAt: performance.now()}
        : // Answers may overtake each other; this one was written after the request was sent.
          {perSecond: undefined, observedAt: sentAt};
    if (this.update(key, limit, true)) this.ownKeys.add(key);
  }

  /** Records that a request for a service has been received. */
  recordDemand(service: string): void {
    this.demand.set(service, (this.demand.get(service) ?? 0) + 1);
  }

  /** Records what other entries have observed. */
  addTable(table: LimitTable): void {
    for (const [key, limit] of decodeLimitTable(table)) {
      if (this.update(key, limit, false)) this.ownKeys.delete(key);
    }
  }

  /** Applies the reply to a report that was sent at a time. */
  applyReply(
    {limits = {}, permits, entries, isIsolated}: ExchangeReply,
    sentAt: number,
  ): void {
    this.addTable(limits);
    this.entries = Math.max(1, entries);
    this.repliedKeys = new Set(Object.keys(limits));
    if (!permits || isIsolated) return;
    this.grantedAt = Math.max(this.grantedAt, sentAt);
    for (const [key, count] of Object.entries(permits)) {
      this.getPermits(key).add(count, sentAt);
    }
  }

  /** Drops the permits that have expired, and starts to pace sends if no control instance grants any. */
  advance(server: Incarnation): void {
    const perSecond = this.getPerSecond(server);
    if (perSecond === undefined) return;
    const permits = this.getPermits(buildIncarnationKey(server));
    permits.advance(this.computePaceMs(perSecond));
  }

  /** Uses a permit for a send to a server; does nothing if the server has no limit. */
  takePermit(server: Incarnation): void {
    const key = buildIncarnationKey(server);
    const perSecond = this.getPerSecond(server);
    if (perSecond === undefined) return;
    this.getPermits(key).take(this.computePaceMs(perSecond));
    this.sentAt.delete(key);
    this.sentAt.set(key, performance.now());
    evictOldest(this.sentAt, MAX_INCARNATIONS);
  }

  /** Removes an incarnation that is no longer listed. */
  remove(server: Incarnation): void {
    const key = buildIncarnationKey(server);
    this.known.remove(key);
    this.ownKeys.delete(key);
    this.permits.delete(key);
    this.sentAt.delete(key);
  }

  /**
   * Builds the report of what this entry has observed and wants. Waiting requests are still wanted; the
   * others have been sent elsewhere, but similar ones will follow.
   */
  takeReport(
    servers: readonly ServerRegistration[],
    countWaiting: (service: string) => number,
  ): LimitReport {
    if (this.known.isEmpty) {
      this.demand.clear();
      return {};
    }
    const keys = new Set(servers.map(buildIncarnationKey));
    const limits: Record<string, LimitTable[string]> = {};
    const hearsay: Record<string, LimitTable[string]> = {};
    for (const [key, row] of Object.entries(this.known.buildTable())) {
      if (!keys.has(key)) continue;
      const [perSecond, ageMs] = row;
      const isMissing = perSecond !== null && !this.repliedKeys.has(key);
      const isOwn = this.ownKeys.has(key);
      if (isOwn && (isMissing || ageMs <= REPORT_MS)) limits[key] = row;
      if (!isOwn && isMissing) hearsay[key] = row;
    }
    const wanted = this.listWanted(servers, countWaiting);
    this.demand.clear();
    return {limits, hearsay, wanted};
  }

  // Queries.

  /** Returns the requests a second that a server accepts; undefined if it has no limit. */
  getPerSecond(server: Incarnation): number | undefined {
    return this.findLimit(server)?.perSecond;
  }

  /** Returns whether a server limits its requests. */
  isLimited(server: Incarnation): boolean {
    return this.getPerSecond(server) !== undefined;
  }

  /** Returns whether a request may be sent to a server now, as far as its limit is concerned. */
  isPermitted(server: Incarnation): boolean {
    return !this.isLimited(server) || this.hasPermit(server);
  }

  /**
   * Returns whether a server has a limit and this entry may send it a request now; sends are paced once
   * `advance` was called.
   */
  hasPermit(server: Incarnation): boolean {
    const perSecond = this.getPerSecond(server);
    if (perSecond === undefined) return false;
    const permits = this.permits.get(buildIncarnationKey(server));
    return permits?.isAvailable(this.computePaceMs(perSecond)) ?? false;
  }

  /**
   * Returns whether a server has a limit of which neither an answer nor another entry has told for a while.
   * Only an answer can tell that it was lifted.
   */
  isCheckDue(server: Incarnation): boolean {
    const limit = this.findLimit(server);
    if (limit?.perSecond === undefined) return false;
    const sentAt = this.sentAt.get(buildIncarnationKey(server)) ?? -Infinity;
    const oldest = performance.now() - CHECK_MS;
    return Math.max(limit.observedAt, sentAt) < oldest;
  }

  /** Returns whether a server has just lifted its limit; all entries learn of it together. */
  isReturning(server: Incarnation): boolean {
    const limit = this.findLimit(server);
    if (!limit || limit.perSecond !== undefined) return false;
    return performance.now() - limit.observedAt < RETURN_MS;
  }

  /** Computes what one of all entries may send to a server, in requests a second. */
  computeOwnRate(perSecond: number): number {
    return computeSendRate(perSecond) / this.entries;
  }

  private findLimit(server: Incarnation): ObservedLimit | undefined {
    // Each decision asks for all servers, and hardly ever has any of them a limit.
    if (this.known.isEmpty) return undefined;
    return this.known.find(buildIncarnationKey(server));
  }

  private update(
    key: string,
    limit: ObservedLimit,
    isFirstHand: boolean,
  ): boolean {
    const was = this.known.find(key);
    if (!this.known.record(key, limit)) return false;
    if (was?.perSecond === limit.perSecond) return true;
    this.logChange(key, {
      per_second: limit.perSecond,
      was: was?.perSecond,
      age_ms: Math.round(performance.now() - limit.observedAt),
      first: isFirstHand,
    });
    return true;
  }

  /** Returns the time between two sends without grants, in ms; undefined while there are grants. */
  private computePaceMs(perSecond: number): number | undefined {
    if (performance.now() - this.grantedAt < UNGRANTED_MS) return undefined;
    const rate = this.computeOwnRate(perSecond) * UNGRANTED_FRACTION;
    return MS_PER_SECOND / rate;
  }

  private listWanted(
    servers: readonly ServerRegistration[],
    countWaiting: (service: string) => number,
  ): PermitTable {
    const wanted: Record<string, number> = {};
    for (const server of servers) {
      const {service} = server;
      const perSecond = this.getPerSecond(server);
      if (perSecond === undefined) continue;
      const key = buildIncarnationKey(server);
      const permits = this.getPermits(key);
      permits.advance(this.computePaceMs(perSecond));
      const requests = (this.demand.get(service) ?? 0) + countWaiting(service);
      const missing = requests - permits.countGranted();
      if (missing > 0) wanted[key] = Math.min(MAX_WANTED, missing);
    }
    return wanted;
  }

  private getPermits(key: string): SendPermits {
    return getOrCreate(
      this.permits,
      key,
      MAX_INCARNATIONS,
      () => new SendPermits(),
    );
  }

  private logChange(incarnation: string, fields: LogFields): void {
    if (!this.lines.admit(incarnation)) return;
    writeDecision('server_limit', {incarnation, ...fields});
  }
}
