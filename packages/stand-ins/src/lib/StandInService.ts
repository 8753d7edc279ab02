import {Announcer} from './Announcer.js';
import {StandInServer, sendJson} from './StandInServer.js';

/** Settings of a stand-in plain service. @public */
export interface StandInServiceOptions {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly entries: readonly string[];
  readonly serverKey: string;
  /** Duration of each call, in milliseconds. */
  readonly callMs?: number;
  readonly generation?: number;
}

/** Record of a call that the service executed. @public */
export interface ServiceRun {
  readonly method: string;
  readonly path: string;
  readonly idempotencyKey: string;
}

/** Faults that a stand-in service can inject. @public */
export interface ServiceFaults {
  /** Executes the call and then resets the connection instead of answering. */
  resetsAfterRun: boolean;
  /** Executes the call and never answers. */
  silentAfterRun: boolean;
}

/**
 * A stand-in plain service with non-idempotent calls; it counts executions per idempotency key.
 * @public
 */
export class StandInService {
  readonly runs: ServiceRun[] = [];
  readonly faults: ServiceFaults = {
    resetsAfterRun: false,
    silentAfterRun: false,
  };
  readonly announcer: Announcer;
  address = '';
  private readonly server: StandInServer;

  constructor(private readonly options: StandInServiceOptions) {
    this.server = new StandInServer(async (incoming, response) => {
      const run: ServiceRun = {
        method: incoming.method ?? '',
        path: incoming.url ?? '',
        idempotencyKey: String(incoming.headers['idempotency-key'] ?? ''),
      };
      this.runs.push(run);
      if (options.callMs) {
        await new Promise(resolve => setTimeout(resolve, options.callMs));
      }
      if (this.faults.silentAfterRun) return;
      if (this.faults.resetsAfterRun) {
        response.destroy();
        return;
      }
      sendJson(response, 200, {
        service: options.service,
        path: run.path,
        timesRun: this.countRuns(run.idempotencyKey),
      });
    });
    this.announcer = new Announcer({
      entries: options.entries,
      serverKey: options.serverKey,
      generation: options.generation,
      source: () => ({
        id: options.id,
        address: this.address,
        dataCentre: options.dataCentre,
        kind: 'service',
        service: options.service,
        versions: [],
        slots: 64,
        fencing: 'ignored',
      }),
    });
  }

  /** Counts the executions with a key; calls without a key share the empty key. */
  countRuns(idempotencyKey: string): number {
    return this.runs.filter(run => run.idempotencyKey === idempotencyKey)
      .length;
  }

  /** Starts to serve and to announce itself; returns the base URL. */
  async start(): Promise<string> {
    this.address = await this.server.start();
    if (this.options.entries.length > 0) await this.announcer.start();
    return this.address;
  }

  /** Stops abruptly, like a crash. */
  async stop(): Promise<void> {
    this.announcer.stop();
    await this.server.stop();
  }
}
