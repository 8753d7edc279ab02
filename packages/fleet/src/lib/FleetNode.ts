import {randomUUID} from 'node:crypto';
import {
  FileDisk,
  LinkPool,
  WireTransport,
  createConsensusMethods,
} from '@sycamorehead/consensus';
import {ServerRegistration, SycamoreheadError} from '@sycamorehead/schema';
import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import {PeerLink, WireServer} from '@sycamorehead/wire';
import {ControlPeers} from './ControlPeers.js';
import {ConfigurationDecoder, FleetCommands} from './FleetCommands.js';
import {DigestSender} from './DigestSender.js';
import {EntryFeeds} from './EntryFeeds.js';
import {EntryReports} from './EntryReports.js';
import {
  ControlIdentity,
  ExchangeReply,
  ExchangeRequest,
  FleetDescription,
  FLEET_METHODS,
  FleetUpdate,
  LoadDigest,
  SyncReply,
  SyncRequest,
} from './fleetMessages.js';
import {FLEET_RAFT_TIMING} from './fleetRaftTiming.js';
import {FLEET_LINK_TIMEOUTS} from './linkTimeouts.js';
import {FleetMetrics} from './FleetMetrics.js';
import {GroupManager} from './GroupManager.js';
import {KnownDataCentres} from './KnownDataCentres.js';
import {LogMember, buildFirstGroup} from './LogMember.js';
import {QuarantineDriver} from './QuarantineDriver.js';
import {RolloutDriver} from './RolloutDriver.js';
import {RegistryTimeouts, ServerRegistry} from './ServerRegistry.js';
import {ServiceWarmups} from './ServiceWarmups.js';
import {StateConfirmation} from './StateConfirmation.js';
import type {ColdBound} from './computeColdRate.js';

const log = createLogger('fleet');

const EXPIRY_INTERVAL_MS = 500;

/** Settings of a FleetNode. @public */
export interface FleetNodeOptions {
  readonly instance: string;
  readonly dataCentre: string;
  /** All data centres; empty if the settings list none. */
  readonly dataCentres: readonly string[];
  /** IP address on which links are accepted. */
  readonly host: string;
  readonly peerPort: number;
  readonly peerKey: string;
  /** Peer addresses of some control instances. */
  readonly seeds: readonly string[];
  /** Whether the whole system starts for the first time, with empty disks. */
  readonly isFirstStart: boolean;
  readonly dataFolder: string;
  /** Number of disks whose simultaneous loss must be survived. */
  readonly faults: number;
  readonly registry: RegistryTimeouts;
  readonly maxCanaryShare: number;
  /** The bound on sends to cold servers; the default if absent. */
  readonly coldBound?: ColdBound | undefined;
  readonly decodeConfiguration: ConfigurationDecoder;
}

/**
 * One control instance of a fleet with declared routes. It stores the configuration and the
 * roll-outs in the replicated log and the backend servers in memory, and notifies the entries.
 *
 * @public
 */
export class FleetNode {
  /** Operators' commands and queries. */
  readonly commands: FleetCommands;
  readonly metrics = new FleetMetrics(() => this.readGauges());
  private readonly links: LinkPool;
  private readonly consensusLinks: LinkPool;
  private readonly bulkLinks: LinkPool;
  private readonly logMember: LogMember;
  private readonly peers: ControlPeers;
  private readonly registry: ServerRegistry;
  private readonly feeds: EntryFeeds;
  private readonly reports: EntryReports;
  private readonly digests: DigestSender;
  private readonly groupManager: GroupManager;
  private readonly rolloutDriver: RolloutDriver;
  private readonly quarantineDriver: QuarantineDriver;
  private readonly confirmation: StateConfirmation;
  private readonly wireServer: WireServer;
  private readonly incarnation = randomUUID();
  private readonly address: string;
  private expiryTimer: NodeJS.Timeout | undefined;
  private isResetting = false;

