import {randomUUID} from 'node:crypto';
import {
  LinkPool,
  RaftTiming,
  WireTransport,
  createConsensusMethods,
} from '@sycamorehead/consensus';
import {ServerRegistration, SycamoreheadError} from '@sycamorehead/schema';
import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import {PeerLink, WireServer} from '@sycamorehead/wire';
import {ControlPeers} from './ControlPeers.js';
import {ConfigurationDecoder, FleetCommands} from './FleetCommands.js';
import {EntryFeeds} from './EntryFeeds.js';
import {
  ControlIdentity,
  ExchangeReply,
  ExchangeRequest,
  FleetDescription,
  FLEET_METHODS,
  FleetUpdate,
  SyncReply,
  SyncRequest,
} from './fleetMessages.js';
import {FLEET_LINK_TIMEOUTS} from './linkTimeouts.js';
import {FleetMetrics} from './FleetMetrics.js';
import {GroupManager} from './GroupManager.js';
import {LogMember, buildFirstMember} from './LogMember.js';
import {RolloutDriver} from './RolloutDriver.js';
import {RegistryTimeouts, ServerRegistry} from './ServerRegistry.js';
import {LoadExchange} from './LoadExchange.js';

const log = createLogger('fleet');

const EXPIRY_INTERVAL_MS = 500;
/** Consensus between instances some milliseconds apart, with disks of some milliseconds a sync. */
const FLEET_RAFT_TIMING: RaftTiming = {
  heartbeatMs: 100,
  electionMinMs: 500,
  electionMaxMs: 1_000,
  // Ten times a vote with its two syncs, so that two candidates seldom meet.
  startupElectionMaxMs: 300,
  requestTimeoutMs: 400,
  chunkTimeoutMs: 1_000,
  catchUpTimeoutMs: 4_000,
};

/** Settings of a FleetNode. @public */
export interface FleetNodeOptions {
  readonly instance: string;
  /** IP address on which links are accepted. */
  readonly host: string;
  readonly peerPort: number;
  readonly peerKey: string;
  /** Addresses of the links of some control instances. */
  readonly seeds: readonly string[];
  /** Whether this is the first start of the whole system, with empty disks. */
  readonly isFirstStart: boolean;
  readonly dataFolder: string;
  /** Disks whose loss at the same time must be survived. */
  readonly faults: number;
  readonly registry: RegistryTimeouts;
  readonly maxCanaryShare: number;
  readonly decodeConfiguration: ConfigurationDecoder;
}

/**
 * One control instance of a fleet with declared routes: holds the configuration and the
 * roll-outs in the replicated log, the backend servers in memory, and tells the entries.
 *
 * @public
 */
export class FleetNode {
  /** Operators' commands and queries. */
  readonly commands: FleetCommands;
  readonly metrics = new FleetMetrics(() => this.readGauges());
  private readonly links: LinkPool;
  private readonly consensusLinks: LinkPool;
  private readonly host: LogMember;
  private readonly peers: ControlPeers;
  private readonly registry: ServerRegistry;
  private readonly feeds: EntryFeeds;
  private readonly hub = new LoadExchange();
  private readonly keeper: GroupManager;
  private readonly driver: RolloutDriver;
  private readonly wireServer: WireServer;
  private readonly incarnation = randomUUID();
  private readonly address: string;
  private expiryTimer: NodeJS.Timeout | undefined;
  private isResetting = false;

  constructor(private readonly options: FleetNodeOptions) {
    const {instance, peerKey, host, peerPort} = options;
    this.address = `${host}:${peerPort}`;
    const pool = {name: instance, peerKey, timeouts: FLEET_LINK_TIMEOUTS};
    this.links = new LinkPool(pool);
    // Apart from other traffic, so that a large configuration does not hold up heartbeats.
    this.consensusLinks = new LinkPool(pool);
    this.registry = new ServerRegistry(options.registry);
    this.feeds = new EntryFeeds({
      listServers: () => this.registry.list(),
      findServer: id => this.registry.find(id),
      getConfigurationVersion: () => this.host.state.configuration.version,
      listRollouts: () => this.host.state.listRollouts(),
      listControls: () => this.peers.listAddresses(),
      isLeading: () => this.host.isLeader,
    });
    this.host = new LogMember({
      instance,
      folder: `${options.dataFolder}/log`,
      transport: new WireTransport(this.consensusLinks),
      timing: FLEET_RAFT_TIMING,
      onChange: () => this.feeds.markStateChanged(),
      onLeading: () => this.handleLeading(),
    });
    this.peers = new ControlPeers({
      links: this.links,
      seeds: options.seeds,
      getIdentity: () => this.describeIdentity(),
      listRegistrations: () =>
        this.registry.list().map(({registration}) => registration),
      onRemoved: () => this.resetMember(),
    });
    this.keeper = new GroupManager({
      host: this.host,
      peers: this.peers,
      faults: options.faults,
    });
    this.commands = new FleetCommands({
      host: this.host,
      groupManager: this.keeper,
      links: this.links,
      peerPort,
      decodeConfiguration: options.decodeConfiguration,
    });
    this.driver = new RolloutDriver({
      host: this.host,
      registry: this.registry,
      loadExchange: this.hub,
      maxCanaryShare: options.maxCanaryShare,
    });
    this.wireServer = new WireServer({
      host,
      port: peerPort,
      peerKey,
      timeouts: FLEET_LINK_TIMEOUTS,
      methods: this.createMethods(),
    });
  }

  // Commands.

