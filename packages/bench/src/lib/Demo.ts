import {randomBytes} from 'node:crypto';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
  ControlClient,
  ControlInstance,
  OperatorClient,
} from '@sycamorehead/control';
import {Entry} from '@sycamorehead/entry';
import {ReleaseNote, hashKey, parseReleaseNote} from '@sycamorehead/schema';
import {
  StandInEngine,
  StandInRatingService,
  StandInService,
  StandInWeightStore,
} from '@sycamorehead/stand-ins';
import type {PeerAddress} from '@sycamorehead/wire';
import {DEMO_NOTE} from './demoNote.js';

const HOST = '127.0.0.1';
const CONTROL_COUNT = 3;
const ENTRY_COUNT = 2;
const ENGINE_COUNT = 2;
const POLL_MS = 20;
const READY_TIMEOUT_MS = 15_000;
const ENGINE_SPEED = {
  slots: 16,
  stepMs: 4,
  stepMsPerJob: 0.2,
  prefillTokensPerMs: 20,
};

/** Version slots of each engine: two for the versions of the note and one for a roll-out. */
const VERSION_SLOTS = 3;
const RECONCILER_OPTIONS = {
  weightStore: {loads: 4, windowMs: 1_000},
  settleMs: 2_500,
  leaderLeaseMs: 1_500,
  orderTimeoutMs: 1_000,
};

/** Secrets of a demo deployment. @public */
export interface DemoKeys {
  readonly operatorToken: string;
  readonly customerKey: string;
  readonly peerKey: string;
  readonly serverKey: string;
}

function createKeys(): DemoKeys {
  const createKey = (prefix: string) =>
    `${prefix}-${randomBytes(12).toString('hex')}`;
  return {
    operatorToken: createKey('op'),
    customerKey: createKey('ck'),
    peerKey: createKey('pk'),
    serverKey: createKey('sk'),
  };
}

/**
 * A complete deployment in one process: three control instances, two entries, stand-in engines
 * and services.
 *
 * @public
 */
export class Demo {
  readonly engines: StandInEngine[] = [];
  readonly services: StandInService[] = [];
  readonly entries: Entry[] = [];
  readonly entryUrls: string[] = [];
  readonly ratings = new StandInRatingService({
    quality: {
      'inscription/v1': 0.8,
      'inscription/v2': 0.93,
      // The operators' page for trial runs publishes this version to show how it is quarantined.
      'inscription/v3': 0.4,
    },
  });
  readonly weights = new StandInWeightStore({
    loadMs: 200,
    loadsPerWindow: 4,
    windowMs: 1_000,
  });
  /** Operator API URLs of the control instances. */
  readonly controlUrls: string[] = [];
  readonly controls: ControlInstance[] = [];
  private readonly clients: ControlClient[] = [];
  private dataFolder = '';

  /** @param isRatingEnabled Whether answers are rated so that entries learn version quality. */
  constructor(
    readonly keys: DemoKeys = createKeys(),
    private readonly isRatingEnabled = false,
  ) {}

  /** Operator API URL of the first control instance; every instance accepts operator calls. */
  get controlUrl(): string {
    return this.controlUrls[0] ?? '';
  }

  /** Starts all components, publishes the note and waits until every entry serves it. */
  async start(): Promise<void> {
    const controlAddresses = await this.startControl();
    const weightStore = await this.weights.start();
    const ratingsUrl = await this.ratings.start();
    await this.startEntries(controlAddresses, ratingsUrl);
    await this.startBackends(weightStore);
    await this.createOperator().publish(this.buildNote());
    await this.waitUntilReady();
  }

  /** Stops all components and deletes the data folder. */
  async stop(): Promise<void> {
    await Promise.all(this.entries.map(entry => entry.stop()));
    for (const client of this.clients) client.stop();
    await Promise.all(this.engines.map(engine => engine.stop()));
    await Promise.all(this.services.map(service => service.stop()));
    await this.ratings.stop();
    await this.weights.stop();
    for (const control of this.controls) await control.stop();
    await rm(this.dataFolder, {recursive: true, force: true});
  }

