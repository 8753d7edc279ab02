import type {
  ReportedServer,
  ServerReport,
  ServerReportResponse,
} from '@sycamorehead/schema';

/** Silence after which an entry's reports no longer count, in milliseconds. */
const EXPIRY_MS = 10_000;
const MAX_ENTRIES = 4_096;
const MAX_SERVERS = 20_000;

interface EntryReports {
  heardAt: number;
  readonly servers: Map<string, ReportedServer>;
  loads: ServerReport['loads'];
}

/**
 * What the entries have reported to this leader. Lives in memory only: a new leader asks for
 * full reports.
 *
 * @internal
 */
export class ServerReports {
  private readonly entries = new Map<string, EntryReports>();

  // Commands.

  /** Takes a report. */
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
    const heardAt = performance.now();
    this.entries.set(report.entry, {heardAt, servers, loads: report.loads});
    return {needsFull: false};
  }

  /** Forgets the entries that have been silent for long. */
  expire(): void {
    const oldest = performance.now() - EXPIRY_MS;
    for (const [entry, {heardAt}] of this.entries) {
      if (heardAt < oldest) this.entries.delete(entry);
    }
  }

  /** Forgets everything. */
  clear(): void {
    this.entries.clear();
  }

  // Queries.

  /** Lists the engines; the newest report of each counts, and a sign of life at any entry. */
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

  /** Returns the share of a version's slots that is busy; may exceed 1 by what is queued. */
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
