import {
  ControlApi,
  EvidenceSink,
  PlacementApi,
  SycamoreheadError,
  isSameKey,
  parseAnnouncement,
} from '@sycamorehead/schema';
import {
  EntryMetrics,
  createClientMetrics,
  createEntryMetrics,
  createLogger,
  TlsMaterial,
} from '@sycamorehead/telemetry';
import {
  BackendServerDirectory,
  PEER_LINK_TIMEOUTS,
  PeerGossip,
} from '@sycamorehead/membership';
import {ClientLimits, PeerAddress, WireServer} from '@sycamorehead/wire';
import {
  Router,
  RouterOptions,
  UsageExchange,
  UsageReporter,
} from '@sycamorehead/routing';
import {readBearerKey} from './authenticateCustomer.js';
import type {AnswerPlannerName} from './answerPlanners.js';
import {
  BackendClient,
  BackendTimeouts,
  DEFAULT_BACKEND_TIMEOUTS,
} from './BackendClient.js';
import {ChatService} from './ChatService.js';
import {CommitQueue} from './CommitQueue.js';
import {ConfigurationManager} from './ConfigurationManager.js';
import {DEFAULT_ENTRY_TIMEOUTS, EntryTimeouts} from './entryTimeouts.js';
import {EntryServer, Route} from './EntryServer.js';
import {RatingSettings} from './feedback/RatingClient.js';
import {VersionFeedback} from './feedback/VersionFeedback.js';
import type {HttpExchange} from './HttpExchange.js';
import {PlainServiceProxy} from './PlainServiceProxy.js';
import {ServerReporter} from './ServerReporter.js';
import {VersionResolver} from './VersionResolver.js';

const log = createLogger('entry');

const MAX_ANNOUNCEMENT_BYTES = 64 * 1024;
/** Time after its start when an entry is ready even if it knows no backend server, in ms. */
const WARM_UP_LIMIT_MS = 5_000;
/** Maximum time for which a shutdown waits for bills to be recorded, in milliseconds. */
const COMMIT_DRAIN_MS = 60_000;

/** Settings of an Entry. @public */
export interface EntryOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly host: string;
  readonly port: number;
  /** Port for links from other entries. */
  readonly peerPort: number;
  readonly peers: readonly PeerAddress[];
  /** Key that authenticates links between the system's own instances. */
  readonly peerKey: string;
  /** TLS on links between the system's own instances. */
  readonly peerTls?: TlsMaterial;
  /** TLS on connections from callers and backend servers. */
  readonly tls?: TlsMaterial;
  /** What callers may cost this process; by default what its machine allows. */
  readonly clientLimits?: ClientLimits;
  /** Key that authenticates the announcements of backend servers. */
  readonly serverKey: string;
  readonly control: ControlApi & Partial<PlacementApi>;
  /** Receives the evidence on versions. */
  readonly evidence?: EvidenceSink;
  /** The rating service; if absent, no answer is rated. */
  readonly ratings?: RatingSettings;
  /** Key with which operators request the reason for a choice of version; if absent, none can. */
  readonly debugKey?: string;
  readonly backendTimeouts?: BackendTimeouts;
  readonly policies?: Omit<RouterOptions, 'directory'>;
  readonly timeouts?: EntryTimeouts;
  readonly answerPlanner?: AnswerPlannerName;
  /** Time for which requests are still served after a shutdown begins, in milliseconds. */
  readonly balancerLagMs?: number;
}

/** Ports that a started entry listens on. @public */
export interface EntryPorts {
  readonly port: number;
  readonly peerPort: number;
}

/**
 * One entry instance. It owns all components between the callers' connections and the backend
 * servers.
 *
 * @public
 */