  /** Creates an operator client of this deployment. */
  createOperator(): OperatorClient {
    return new OperatorClient({
      urls: this.controlUrls,
      operatorToken: this.keys.operatorToken,
    });
  }

  /** Builds the release note that the demo publishes. */
  buildNote(): ReleaseNote {
    const keyHash = hashKey(this.keys.customerKey);
    return parseReleaseNote(DEMO_NOTE.replace('KEY_HASH', keyHash));
  }

  private async startControl(): Promise<Record<string, PeerAddress>> {
    const {peerKey, operatorToken} = this.keys;
    this.dataFolder = await mkdtemp(path.join(tmpdir(), 'sycamorehead-'));
    const instances: Record<string, PeerAddress> = {};
    const addresses: Record<string, string> = {};
    for (let index = 1; index <= CONTROL_COUNT; index++) {
      const name = `control-${index}`;
      const control = new ControlInstance({
        name,
        host: HOST,
        port: 0,
        peerPort: 0,
        peerKey,
        operatorToken,
        dataFolder: path.join(this.dataFolder, name),
        reconciler: RECONCILER_OPTIONS,
        onFailure: error => {
          throw error;
        },
      });
      const ports = await control.start();
      this.controls.push(control);
      this.controlUrls.push(`http://${HOST}:${ports.port}`);
      instances[name] = {host: HOST, port: ports.peerPort};
      addresses[name] = `${HOST}:${ports.peerPort}`;
    }
    await this.controls[0]?.createGroup(addresses, READY_TIMEOUT_MS);
    return instances;
  }

  private async startEntries(
    instances: Readonly<Record<string, PeerAddress>>,
    ratingsUrl: string,
  ): Promise<void> {
    const {peerKey, serverKey} = this.keys;
    const peers: PeerAddress[] = [];
    for (let index = 1; index <= ENTRY_COUNT; index++) {
      const name = `entry-${index}`;
      const control = new ControlClient({
        name,
        instances,
        peerKey,
      });
      this.clients.push(control);
      const entry = new Entry({
        name,
        dataCentre: 'dc-1',
        host: HOST,
        port: 0,
        peerPort: 0,
        peers: peers.slice(0, 1),
        peerKey,
        serverKey,
        control,
        evidence: control,
        ratings: this.isRatingEnabled ? {url: ratingsUrl} : undefined,
      });
      const ports = await entry.start();
      peers.push({host: HOST, port: ports.peerPort});
      this.entries.push(entry);
      this.entryUrls.push(`http://${HOST}:${ports.port}`);
    }
  }

  private async startBackends(weightStore: string): Promise<void> {
    const {serverKey} = this.keys;
    // Announcements go to the entries in turn, as if through a load balancer.
    const entries = this.entryUrls;
    for (let index = 1; index <= ENGINE_COUNT; index++) {
      const engine = new StandInEngine({
        id: `engine-${index}`,
        dataCentre: 'dc-1',
        versions: [
          {model: 'inscription', version: 'v1'},
          {model: 'inscription', version: 'v2'},
        ],
        speed: ENGINE_SPEED,
        fencing: index % 2 === 0 ? 'checked' : 'ignored',
        entries,
        serverKey,
        weightStore,
        versionSlots: VERSION_SLOTS,
      });
      await engine.start();
      this.engines.push(engine);
    }
    const service = new StandInService({
      id: 'orders-1',
      service: 'orders',
      dataCentre: 'dc-1',
      entries,
      serverKey,
    });
    await service.start();
    this.services.push(service);
  }

  private async waitUntilReady(): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MS;
    while (!this.isDeploymentReady()) {
      if (performance.now() > deadline) {
        throw new Error(`demo not ready within ${READY_TIMEOUT_MS} ms`);
      }
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  private isDeploymentReady(): boolean {
    const backendServers = this.engines.length + this.services.length;
    return this.entries.every(
      entry =>
        entry.isReady() &&
        entry.configuration.getStatus().revision > 0 &&
        entry.directory.listReady().length === backendServers,
    );
  }
}
