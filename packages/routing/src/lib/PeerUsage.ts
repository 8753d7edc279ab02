import {CustomerRates, NO_RATES} from './CustomerMeter.js';
import type {SpeedMeasurement} from './ServerSpeeds.js';

/** Age after which a peer's report no longer counts, in milliseconds. */
const EXPIRY_MS = 1_000;
const MAX_PEERS = 2_000;
/** Time for which an index of the reports is kept, in milliseconds. */
const INDEX_MS = 100;

/** What one entry tells its peers of one server. @public */
export interface ServerUsage {
  readonly server: string;
  readonly count: number;
  readonly long: number;
  /** Own fresh measurement of its time between tokens, where there is one. */
  readonly speed?: SpeedMeasurement;
}

/** What one entry tells its peers of one customer. @public */
export interface CustomerUsage extends CustomerRates {
  readonly customer: string;
}

/** What one entry tells its peers; each report replaces the one before. @public */
export interface UsageReport {
  readonly entry: string;
  readonly sequence: number;
  /** Requests that wait for leave to run, by class. */
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
 * The newest usage report of each peer.
 *
 * @public
 */
export class PeerUsage {
  private readonly reports = new Map<
    string,
    {report: UsageReport; heardAt: number}
  >();
  private index: UsageIndex | undefined;

  // Commands.

  /** Takes a peer's report. Reports of a restarted peer begin at a low sequence again. */
  receive(report: UsageReport): void {
    const before = this.reports.get(report.entry);
    const now = performance.now();
    const isOld =
      before !== undefined &&
      before.report.sequence >= report.sequence &&
      now - before.heardAt < EXPIRY_MS;
    if (isOld) return;
    if (!before && this.reports.size >= MAX_PEERS) return;
    this.reports.set(report.entry, {report, heardAt: now});
    this.index = undefined;
  }

  // Queries.

  /** Lists the reports that still count. */
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

  /** The reports by server and customer, built anew once one came or may have expired. */
  private readIndex(): UsageIndex {
    const now = performance.now();
    if (this.index && now < this.index.validUntil) return this.index;
    for (const [entry, {heardAt}] of this.reports) {
      if (heardAt < now - EXPIRY_MS) this.reports.delete(entry);
    }
    const reports = [...this.reports.values()].map(({report}) => report);
    this.index = buildIndex(reports, now + INDEX_MS);
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
