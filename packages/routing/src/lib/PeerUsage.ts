import {CustomerRates, NO_RATES} from './CustomerMeter.js';
import type {SpeedMeasurement} from './ServerSpeeds.js';

/** Age after which a peer's report no longer counts, in milliseconds. */
const EXPIRY_MS = 1_000;
const MAX_PEERS = 2_000;
/** The longest time for which an index of the reports is reused, in milliseconds. */
const MAX_INDEX_AGE_MS = 100;

/** The usage of one server that an entry reports to its peers. @public */
export interface ServerUsage {
  readonly server: string;
  readonly count: number;
  readonly long: number;
  /** The entry's own fresh measurement of the server's time between tokens, if any. */
  readonly speed?: SpeedMeasurement;
}

/** The rates of one customer that an entry reports to its peers. @public */
export interface CustomerUsage extends CustomerRates {
  readonly customer: string;
}

/** The usage that an entry reports to its peers; each report replaces the previous one. @public */
export interface UsageReport {
  readonly entry: string;
  readonly sequence: number;
  /** Requests that wait for admission, by class. */
  readonly queued: {readonly short: number; readonly long: number};
  readonly servers: readonly ServerUsage[];
  readonly customers: readonly CustomerUsage[];
}

interface UsageIndex {
  readonly reports: readonly UsageReport[];
  readonly servers: ReadonlyMap<string, readonly ServerUsage[]>;
  readonly customers: ReadonlyMap<string, CustomerRates>;
  readonly validUntil: number;
}

/**
 * Stores the newest usage report of each peer.
 *
 * @public
 */
export class PeerUsage {
  private readonly reports = new Map<
    string,
    {report: UsageReport; receivedAt: number}
  >();
  private index: UsageIndex | undefined;

  // Commands.

  /**
   * Stores a peer's report unless it is older than the stored one. The sequence of a restarted
   * peer begins again at a low number, which is accepted once the stored report has expired.
   */
  receive(report: UsageReport): void {
    const before = this.reports.get(report.entry);
    const now = performance.now();
    const isOld =
      before !== undefined &&
      before.report.sequence >= report.sequence &&
      now - before.receivedAt < EXPIRY_MS;
    if (isOld) return;
    if (!before && this.reports.size >= MAX_PEERS) return;
    this.reports.set(report.entry, {report, receivedAt: now});
    this.index = undefined;
  }

  // Queries.

  /** Lists the reports that have not expired. */
  listFreshReports(): readonly UsageReport[] {
    return this.readIndex().reports;
  }

  /** Sums the peers' unfinished work on a server. */
  sumWork(server: string): {count: number; long: number} {
    const total = {count: 0, long: 0};
    for (const usage of this.readIndex().servers.get(server) ?? []) {
      total.count += usage.count;
      total.long += usage.long;
    }
    return total;
  }

  /** Lists the peers' measurements of a server. */
  listSpeedMeasurements(server: string): SpeedMeasurement[] {
    return (this.readIndex().servers.get(server) ?? [])
      .map(({speed}) => speed)
      .filter(speed => speed !== undefined);
  }

  /** Sums the peers' rates of a customer. */
  sumCustomerRates(customer: string): CustomerRates {
    return this.readIndex().customers.get(customer) ?? NO_RATES;
  }

  /**
   * Returns the reports indexed by server and customer. The index is rebuilt after each new
   * report and once a report may have expired.
   */
  private readIndex(): UsageIndex {
    const now = performance.now();
    if (this.index && now < this.index.validUntil) return this.index;
    for (const [entry, {receivedAt}] of this.reports) {
      if (receivedAt < now - EXPIRY_MS) this.reports.delete(entry);
    }
    const reports = [...this.reports.values()].map(({report}) => report);
    this.index = buildIndex(reports, now + MAX_INDEX_AGE_MS);
    return this.index;
  }
}

function buildIndex(
  reports: readonly UsageReport[],
  validUntil: number,
): UsageIndex {
  const servers = new Map<string, ServerUsage[]>();
  const customers = new Map<string, CustomerRates>();
  for (const report of reports) {
    for (const usage of report.servers) {
      const listed = servers.get(usage.server) ?? [];
      listed.push(usage);
      servers.set(usage.server, listed);
    }
    for (const {customer, requests, tokens, units} of report.customers) {
      const sum = customers.get(customer) ?? NO_RATES;
      customers.set(customer, {
        requests: sum.requests + requests,
        tokens: sum.tokens + tokens,
        units: sum.units + units,
      });
    }
  }
  return {reports, servers, customers, validUntil};
}
