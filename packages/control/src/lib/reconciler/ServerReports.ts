import type {
  ReportedServer,
  ServerReport,
  ServerReportResponse,
} from '@sycamorehead/schema';

/** Silence after which an entry's reports expire, in milliseconds. */
const EXPIRY_MS = 10_000;
const MAX_ENTRIES = 4_096;
const MAX_SERVERS = 20_000;

interface EntryReports {
  receivedAt: number;
  readonly servers: Map<string, ReportedServer>;
  loads: ServerReport['loads'];
}

/**
 * The entries' reports to this leader. They are in memory only: a new leader requests full reports.
 *
 * @internal
 */
export class ServerReports {
  private readonly entries = new Map<string, EntryReports>();

  // Commands.

  /** Records a report; requests a full report from an unknown entry. */
  receive(report: ServerReport): ServerReportResponse {
    const before = this.entries.get(report.entry);
    if (!before && !report.full) return {needsFull: true};
    if (!before && this.entries.size >= MAX_ENTRIES) return {needsFull: true};
    const servers =
      before && !report.full
        ? before.servers
        : new Map<string, ReportedServer>();
    for (const id of report.dropped) servers.delete(id);
    for (const server of report.servers) {
      if (servers.size < MAX_SERVERS) servers.set(server.id, server);
    }
    const receivedAt = performance.now();
    this.entries.set(report.entry, {
      receivedAt,
      servers,
      loads: report.loads,
    });
    return {needsFull: false};
  }

  /** Removes the entries whose reports have expired. */
  expire(): void {
    const oldest = performance.now() - EXPIRY_MS;
    for (const [entry, {receivedAt}] of this.entries) {
      if (receivedAt < oldest) this.entries.delete(entry);
    }
  }

  /** Removes all reports. */
  clear(): void {
    this.entries.clear();
  }

  // Queries.

  /**
   * Lists each engine as in its newest report; an engine is alive if any entry reports that it is.
   */
  listServers(): ReportedServer[] {
    const merged = new Map<string, ReportedServer>();
    for (const {servers} of this.entries.values()) {
      for (const server of servers.values()) {
        const before = merged.get(server.id);
        merged.set(server.id, before ? mergeReports(before, server) : server);
      }
    }
    return [...merged.values()];
  }

  /** Returns the fraction of a version's slots that are busy; above 1 if requests are queued. */
  getUtilization(versionKey: string): number {
    let busy = 0;
    let slots = 0;
    for (const {loads} of this.entries.values()) {
      busy += loads[versionKey]?.busy ?? 0;
      slots += loads[versionKey]?.slots ?? 0;
    }
    return slots > 0 ? busy / slots : 0;
  }
}

function mergeReports(
  left: ReportedServer,
  right: ReportedServer,
): ReportedServer {
  const order =
    left.generation - right.generation || left.sequence - right.sequence;
  const newer = order >= 0 ? left : right;
  const alive =
    left.generation === right.generation
      ? left.alive || right.alive
      : newer.alive;
  return {...newer, alive};
}