export class Entry {
  readonly directory = new BackendServerDirectory();
  readonly metrics: EntryMetrics = createEntryMetrics();
  readonly configuration: ConfigurationManager;
  readonly router: Router;
  private readonly feedback: VersionFeedback;
  private readonly gossip: PeerGossip;
  private readonly usage: UsageExchange;
  private readonly reporter: ServerReporter;
  private readonly peerServer: WireServer;
  private readonly backends: BackendClient;
  private readonly commits: CommitQueue;
  private readonly server: EntryServer;
  private readonly chat: ChatService;
  private readonly services: PlainServiceProxy;
  private readonly startedAt = performance.now();
  private running = 0;
  private idleListener: (() => void) | undefined;
  private isLeaving = false;
  private isRefusing = false;

  constructor(private readonly options: EntryOptions) {
    const {name, peerKey, peerTls, peers, control, policies} = options;
    const {directory, metrics} = this;
    this.configuration = new ConfigurationManager(name, control);
    this.feedback = new VersionFeedback({
      entry: name,
      configuration: this.configuration,
      sink: options.evidence,
      ratings: options.ratings,
    });
    this.router = new Router({
      directory,
      dataCentre: options.dataCentre,
      quality: this.feedback.quality,
      canExplore: () => this.feedback.isRatingServiceHealthy(),
      onOutcome: outcome => this.feedback.observeAttempt(outcome),
      ...policies,
    });
    const backendTimeouts = options.backendTimeouts ?? DEFAULT_BACKEND_TIMEOUTS;
    const timeouts = options.timeouts ?? DEFAULT_ENTRY_TIMEOUTS;
    this.backends = new BackendClient(backendTimeouts);
    this.commits = new CommitQueue(timeouts.commitWaitMs);
    this.gossip = new PeerGossip({name, peers, peerKey, peerTls, directory});
    this.usage = new UsageExchange({
      name,
      peers,
      peerKey,
      peerTls,
      reporter: new UsageReporter({
        entry: name,
        directory,
        router: this.router,
      }),
    });
    this.reporter = new ServerReporter(name, directory, control);
    this.peerServer = new WireServer({
      host: options.host,
      port: options.peerPort,
      peerKey,
      tls: peerTls,
      methods: {...this.gossip.getMethods(), ...this.usage.getMethods()},
      timeouts: PEER_LINK_TIMEOUTS,
    });
    const sharedDependencies = {
      backends: this.backends,
      configuration: this.configuration,
      control,
      metrics,
      commits: this.commits,
      entryName: name,
    };
    const {router, configuration} = this;
    this.chat = new ChatService({
      ...sharedDependencies,
      router,
      versions: new VersionResolver({router, configuration, control}),
      timeouts,
      planner: options.answerPlanner,
      feedback: this.feedback,
      debugKey: options.debugKey,
    });
    this.services = new PlainServiceProxy({
      ...sharedDependencies,
      directory,
      serviceMs: backendTimeouts.serviceMs,
    });
    const clientLimits = options.clientLimits ?? new ClientLimits();
    createClientMetrics(metrics.registry, () => clientLimits.readUsage());
    this.server = new EntryServer(this.getRoutes(), clientLimits, options.tls);
  }

  /** Starts all components and returns the ports. */
  async start(): Promise<EntryPorts> {
    const {host, port} = this.options;
    const peerPort = await this.peerServer.start();
    this.gossip.start({host, port: peerPort});
    this.usage.start();
    this.reporter.start();
    this.configuration.start();
    this.feedback.start();
    const ports = {port: await this.server.start(host, port), peerPort};
    log('entry_started', {name: this.options.name, ...ports});
    return ports;
  }

  /**
   * Shuts down gracefully. The entry first reports that it is not ready, but still serves requests
   * for as long as the load balancer takes to notice. Then it refuses new requests and finishes the
   * running ones. Returns once every bill is recorded.
   */
  async stop(): Promise<void> {
    this.isLeaving = true;
    log('entry_leaving', {running: this.running});
    await new Promise(resolve =>
      setTimeout(resolve, this.options.balancerLagMs ?? 0),
    );
    this.isRefusing = true;
    // The port stays open meanwhile, so that a late request is refused with an error response.
    await this.waitUntilIdle();
    await this.server.stop();
    await this.feedback.stop();
    await this.commits.drain(COMMIT_DRAIN_MS);
    this.configuration.stop();
    this.reporter.stop();
    this.gossip.stop();
    this.usage.stop();
    await this.peerServer.stop();
    await this.backends.stop();
    log('entry_stopped', {name: this.options.name});
  }

