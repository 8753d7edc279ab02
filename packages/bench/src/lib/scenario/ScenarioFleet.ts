import {SingleVoterLog} from '@sycamorehead/consensus';
import {ControlNode, createControlMethods} from '@sycamorehead/control';
import type {EntryOptions} from '@sycamorehead/entry';
import type {ReleaseNote} from '@sycamorehead/schema';
import {StandInEngineOptions, StandInService} from '@sycamorehead/stand-ins';
import {PeerAddress, WireServer} from '@sycamorehead/wire';
import {EngineHost} from '../load/EngineHost.js';
import {EntryHost} from '../load/EntryHost.js';
import {
  ENGINE_COUNT,
  ENGINE_SPEED,
  ENTRY_COUNT,
  SERVICE_COUNT,
} from './workload.js';

const HOST = '127.0.0.1';
const PEER_KEY = 'scenario-peer-key';
const SERVER_KEY = 'scenario-server-key';
const ENTRY_THREADS = 4;
const SERVICE_CALL_MS = 5;
const POLL_MS = 50;
const READY_TIMEOUT_MS = 15_000;

/**
 * A deployment of the first users' size over several threads: two entries in each of four worker
 * threads, all engines in another one, and control and the plain service in the calling thread.
 *
 * @public
 */
export class ScenarioFleet {
  readonly entryUrls: string[] = [];
  readonly entryHosts: EntryHost[] = [];
  readonly services: StandInService[] = [];
  readonly control = new ControlNode({
    name: 'control-1',
    createLog: machine => new SingleVoterLog('control-1', machine),
  });
  private readonly controlServer = new WireServer({
    host: HOST,
    port: 0,
    peerKey: PEER_KEY,
    methods: createControlMethods(this.control),
  });
  private engineHost: EngineHost | undefined;

  constructor(
    private readonly note: ReleaseNote,
    private readonly policies: EntryOptions['policies'],
  ) {}

  /** The thread that runs the engines. Throws before `start`. */
  get engines(): EngineHost {
    if (!this.engineHost) throw new Error('the fleet was not started');
    return this.engineHost;
  }

  /** Starts all components and waits until each entry can route to each backend server. */
  async start(): Promise<void> {
    await this.control.publish(this.note);
    const port = await this.controlServer.start();
    await this.startEntries({host: HOST, port});
    this.engineHost = new EngineHost({engines: this.describeEngines()});
    await this.engineHost.start();
    await this.startServices();
    await this.awaitReady();
  }

  /** Stops all components except the entry threads that were terminated before. */
  async stop(terminated: ReadonlySet<EntryHost> = new Set()): Promise<void> {
    const hosts = this.entryHosts.filter(host => !terminated.has(host));
    await Promise.all(hosts.map(host => host.stop()));
    await this.engineHost?.stop();
    await Promise.all(this.services.map(service => service.stop()));
    await this.controlServer.stop();
    await this.control.stop();
  }

  private async startEntries(control: PeerAddress): Promise<void> {
    const peers: PeerAddress[] = [];
    const perThread = ENTRY_COUNT / ENTRY_THREADS;
    for (let first = 1; first <= ENTRY_COUNT; first += perThread) {
      const host = new EntryHost({
        names: Array.from(
          {length: perThread},
          (unused, offset) => `entry-${first + offset}`,
        ),
        control,
        peers: [...peers],
        peerKey: PEER_KEY,
        serverKey: SERVER_KEY,
        policies: this.policies,
      });
      this.entryHosts.push(host);
      for (const {port, peerPort} of await host.start()) {
        peers.push({host: HOST, port: peerPort});
        this.entryUrls.push(`http://${HOST}:${port}`);
      }
    }
  }

  private describeEngines(): StandInEngineOptions[] {
    const versions = this.note.add.versions.map(({model, version}) => ({
      model,
      version,
    }));
    return Array.from({length: ENGINE_COUNT}, (unused, index) => ({
      id: `engine-${index + 1}`,
      dataCentre: `dc-${(index % 3) + 1}`,
      versions,
      speed: ENGINE_SPEED,
      fencing: 'checked' as const,
      // The last entry is connected to all earlier entries.
      entries: this.entryUrls.slice(-1),
      serverKey: SERVER_KEY,
    }));
  }

  private async startServices(): Promise<void> {
    for (let index = 1; index <= SERVICE_COUNT; index++) {
      const service = new StandInService({
        id: `service-${index}`,
        service: 'orders',
        dataCentre: `dc-${index}`,
        callMs: SERVICE_CALL_MS,
        entries: this.entryUrls.slice(-1),
        serverKey: SERVER_KEY,
      });
      await service.start();
      this.services.push(service);
    }
  }

  private async awaitReady(): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MS;
    for (;;) {
      const counts = await Promise.all(
        this.entryHosts.map(host => host.countReady()),
      );
      if (Math.min(...counts) === ENGINE_COUNT + SERVICE_COUNT) return;
      if (performance.now() > deadline)
        throw new Error(`fleet not ready within ${READY_TIMEOUT_MS} ms`);
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }
}
