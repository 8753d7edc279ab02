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
/** Time between looks for changed facts, which are reported at once, in milliseconds. */
const WATCH_INTERVAL_MS = 200;

/**
 * Reports to control the engines that this entry holds detail on: all of them to a new leader,
 * then only what has changed, with the load of each version.
 *
 * @internal
 */
export class ServerReporter {
  /** What the leader has been told, as JSON by server. */
  private told = new Map<string, string>();
  private needsFull = true;
  private isStopped = false;

  constructor(
    private readonly entry: string,
    private readonly directory: BackendServerDirectory,
    private readonly control: Partial<PlacementApi>,
  ) {}

  /** Reports until stopped. */
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

  /** Waits until facts have changed, or the next report is due anyway. */
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
      // The sequence alone is no change.
      const text = JSON.stringify({...server, sequence: 0});
      current.set(server.id, text);
      if (this.needsFull || this.told.get(server.id) !== text) {
        changed.push(server);
      }
    }
    const dropped = [...this.told.keys()].filter(id => !current.has(id));
    try {
      const answer = await this.control.reportServers?.({
        entry: this.entry,
        full: this.needsFull,
        servers: changed,
        dropped,
        loads: sumLoads(engines),
      });
      this.needsFull = answer?.needsFull ?? true;
      this.told = current;
    } catch (error) {
      // The report may have arrived or not.
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
    // An engine tells its load as a whole; its versions are taken to share it evenly.
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
