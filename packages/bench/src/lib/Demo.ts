import {randomBytes} from 'node:crypto';
import {SingleVoterLog} from '@sycamorehead/consensus';
import {
  ControlClient,
  ControlNode,
  OperatorClient,
  OperatorServer,
  createControlMethods,
} from '@sycamorehead/control';
import {Entry} from '@sycamorehead/entry';
import {ReleaseNote, hashKey, parseReleaseNote} from '@sycamorehead/schema';
import {
  StandInEngine,
  StandInRatingService,
  StandInService,
  StandInWeightStore,
} from '@sycamorehead/stand-ins';
import {PeerAddress, WireServer} from '@sycamorehead/wire';
import {DEMO_NOTE} from './demoNote.js';

const HOST = '127.0.0.1';
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

/** Keys of a demo. @public */
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
 * A whole deployment in one process: control, two entries, stand-in engines and services.
 *
 * @public
 */
export class Demo {
  readonly engines: StandInEngine[] = [];
  readonly services: StandInService[] = [];
  readonly entries: Entry[] = [];
  readonly entryUrls: string[] = [];
  readonly ratings = new StandInRatingService({
    quality: {'inscription/v1': 0.8, 'inscription/v2': 0.93},
  });
  readonly weights = new StandInWeightStore({
    loadMs: 200,
    loadsPerWindow: 4,
    windowMs: 1_000,
  });
  controlUrl = '';
  private readonly clients: ControlClient[] = [];
  private readonly node = new ControlNode({
    name: 'control-1',
    createLog: machine => new SingleVoterLog('control-1', machine),
  });
  private readonly wireServer: WireServer;
  private readonly operatorServer: OperatorServer;

  /** @param isRating Whether answers are rated, so that versions are tried and learned. */
  constructor(
    readonly keys: DemoKeys = createKeys(),
    private readonly isRating = false,
  ) {
    const {peerKey, operatorToken} = keys;
    this.wireServer = new WireServer({
      host: HOST,
      port: 0,
      peerKey,
      methods: createControlMethods(this.node),
    });
    this.operatorServer = new OperatorServer({
      node: this.node,
      host: HOST,
      port: 0,
      operatorToken,
    });
  }

  /** Starts everything, publishes the note and waits until it is in force. */
  async start(): Promise<void> {
    const controlAddress = {host: HOST, port: await this.wireServer.start()};
    this.controlUrl = `http://${HOST}:${await this.operatorServer.start()}`;
    const weightStore = await this.weights.start();
    const ratingsUrl = await this.ratings.start();
    await this.startEntries(controlAddress, ratingsUrl);
    await this.startBackends(weightStore);
    await this.createOperator().publish(this.buildNote());
    await this.waitUntilReady();
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    await Promise.all(this.entries.map(entry => entry.stop()));
    for (const client of this.clients) client.stop();
    await Promise.all(this.engines.map(engine => engine.stop()));
    await Promise.all(this.services.map(service => service.stop()));
    await this.ratings.stop();
    await this.weights.stop();
    await this.operatorServer.stop();
    await this.wireServer.stop();
    await this.node.stop();
  }

  /** Creates an operator's client of this deployment. */
  createOperator(): OperatorClient {
    return new OperatorClient({
      urls: [this.controlUrl],
      operatorToken: this.keys.operatorToken,
    });
  }

  /** Builds the release note that the demo publishes. */
  buildNote(): ReleaseNote {
    const keyHash = hashKey(this.keys.customerKey);
    return parseReleaseNote(DEMO_NOTE.replace('KEY_HASH', keyHash));
  }

  private async startEntries(
    controlAddress: PeerAddress,
    ratingsUrl: string,
  ): Promise<void> {
    const {peerKey, serverKey} = this.keys;
    const peers: PeerAddress[] = [];
    for (let index = 1; index <= ENTRY_COUNT; index++) {
      const name = `entry-${index}`;
      const control = new ControlClient({
        name,
        instances: {'control-1': controlAddress},
        peerKey,
      });
      this.clients.push(control);
      const entry = new Entry({
        name,
        dataCentre: 'dc-1',
        host: HOST,
        port: 0,
        peerPort: 0,
        // The same list in every entry, filled as they start; each connects to those it lacks.
        peers: [...peers],
        peerKey,
        serverKey,
        control,
        evidence: control,
        ratings: this.isRating ? {url: ratingsUrl} : undefined,
      });
      const ports = await entry.start();
      peers.push({host: HOST, port: ports.peerPort});
      this.entries.push(entry);
      this.entryUrls.push(`http://${HOST}:${ports.port}`);
    }
  }

  private async startBackends(weightStore: string): Promise<void> {
    const {serverKey} = this.keys;
    // Servers announce themselves through the last entry, whose links lead to all earlier ones.
    const entries = this.entryUrls.slice(-1);
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
    while (!this.isWholeReady()) {
      if (performance.now() > deadline) {
        throw new Error('the demo was not ready in time');
      }
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  private isWholeReady(): boolean {
    const backends = this.engines.length + this.services.length;
    return this.entries.every(
      entry =>
        entry.isReady() &&
        entry.configuration.read().revision > 0 &&
        entry.directory.listReady().length === backends,
    );
  }
}
