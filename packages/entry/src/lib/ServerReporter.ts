import type {
  PlacementApi,
  ReportedServer,
  VersionLoad,
} from '@sycamorehead/schema';
import {formatVersionKey} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import type {
  BackendServerDirectory,
  KnownServer,
} from '@sycamorehead/membership';

const log = createLogger('entry');

const REPORT_INTERVAL_MS = 2_000;
/** Interval of checks for changed server facts, which are reported at once, in milliseconds. */
const WATCH_INTERVAL_MS = 200;

/**
 * Reports the engines that this entry tracks, and the load of each version, to control. A new
 * leader first receives all engines, then only the changed ones.
 *
 * @internal
 */
export class ServerReporter {
  /** Last report of each server that the leader has received, as JSON by server id. */
  private reported = new Map<string, string>();
  private needsFull = true;
  private isStopped = false;

  constructor(
    private readonly entry: string,
    private readonly directory: BackendServerDirectory,
    private readonly control: Partial<PlacementApi>,
  ) {}

  /** Starts to report, until stopped. */
  start(): void {
    void this.reportForever();
  }

  /** Stops reporting. */
  stop(): void {
    this.isStopped = true;
  }

  private async reportForever(): Promise<void> {
    while (!this.isStopped && this.control.reportServers) {
      const {factRevision} = this.directory;
      await this.report();
      await this.waitForChange(factRevision);
    }
  }

  /** Waits until server facts have changed or the next periodic report is due. */
  private async waitForChange(factRevision: number): Promise<void> {
    const dueAt = performance.now() + REPORT_INTERVAL_MS;
    do {
      await new Promise(resolve =>
        setTimeout(resolve, WATCH_INTERVAL_MS).unref(),
      );
    } while (
      performance.now() < dueAt &&
      this.directory.factRevision === factRevision
    );
  }

  private async report(): Promise<void> {
    const engines = this.directory
      .listTracked()
      .filter(({announcement}) => announcement.kind === 'engine');
    const current = new Map<string, string>();
    const changed: ReportedServer[] = [];
    for (const engine of engines) {
      const server = this.describeServer(engine);
      // A new sequence number alone is not a change.
      const text = JSON.stringify({...server, sequence: 0});
      current.set(server.id, text);
      if (this.needsFull || this.reported.get(server.id) !== text) {
        changed.push(server);
      }
    }
    const dropped = [...this.reported.keys()].filter(id => !current.has(id));
    try {
      const response = await this.control.reportServers?.({
        entry: this.entry,
        full: this.needsFull,
        servers: changed,
        dropped,
        loads: sumLoads(engines),
      });
      this.needsFull = response?.needsFull ?? true;
      this.reported = current;
    } catch (error) {
      // It is unknown whether the report has arrived, so the next one is full.
      this.needsFull = true;
      log('servers_not_reported', {error: String(error)});
    }
  }

  private describeServer(server: KnownServer): ReportedServer {
    const {announcement} = server;
    const {id, address, dataCentre, generation, sequence} = announcement;
    const {state, versions, slots, fencing, versionSlots} = announcement;
    return {
      id,
      address,
      dataCentre,
      generation,
      sequence,
      state,
      versions,
      slots,
      fencing,
      versionSlots: versionSlots ?? Math.max(1, versions.length),
      alive: this.directory.isAlive(server),
    };
  }
}

/** Sums the load over the engines of each version. */
function sumLoads(
  engines: readonly KnownServer[],
): Record<string, VersionLoad> {
  const loads: Record<string, VersionLoad> = {};
  for (const {announcement} of engines) {
    const {load, slots, versions} = announcement;
    if (!load) continue;
    // An engine reports its total load only, so its versions are assumed to share it evenly.
    const busy = (load.running + load.queued) / Math.max(1, versions.length);
    for (const version of versions) {
      const key = formatVersionKey(version);
      const before = loads[key] ?? {busy: 0, slots: 0};
      loads[key] = {
        busy: before.busy + busy,
        slots: before.slots + slots / Math.max(1, versions.length),
      };
    }
  }
  return loads;
}