  /** Returns whether the load balancer should send requests to this entry. */
  isReady(): boolean {
    return !this.isLeaving && this.configuration.getStatus().leaseLeftMs > 0;
  }

  /**
   * Returns whether this entry knows a ready backend server or has waited long enough for one. A
   * restarted entry may receive its lease before its peers have reported the servers.
   */
  private isWarm(): boolean {
    if (this.directory.listReady().length > 0) return true;
    return performance.now() - this.startedAt > WARM_UP_LIMIT_MS;
  }

  /**
   * Returns the number of requests being served plus that of commits not yet acknowledged by
   * control.
   */
  countUnfinished(): number {
    return this.running + this.commits.countPending();
  }

  private getRoutes(): Route[] {
    return [
      {
        method: 'POST',
        path: /^\/v1\/chat\/completions$/,
        handler: exchange =>
          this.track(exchange, () => this.chat.serve(exchange)),
      },
      {
        path: /^\/services\//,
        handler: exchange =>
          this.track(exchange, () => this.services.serve(exchange)),
      },
      {
        method: 'PUT',
        path: /^\/v1\/backend-servers\/[^/]+$/,
        handler: exchange => this.receiveAnnouncement(exchange),
      },
      {
        method: 'GET',
        path: /^\/v1\/in-force$/,
        handler: exchange =>
          exchange.sendJson(200, this.configuration.getStatus()),
      },
      {
        method: 'GET',
        path: /^\/healthz$/,
        handler: exchange => exchange.sendJson(200, {status: 'ok'}),
      },
      {
        method: 'GET',
        path: /^\/readyz$/,
        handler: exchange => this.sendReadiness(exchange),
      },
      {
        method: 'GET',
        path: /^\/metrics$/,
        handler: exchange => this.sendMetrics(exchange),
      },
    ];
  }

  private async track(
    exchange: HttpExchange,
    serve: () => Promise<void>,
  ): Promise<void> {
    if (this.isRefusing) {
      exchange.response.setHeader('Connection', 'close');
      throw new SycamoreheadError('stopping', 'this entry is shutting down');
    }
    if (this.isLeaving) exchange.response.setHeader('Connection', 'close');
    this.running += 1;
    this.metrics.running.set(this.running);
    try {
      await serve();
    } finally {
      this.running -= 1;
      this.metrics.running.set(this.running);
      if (this.running === 0) this.idleListener?.();
    }
  }

  private async waitUntilIdle(): Promise<void> {
    if (this.running === 0) return;
    await new Promise<void>(resolve => {
      this.idleListener = resolve;
    });
  }

  private async receiveAnnouncement(exchange: HttpExchange): Promise<void> {
    const key = readBearerKey(exchange.request.headers);
    if (!isSameKey(key, this.options.serverKey)) {
      throw new SycamoreheadError('unauthenticated', 'wrong server key');
    }
    const announcement = parseAnnouncement(
      await exchange.readJson(MAX_ANNOUNCEMENT_BYTES),
    );
    const id = exchange.url.pathname.split('/').at(-1);
    if (announcement.id !== id) {
      throw new SycamoreheadError(
        'malformed_request',
        `id: expected ${id} as in the path`,
        {field: 'id'},
      );
    }
    exchange.sendJson(200, await this.gossip.receive(announcement));
  }

  private sendReadiness(exchange: HttpExchange): void {
    const isReady = this.isReady() && this.isWarm();
    exchange.sendJson(isReady ? 200 : 503, {ready: isReady});
  }

  private async sendMetrics(exchange: HttpExchange): Promise<void> {
    const {registry, revision, leaseSeconds} = this.metrics;
    const status = this.configuration.getStatus();
    revision.set(status.revision);
    leaseSeconds.set(status.leaseLeftMs / 1_000);
    exchange.response.writeHead(200, {'content-type': registry.contentType});
    exchange.response.end(await registry.metrics());
  }
}
