import {SingleVoterLog} from '@sycamorehead/consensus';
import {ControlNode} from '@sycamorehead/control';
import {Entry, EntryOptions} from '@sycamorehead/entry';
import {
  Announcement,
  ReleaseNote,
  VersionRef,
  hashKey,
  releaseNoteSchema,
} from '@sycamorehead/schema';
import {StandInEngine, StandInService} from '@sycamorehead/stand-ins';
import {EngineScript, ScriptedEngine} from './ScriptedEngine.js';
import {TestCaller} from './TestCaller.js';
import {ControlFaults, wrapControl} from './controlFaults.js';

const HOST = '127.0.0.1';
const KEYS = {peerKey: 'peer', serverKey: 'server'};
const POLL_INTERVAL_MS = 5;
const ANNOUNCE_INTERVAL_MS = 1_000;
const WAIT_TIMEOUT_MS = 10_000;
const ENGINE_SPEED = {
  slots: 16,
  stepMs: 1,
  stepMsPerJob: 0,
  prefillTokensPerMs: 1e3,
};

/** API key of the harness's only customer. */
export const CUSTOMER_KEY = 'customer-key';

/** Builds the first release note: versions `m/v1` and `m/v2`, services `orders` and `rota`. */
export function buildFirstNote(): ReleaseNote {
  const version = {
    model: 'm',
    inputPrice: 1,
    outputPrice: 2,
    contextTokens: 1_000,
  };
  return releaseNoteSchema.parse({
    number: 1,
    follows: 0,
    add: {
      versions: [
        {...version, version: 'v1', qualityPrior: 0.8},
        {...version, version: 'v2', qualityPrior: 0.9},
      ],
      services: ['orders', 'rota'].map(service => ({
        service,
        calls: [
          {method: 'POST', path: '/once', repeatable: false, priceMicros: 500},
          {method: 'GET', path: '/read', repeatable: true, priceMicros: 1},
        ],
      })),
      customers: [
        {
          customer: 'c',
          keyHash: hashKey(CUSTOMER_KEY),
          models: [{model: 'm', versions: 'any'}],
          services: ['orders', 'rota'],
          limits: {requestsPerSecond: 1e5, tokensPerSecond: 1e7},
          qualityTarget: 0.5,
        },
      ],
    },
  });
}

/** Options of a DeliveryHarness. */
export interface HarnessOptions {
  readonly entries: number;
  readonly engines?: number;
  readonly replicas?: number;
  /** Name of the plain service that the replicas serve. */
  readonly service?: string;
  readonly note?: ReleaseNote;
  readonly leaseMs?: number;
  readonly entryOptions?: Partial<EntryOptions>;
}

/**
 * Runs several entries over real HTTP, with stand-in backend servers and one control node behind
 * injectable faults. Backend servers are announced directly to every entry, so that no test waits
 * for gossip.
 */
