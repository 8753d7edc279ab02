import {ReplicatedLog, SingleVoterLog} from '@sycamorehead/consensus';
import {ControlNode, ReconcilerOptions} from '@sycamorehead/control';
import {Entry, EntryOptions, RatingSettings} from '@sycamorehead/entry';
import {ReleaseNote, VersionRef} from '@sycamorehead/schema';
import {
  EngineSpeed,
  StandInEngine,
  StandInEngineOptions,
  StandInRatingService,
  StandInService,
} from '@sycamorehead/stand-ins';

const HOST = '127.0.0.1';
const POLL_MS = 10;
const READY_TIMEOUT_MS = 15_000;
const PEER_KEY = 'fleet-peer-key';
/** Key with which a fleet's backend servers announce themselves. @public */
export const FLEET_SERVER_KEY = 'fleet-server-key';

/** Settings of a Fleet. @public */
export interface FleetOptions {
  readonly note: ReleaseNote;
  readonly entries: number;
  readonly engines: number;
  readonly services?: {readonly name: string; readonly replicas: number};
  readonly engineSpeed: EngineSpeed;
  /** Returns the versions loaded by an engine; by default all versions of the note. */
  readonly getEngineVersions?: (index: number) => VersionRef[];
  readonly serviceCallMs?: number;
  /** Mean rating for each `model/version` or `model/version/kind`. */
  readonly quality?: Record<string, number>;
  /** Settings of the rating client; without them answers are not rated. */
  readonly ratings?: Omit<RatingSettings, 'url'>;
  /** Whether the entries report evidence to control; true by default. */
  readonly reportsEvidence?: boolean;
  /** Half the width of the uniform noise on each rating. */
  readonly ratingNoise?: number;
  readonly entryOptions?: Partial<EntryOptions>;
  readonly engineOptions?: Partial<StandInEngineOptions>;
  readonly reconciler?: Partial<ReconcilerOptions>;
}

/**
 * A deployment in one process for experiments: independent entries that serve real HTTP, a control
 * node that they call directly, and stand-in backend servers.
 *
 * @public
 */
export class Fleet {
  readonly entries: Entry[] = [];
  readonly entryUrls: string[] = [];
  readonly engines: StandInEngine[] = [];
  readonly services: StandInService[] = [];
  readonly ratings: StandInRatingService;
  ratingsUrl = '';
  readonly control: ControlNode;
  /** Log of the control node, for commands that no client method sends. */
  log: ReplicatedLog | undefined;

  constructor(private readonly options: FleetOptions) {
    this.ratings = new StandInRatingService({
      quality: options.quality ?? {},
      noise: options.ratingNoise,
    });
    this.control = new ControlNode({
      name: 'control-1',
      createLog: machine => {
        this.log = new SingleVoterLog('control-1', machine);
        return this.log;
      },
      reconciler: options.reconciler,
    });
  }

  /** Starts everything and waits until each entry can route to each backend server. */
  async start(): Promise<void> {
    this.ratingsUrl = await this.ratings.start();
    await this.control.publish(this.options.note);
    await this.startEntries();
    await this.startEngines();
    await this.startServices();
    const deadline = performance.now() + READY_TIMEOUT_MS;
    while (!this.isReady()) {
      if (performance.now() > deadline)
        throw new Error(`fleet not ready within ${READY_TIMEOUT_MS} ms`);
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    await Promise.all(this.engines.map(engine => engine.stop()));
    await Promise.all(this.services.map(service => service.stop()));
    await Promise.all(this.entries.map(entry => entry.stop()));
    await this.ratings.stop();
    await this.control.stop();
  }

  private async startEntries(): Promise<void> {
    const peers: Array<{host: string; port: number}> = [];
    for (let index = 1; index <= this.options.entries; index++) {
      const entry = new Entry({
        name: `entry-${index}`,
        dataCentre: `dc-${((index - 1) % 3) + 1}`,
        host: HOST,
        port: 0,
        peerPort: 0,
        peers: [...peers],
        peerKey: PEER_KEY,
        serverKey: FLEET_SERVER_KEY,
        control: this.control,
        evidence:
          this.options.reportsEvidence === false ? undefined : this.control,
        ratings: this.options.ratings && {
          ...this.options.ratings,
          url: this.ratingsUrl,
        },
        ...this.options.entryOptions,
      });
      const ports = await entry.start();
      peers.push({host: HOST, port: ports.peerPort});
      this.entries.push(entry);
      this.entryUrls.push(`http://${HOST}:${ports.port}`);
    }
  }

  private async startEngines(): Promise<void> {
    const {note, engineSpeed, getEngineVersions} = this.options;
    const allVersions = note.add.versions.map(({model, version}) => ({
      model,
      version,
    }));
    for (let index = 0; index < this.options.engines; index++) {
      const engine = new StandInEngine({
        id: `engine-${index + 1}`,
        dataCentre: `dc-${(index % 3) + 1}`,
        versions: getEngineVersions?.(index) ?? allVersions,
        speed: engineSpeed,
        fencing: index % 2 === 0 ? 'checked' : 'ignored',
        // Announcements go to the entries in turn, as if through a load balancer.
        entries: this.entryUrls,
        serverKey: FLEET_SERVER_KEY,
        ...this.options.engineOptions,
      });
      await engine.start();
      this.engines.push(engine);
    }
  }

  private async startServices(): Promise<void> {
    const {services, serviceCallMs} = this.options;
    for (let index = 1; index <= (services?.replicas ?? 0); index++) {
      const service = new StandInService({
        id: `service-${index}`,
        service: services?.name ?? '',
        dataCentre: `dc-${index}`,
        callMs: serviceCallMs,
        entries: this.entryUrls,
        serverKey: FLEET_SERVER_KEY,
      });
      await service.start();
      this.services.push(service);
    }
  }

  private isReady(): boolean {
    const backends = this.engines.length + this.services.length;
    return this.entries.every(
      entry =>
        entry.isReady() && entry.directory.listReady().length === backends,
    );
  }
}