  constructor(private readonly options: FleetNodeOptions) {
    const {instance, peerKey, host, peerPort} = options;
    this.address = `${host}:${peerPort}`;
    const poolOptions = {
      name: instance,
      peerKey,
      timeouts: FLEET_LINK_TIMEOUTS,
    };
    this.links = new LinkPool(poolOptions);
    // A separate pool, so that transferring a large configuration does not delay heartbeats.
    this.consensusLinks = new LinkPool(poolOptions);
    this.bulkLinks = new LinkPool(poolOptions);
    const warmups = new ServiceWarmups(
      options.decodeConfiguration,
      () => this.logMember.state.configuration,
      id => this.registry.find(id)?.registration,
    );
    this.registry = new ServerRegistry(
      options.registry,
      service => warmups.findByService(service) !== undefined,
    );
    this.feeds = new EntryFeeds({
      registry: this.registry,
      getConfigurationVersion: () => this.logMember.state.configuration.version,
      listRollouts: () => this.logMember.state.listRollouts(),
      describeQuarantine: () => this.logMember.state.describeQuarantine(),
      describeEvacuation: () => this.confirmation.state?.describeEvacuations(),
      listLimits: () => this.reports.limits.buildTable(),
      listControls: () => this.peers.listAddresses(),
      isLeading: () => this.logMember.isLeader,
      dataCentre: options.dataCentre,
    });
    this.reports = new EntryReports({
      coldBound: options.coldBound,
      findWarmup: key => warmups.find(key),
      onColdGrant: (wanted, granted) =>
        this.metrics.countColdPermits(wanted, granted),
      instance,
      incarnation: this.incarnation,
      countControls: () => this.peers.listAddresses().length,
      listQuarantined: () =>
        this.logMember.state.describeQuarantine().combinations,
    });
    this.logMember = new LogMember({
      instance,
      createDisk: () => new FileDisk(`${options.dataFolder}/log`),
      transport: new WireTransport(this.consensusLinks, this.bulkLinks),
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
    this.digests = new DigestSender({
      reports: this.reports,
      peers: this.peers,
      links: this.links,
    });
    this.groupManager = new GroupManager({
      logMember: this.logMember,
      peers: this.peers,
      faults: options.faults,
    });
    const dataCentres = new KnownDataCentres({
      own: options.dataCentre,
      configured: options.dataCentres,
      registry: this.registry,
    });
    this.commands = new FleetCommands({
      logMember: this.logMember,
      groupManager: this.groupManager,
      links: this.links,
      peerPort,
      decodeConfiguration: options.decodeConfiguration,
      isKnownDataCentre: name => dataCentres.has(name),
    });
    this.confirmation = new StateConfirmation({
      getState: () => this.logMember.state,
      awaitCommitted: () => this.commands.awaitCommitted(),
      onConfirmed: () => this.feeds.markStateChanged(),
    });
    this.rolloutDriver = new RolloutDriver({
      logMember: this.logMember,
      registry: this.registry,
      loadExchange: this.reports.load,
      maxCanaryShare: options.maxCanaryShare,
    });
    this.quarantineDriver = new QuarantineDriver({
      logMember: this.logMember,
      crashPool: this.reports.crashes,
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

  /** Starts the server and the tasks, and opens the replicated log. */
  async start(): Promise<void> {
    await this.wireServer.start();
    this.peers.start();
    this.expiryTimer = setInterval(
      () => this.expireServers(),
      EXPIRY_INTERVAL_MS,
    );
    this.digests.start();
    void this.groupManager.run();
    void this.rolloutDriver.run();
    void this.quarantineDriver.run();
    void this.confirmation.run();
    await this.logMember.start(buildFirstGroup(this.options, this.address));
  }

  /**
   * Accepts a backend server's registration. If the server leaves, returns only once another
   * instance has stored the registration too.
   *
   * @throws SycamoreheadError `control_unavailable` if no other instance could be notified.
   */
  async register(registration: ServerRegistration): Promise<void> {
    const isChanged = this.acceptRegistration(registration);
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

  /** Accepts a backend server's report that it has stopped. */
  async withdraw(id: string): Promise<void> {
    const known = this.registry.find(id)?.registration;
    if (!known) return;
    await this.register({
      ...known,
      state: 'gone',
      sequence: known.sequence + 1,
    });
  }

  /** Adds seeds after the settings have changed. */
  addSeeds(seeds: readonly string[]): void {
    this.peers.addAddresses(seeds);
  }

  /** Transfers leadership and stops. */
  async stop(): Promise<void> {
    clearInterval(this.expiryTimer);
    this.digests.stop();
    this.groupManager.stop();
    this.rolloutDriver.stop();
    this.quarantineDriver.stop();
    this.confirmation.stop();
    this.peers.stop();
    await this.logMember.stop();
    const {links, consensusLinks, bulkLinks} = this;
    for (const pool of [links, consensusLinks, bulkLinks]) pool.stop();
    await this.wireServer.stop();
  }

  // Queries.

  /**
   * Describes the state of the fleet once this instance has applied all that is committed. One that
   * reaches no leader describes what it knows, as not confirmed.
   */
  async describeCommitted(): Promise<FleetDescription> {
    try {
      await this.commands.awaitCommitted();
    } catch (error) {
      log('not_confirmed', {error: String(error)});
      return this.describe();
    }
    return {...this.describe(), isConfirmed: true};
  }

  /** Describes the state that this instance has applied; it may lag behind the leader. */
  describe(): FleetDescription {
    const {logMember, options} = this;
    const status = logMember.raftNode?.getStatus();
    const {version, document} = logMember.state.configuration;
    return {
      instance: options.instance,
      isConfirmed: false,
      role: status?.role ?? 'opening',
      leader: logMember.leader,
      term: status?.term ?? 0,
      members: status?.members ?? [],
      configuration:
        version > 0 ? options.decodeConfiguration(document) : undefined,
      rollouts: logMember.state.listRollouts(),
      servers: this.registry.list(),
      quarantined: logMember.state.listQuarantined(),
      evacuated: logMember.state.describeEvacuation().dataCentres,
      limits: this.reports.limits.buildTable(),
    };
  }

  // Links.

  private createMethods() {
    return {
      ...createConsensusMethods(() => [this.logMember.requireNode()]),
      ...this.commands.createMethods(),
      [FLEET_METHODS.sync]: (request: SyncRequest) => this.answerSync(request),
      [FLEET_METHODS.subscribe]: (
        {entry}: {entry: string},
        link: PeerLink,
      ): FleetUpdate => this.feeds.subscribe(link, entry),
      [FLEET_METHODS.fetchConfiguration]: () =>
        this.logMember.state.configuration,
      [FLEET_METHODS.describe]: () => this.describeCommitted(),
      [FLEET_METHODS.exchange]: (request: ExchangeRequest): ExchangeReply =>
        this.reports.exchange(request),
      [FLEET_METHODS.digest]: (digest: LoadDigest) =>
        this.reports.acceptDigest(digest),
    };
  }

  private async answerSync(request: SyncRequest): Promise<SyncReply> {
    for (const registration of request.registrations) {
      this.acceptRegistration(registration);
    }
    this.peers.recordIdentity(request.from);
    this.peers.addAddresses(request.peers);
    return {
      from: this.describeIdentity(),
      peers: this.peers.listAddresses(),
      isRemoved: await this.groupManager.isRemoved(request.from),
    };
  }

  // State.

  private acceptRegistration(registration: ServerRegistration): boolean {
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
    const identity = this.logMember.raftNode?.getIdentity();
    return {
      address: this.address,
      instance: this.options.instance,
      incarnation: this.incarnation,
      memberId: identity?.id ?? '',
      group: identity?.group ?? '',
      isStoring: true,
    };
  }

  private handleLeading(): void {
    writeDecision('leading', {
      instance: this.options.instance,
      term: this.logMember.raftNode?.getStatus().term,
    });
    this.metrics.countElection();
    this.feeds.markStateChanged();
  }

  private readGauges() {
    const {logMember, registry, feeds} = this;
    const status = logMember.raftNode?.getStatus();
    return {
      configurationVersion: logMember.state.configuration.version,
      isLeader: logMember.isLeader,
      members: status?.members?.length ?? 0,
      logBytes: status?.retainedBytes ?? 0,
      servers: registry.list().length,
      entries: feeds.entryCount,
      evacuated: logMember.state.describeEvacuation().dataCentres.length,
    };
  }

  private resetMember(): void {
    if (this.isResetting) return;
    this.isResetting = true;
    this.logMember.reset().then(
      () => (this.isResetting = false),
      (error: unknown) => {
        this.isResetting = false;
        log('reset_failed', {error: String(error)});
      },
    );
  }
}
