import {ControlClient} from '@sycamorehead/control';
import {Entry} from '@sycamorehead/entry';
import {StandInEngine, StandInService} from '@sycamorehead/stand-ins';
import type {PeerAddress} from '@sycamorehead/wire';
import {request} from 'undici';
import {ControlGroup} from './ControlGroup.js';
import {buildOverheadNote} from './OverheadFleet.js';

const HOST = '127.0.0.1';
const PEER_KEY = 'restart-peer-key';
const SERVER_KEY = 'restart-server-key';
const ENGINES = 4;
const REPLICAS = 3;
const POLL_MS = 20;
const READY_TIMEOUT_MS = 15_000;
/** Interval at which the platform's load balancer polls the readiness of entries. */
const BALANCER_POLL_MS = 500;
const ENGINE_SPEED = {
  slots: 64,
  stepMs: 5,
  stepMsPerJob: 0,
  prefillTokensPerMs: 20,
};

interface RunningEntry {
  readonly entry: Entry;
  readonly client: ControlClient;
  readonly url: string;
  readonly port: number;
  readonly peerPort: number;
}

/**
 * Entries behind a load balancer that polls their readiness, three control instances that store
 * their state on disk, and stand-in backend servers. Entries and control instances can be
 * restarted one by one.
 *
 * @internal
 */
export class RestartFleet {
  readonly control = new ControlGroup({
    peerKey: PEER_KEY,
    operatorToken: 'restart-operator-token',
  });
  readonly engines: StandInEngine[] = [];
  readonly services: StandInService[] = [];
  private readonly runningEntries: RunningEntry[] = [];
  private readyUrls: string[] = [];
  private roundRobinIndex = 0;
  private balancerTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly entryCount: number,
    private readonly balancerLagMs: number,
  ) {}

  /** Starts all components and waits until every entry is ready and lists every backend server. */
  async start(): Promise<void> {
    await this.control.start();
    await this.control.callLeader(node => node.publish(buildOverheadNote()));
    for (let index = 0; index < this.entryCount; index++) {
      this.runningEntries.push(await this.startEntry(index, 0, 0));
    }
    await this.startBackends();
    this.balancerTimer = setInterval(
      () => void this.pollReadiness(),
      BALANCER_POLL_MS,
    );
    const backends = ENGINES + REPLICAS;
    await this.waitFor(
      () =>
        this.readyUrls.length === this.entryCount &&
        this.runningEntries.every(
          ({entry}) => entry.directory.listReady().length === backends,
        ),
    );
  }

  /** Chooses an entry round robin among those that were ready at the last poll. */
  chooseEntry(): string {
    this.roundRobinIndex += 1;
    return this.readyUrls[this.roundRobinIndex % this.readyUrls.length] ?? '';
  }

  /** Stops an entry gracefully, as SIGTERM does, and restarts it on the same ports. */
  async restartEntry(index: number): Promise<void> {
    const {entry, client, port, peerPort, url} = this.runningEntries[index]!;
    await entry.stop();
    client.stop();
    this.runningEntries[index] = await this.startEntry(index, port, peerPort);
    await this.waitFor(() => this.readyUrls.includes(url));
  }

  /** Counts the executions of a non-repeatable call over all replicas. */
  countRuns(key: string): number {
    return this.services.reduce(
      (sum, service) => sum + service.countRuns(key),
      0,
    );
  }

  /** Stops all components. */
  async stop(): Promise<void> {
    clearInterval(this.balancerTimer);
    await Promise.all(this.engines.map(engine => engine.stop()));
    await Promise.all(this.services.map(service => service.stop()));
    await Promise.all(this.runningEntries.map(({entry}) => entry.stop()));
    for (const {client} of this.runningEntries) client.stop();
    await this.control.stop();
  }

  private async startEntry(
    index: number,
    port: number,
    peerPort: number,
  ): Promise<RunningEntry> {
    const name = `entry-${index + 1}`;
    const client = new ControlClient({
      name,
      instances: this.control.addresses,
      peerKey: PEER_KEY,
    });
    const entry = new Entry({
      name,
      dataCentre: `dc-${(index % 3) + 1}`,
      host: HOST,
      port,
      peerPort,
      peers: this.listPeers(index),
      peerKey: PEER_KEY,
      serverKey: SERVER_KEY,
      control: client,
      balancerLagMs: this.balancerLagMs,
    });
    const ports = await entry.start();
    return {entry, client, ...ports, url: `http://${HOST}:${ports.port}`};
  }

  private listPeers(ownIndex: number): PeerAddress[] {
    return this.runningEntries
      .filter((unused, index) => index !== ownIndex)
      .map(({peerPort}) => ({host: HOST, port: peerPort}));
  }

  private async startBackends(): Promise<void> {
    const entries = this.runningEntries.map(({url}) => url);
    const common = {dataCentre: 'dc-1', entries, serverKey: SERVER_KEY};
    for (let index = 1; index <= ENGINES; index++) {
      const engine = new StandInEngine({
        ...common,
        id: `engine-${index}`,
        versions: [{model: 'm', version: 'v1'}],
        speed: ENGINE_SPEED,
        fencing: 'ignored',
      });
      await engine.start();
      this.engines.push(engine);
    }
    for (let index = 1; index <= REPLICAS; index++) {
      const id = `orders-${index}`;
      const service = new StandInService({...common, id, service: 'orders'});
      await service.start();
      this.services.push(service);
    }
  }

  private async pollReadiness(): Promise<void> {
    const urls = this.runningEntries.map(({url}) => url);
    const readiness = await Promise.all(urls.map(isEntryReady));
    this.readyUrls = urls.filter((unused, index) => readiness[index]);
  }

  private async waitFor(condition: () => boolean): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MS;
    while (!condition()) {
      if (performance.now() > deadline)
        throw new Error(
          `restart fleet not ready within ${READY_TIMEOUT_MS} ms`,
        );
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }
}

async function isEntryReady(url: string): Promise<boolean> {
  try {
    const {statusCode, body} = await request(`${url}/readyz`, {
      headersTimeout: BALANCER_POLL_MS,
      // The platform's load balancer also opens a new connection for each poll.
      reset: true,
    });
    await body.dump();
    return statusCode === 200;
  } catch {
    return false;
  }
}