export class DeliveryHarness {
  readonly control: ControlNode;
  readonly entries: Entry[] = [];
  readonly callers: TestCaller[] = [];
  readonly faults: ControlFaults[] = [];
  readonly engines: StandInEngine[] = [];
  readonly services: StandInService[] = [];
  private readonly announcements = new Map<string, Announcement>();
  private readonly stoppedEntries = new Set<Entry>();
  private sequence = 0;
  private scriptedEngineCount = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: HarnessOptions) {
    this.control = new ControlNode({
      name: 'control-1',
      createLog: machine => new SingleVoterLog('control-1', machine),
      leaseMs: options.leaseMs,
    });
  }

  /** Publishes the first note, starts everything and waits until every entry is ready. */
  async start(): Promise<this> {
    await this.control.publish(this.options.note ?? buildFirstNote());
    for (let index = 1; index <= this.options.entries; index++) {
      await this.startEntry(`entry-${index}`);
    }
    for (let index = 1; index <= (this.options.engines ?? 0); index++) {
      await this.startEngine(`engine-${index}`);
    }
    for (let index = 1; index <= (this.options.replicas ?? 0); index++) {
      const service = this.options.service ?? 'orders';
      await this.startReplica(`${service}-${index}`, service);
    }
    this.timer = setInterval(() => this.announceAll(), ANNOUNCE_INTERVAL_MS);
    await this.waitFor(() => this.entries.every(entry => entry.isReady()));
    return this;
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    for (const faults of this.faults) faults.clear();
    for (const caller of this.callers) await caller.stop();
    await Promise.all(this.engines.map(engine => engine.stop()));
    await Promise.all(this.services.map(service => service.stop()));
    const runningEntries = this.entries.filter(
      entry => !this.stoppedEntries.has(entry),
    );
    await Promise.all(runningEntries.map(entry => entry.stop()));
    await this.control.stop();
  }

  /** Starts another entry and returns a caller of it. */
  async startEntry(name: string): Promise<TestCaller> {
    const faults = new ControlFaults();
    const entry = new Entry({
      name,
      dataCentre: 'dc-1',
      host: HOST,
      port: 0,
      peerPort: 0,
      peers: [],
      ...KEYS,
      control: wrapControl(this.control, faults),
      // Selects the version with the highest quality prior, so that tests control the choice.
      policies: {versionPolicy: 'fixed_best'},
      backendTimeouts: {
        connectMs: 500,
        firstByteMs: 600,
        betweenFramesMs: 600,
        serviceMs: 1_000,
      },
      timeouts: {
        answerMs: 8_000,
        callerStallMs: 500,
        commitWaitMs: 500,
      },
      ...this.options.entryOptions,
    });
    const {port} = await entry.start();
    const caller = new TestCaller(`http://${HOST}:${port}`, CUSTOMER_KEY);
    this.entries.push(entry);
    this.faults.push(faults);
    this.callers.push(caller);
    this.announceAll();
    return caller;
  }

  /** Stops an entry gracefully, as SIGTERM does. */
  async stopEntry(index: number): Promise<void> {
    const entry = this.entries[index]!;
    this.stoppedEntries.add(entry);
    await entry.stop();
  }

  /** Announces a backend server to every entry at once and then every second. */
  announce(
    server: Pick<Announcement, 'id' | 'address' | 'kind'> &
      Partial<Announcement>,
  ): void {
    this.announcements.set(server.id, {
      dataCentre: 'dc-1',
      generation: 1,
      sequence: 0,
      state: 'ready',
      versions: [],
      slots: 16,
      fencing: 'ignored',
      ...server,
    });
    this.announceAll();
  }

  /** Announces that a backend server is leaving. */
  announceLeaving(id: string): void {
    const previous = this.announcements.get(id);
    if (previous) this.announce({...previous, state: 'leaving'});
  }

  /** Announces an engine that has every version loaded. */
  announceEngine(id: string, address: string): void {
    const versions = this.listVersions();
    this.announce({id, address, kind: 'engine', versions});
  }

  /** Runs a test against a single scripted engine, which is removed afterwards. */
  async runWithEngine(
    scripts: readonly EngineScript[],
    run: (engine: ScriptedEngine, id: string) => Promise<void>,
  ): Promise<void> {
    this.scriptedEngineCount += 1;
    const id = `scripted-${this.scriptedEngineCount}`;
    const engine = new ScriptedEngine(scripts);
    const address = await engine.start();
    this.announceEngine(id, address);
    try {
      await run(engine, id);
    } finally {
      this.announce({id, address, kind: 'engine', state: 'leaving'});
      await engine.stop();
    }
  }

  /** Publishes the next note and waits until it is in force on every entry. */
  async publish(changes: Omit<Partial<ReleaseNote>, 'number'>): Promise<void> {
    const {noteNumber} = await this.control.readInForce();
    const note = releaseNoteSchema.parse({
      number: noteNumber + 1,
      follows: noteNumber,
      ...changes,
    });
    await this.control.publish(note);
    await this.waitFor(async () => (await this.control.readInForce()).inForce);
  }

  /** Waits until a condition holds. */
  async waitFor(condition: () => boolean | Promise<boolean>): Promise<void> {
    const deadline = performance.now() + WAIT_TIMEOUT_MS;
    while (!(await condition())) {
      if (performance.now() > deadline)
        throw new Error(`condition not met within ${WAIT_TIMEOUT_MS} ms`);
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  /** Counts how often the replicas ran calls with an idempotency key. */
  countRuns(key: string): number {
    return this.services.reduce(
      (sum, service) => sum + service.countRuns(key),
      0,
    );
  }

  /** Lists the request keys of all bills, without the customer prefix. */
  async listBilledKeys(): Promise<string[]> {
    const bills = await this.control.listBills();
    return bills.map(({requestKey}) =>
      requestKey.split('/').slice(1).join('/'),
    );
  }

  /** Lists the versions of the first note, which every engine has loaded. */
  private listVersions(): VersionRef[] {
    const {versions} = (this.options.note ?? buildFirstNote()).add;
    return versions.map(({model, version}) => ({model, version}));
  }

  private async startEngine(id: string): Promise<void> {
    const engine = new StandInEngine({
      id,
      dataCentre: 'dc-1',
      versions: this.listVersions(),
      speed: ENGINE_SPEED,
      fencing: 'ignored',
      entries: [],
      serverKey: KEYS.serverKey,
    });
    this.engines.push(engine);
    this.announceEngine(id, await engine.start());
  }

  private async startReplica(id: string, service: string): Promise<void> {
    const replica = new StandInService({
      id,
      service,
      dataCentre: 'dc-1',
      entries: [],
      serverKey: KEYS.serverKey,
    });
    this.services.push(replica);
    const address = await replica.start();
    this.announce({id, address, kind: 'service', service});
  }

  private announceAll(): void {
    this.sequence += 1;
    for (const announcement of this.announcements.values()) {
      for (const entry of this.entries) {
        entry.directory.receive({...announcement, sequence: this.sequence});
      }
    }
  }
}