  /** Begins to take part. */
  async start(): Promise<void> {
    await this.wireServer.start();
    this.peers.start();
    this.expiryTimer = setInterval(
      () => this.expireServers(),
      EXPIRY_INTERVAL_MS,
    );
    void this.keeper.run();
    void this.driver.run();
    await this.host.start(this.describeFirstGroup());
  }

  /**
   * Takes what a backend server says of itself. Returns once another instance knows of it too,
   * where it says that it leaves.
   *
   * @throws SycamoreheadError `control_unavailable` where no other instance could be told.
   */
  async register(registration: ServerRegistration): Promise<void> {
    const isChanged = this.takeRegistration(registration);
    const known = this.registry.find(registration.id)?.registration;
    if (known === undefined || known.state === 'ready') {
      if (known) this.peers.publish(known);
      return;
    }
    if (isChanged) {
      writeDecision('server_leaves', {
        server: known.id,
        state: known.state,
        sequence: known.sequence,
      });
    }
    if (await this.peers.publishNow(known)) return;
    throw new SycamoreheadError(
      'control_unavailable',
      'no other control instance holds this',
    );
  }

  /** Takes a backend server's word that it has gone. */
  async withdraw(id: string): Promise<void> {
    const known = this.registry.find(id)?.registration;
    if (!known) return;
    await this.register({
      ...known,
      state: 'gone',
      sequence: known.sequence + 1,
    });
  }

  /** Takes further seeds, after the settings have changed. */
  addSeeds(seeds: readonly string[]): void {
    this.peers.addAddresses(seeds);
  }

  /** Hands leadership over and stops. */
  async stop(): Promise<void> {
    clearInterval(this.expiryTimer);
    this.keeper.stop();
    this.driver.stop();
    this.peers.stop();
    await this.host.stop();
    this.links.stop();
    this.consensusLinks.stop();
    await this.wireServer.stop();
  }

  // Queries.

  /** Describes what this instance has applied and knows; it may lag behind the leader. */
  describe(): FleetDescription {
    const {host, options} = this;
    const status = host.member?.getStatus();
    const {version, document} = host.state.configuration;
    return {
      instance: options.instance,
      role: status?.role ?? 'opening',
      leader: host.leader,
      term: status?.term ?? 0,
      members: status?.members ?? [],
      configuration:
        version > 0 ? options.decodeConfiguration(document) : undefined,
      rollouts: host.state.listRollouts(),
      servers: this.registry.list(),
    };
  }

  // Links.

  private createMethods() {
    return {
      ...createConsensusMethods(() => [this.host.requireNode()]),
      ...this.commands.createMethods(),
      [FLEET_METHODS.sync]: (request: SyncRequest) => this.answerSync(request),
      [FLEET_METHODS.subscribe]: (
        {entry}: {entry: string},
        link: PeerLink,
      ): FleetUpdate => this.feeds.subscribe(link, entry),
      [FLEET_METHODS.fetchConfiguration]: () => this.host.state.configuration,
      [FLEET_METHODS.describe]: () => this.describe(),
      [FLEET_METHODS.exchange]: (request: ExchangeRequest): ExchangeReply =>
        this.hub.exchange(request),
    };
  }

  private async answerSync(request: SyncRequest): Promise<SyncReply> {
    for (const registration of request.registrations) {
      this.takeRegistration(registration);
    }
    this.peers.recordIdentity(request.from);
    this.peers.addAddresses(request.peers);
    return {
      from: this.describeIdentity(),
      peers: this.peers.listAddresses(),
      isRemoved: await this.keeper.isRemoved(request.from),
    };
  }

  // State.

  private takeRegistration(registration: ServerRegistration): boolean {
    const known = this.registry.find(registration.id);
    const isChanged = this.registry.accept(registration);
    if (!isChanged) return false;
    writeDecision('server_changed', {
      server: registration.id,
      service: registration.service,
      state: registration.state,
      was: known?.registration.state ?? 'unknown',
      sequence: registration.sequence,
    });
    this.feeds.markServerChanged(registration.id);
    this.metrics.countServerChange(registration.state);
    return true;
  }

  private expireServers(): void {
    const {changed, dropped} = this.registry.expire();
    for (const id of [...changed, ...dropped]) {
      writeDecision('server_silent', {server: id});
      this.feeds.markServerChanged(id);
    }
  }

  private describeIdentity(): ControlIdentity {
    const identity = this.host.member?.getIdentity();
    return {
      address: this.address,
      instance: this.options.instance,
      incarnation: this.incarnation,
      memberId: identity?.id ?? '',
      group: identity?.group ?? '',
      isStoring: true,
    };
  }

  private describeFirstGroup() {
    const {isFirstStart, seeds, peerPort} = this.options;
    if (!isFirstStart || !seeds.includes(this.address)) return undefined;
    const addresses = [...seeds].sort();
    const members = addresses.map(address =>
      buildFirstMember(address.slice(0, -`:${peerPort}`.length), address),
    );
    return {group: `first-${addresses.join('-')}`, members};
  }

  private handleLeading(): void {
    writeDecision('leading', {
      instance: this.options.instance,
      term: this.host.member?.getStatus().term,
    });
    this.metrics.countElection();
    this.feeds.markStateChanged();
  }

  private readGauges() {
    const {host, registry, feeds} = this;
    return {
      configurationVersion: host.state.configuration.version,
      isLeader: host.isLeader,
      members: host.member?.getStatus().members?.length ?? 0,
      servers: registry.list().length,
      entries: feeds.entryCount,
    };
  }

  private resetMember(): void {
    if (this.isResetting) return;
    this.isResetting = true;
    this.host.reset().then(
      () => (this.isResetting = false),
      (error: unknown) => {
        this.isResetting = false;
        log('reset_failed', {error: String(error)});
      },
    );
  }
}
