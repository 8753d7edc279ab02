import type {JsonValue, RouteConfiguration} from '@sycamorehead/schema';
import {
  FleetLinks,
  FleetUpdate,
  StoredConfiguration,
} from '@sycamorehead/fleet';
import {
  AnswerValues,
  ConfidenceGains,
  EngineTimePrices,
  PrefillRates,
  RetryBudgetOptions,
} from '@sycamorehead/routing';
import {
  createClientMetrics,
  createLogger,
  writeDecision,
} from '@sycamorehead/telemetry';
import {ClientLimits} from '@sycamorehead/wire';
import {AnswerTimes} from './AnswerTimes.js';
import {CrashObserver} from './CrashObserver.js';
import {EntryMonitor} from './EntryMonitor.js';
import {explainRequest} from './explainRequest.js';
import {ForwardedRequest} from './ForwardedRequest.js';
import {GatewayMetrics} from './GatewayMetrics.js';
import {GatewayServer} from './GatewayServer.js';
import type {ForwardContext, GatewayPolicies} from './gatewayTypes.js';
import type {HeaderNames} from './headerNames.js';
import {LoadReporter} from './LoadReporter.js';
import {OperatorServer} from './OperatorServer.js';
import {Placement} from './Placement.js';
import {RetryBudgets} from './RetryBudgets.js';
import {RouteTable} from './RouteTable.js';
import {SegmentQuarantine} from './SegmentQuarantine.js';
import {ServerTable} from './ServerTable.js';
import {StartupGate} from './StartupGate.js';
import {VersionSplit} from './VersionSplit.js';

const log = createLogger('gateway');

/** Time between two exchanges of load, in milliseconds. */
const EXCHANGE_INTERVAL_MS = 100;

/** Settings of a Gateway. @public */
export interface GatewayOptions {
  readonly name: string;
  readonly dataCentre: string;
  /** IP address and port for callers. */
  readonly host: string;
  readonly port: number;
  /** Address for operators' questions; none are answered if it is undefined. */
  readonly operators?: {readonly host: string; readonly port: number};
  readonly peerKey: string;
  readonly seeds: readonly string[];
  readonly names: HeaderNames;
  readonly policies: GatewayPolicies;
  readonly retryBudget: RetryBudgetOptions;
  readonly sessionMs: number;
  /** The longest time that a stop may take, in milliseconds. */
  readonly graceMs: number;
  /** Bandwidth of this entry's link, in megabits a second; undefined if it is not known. */
  readonly linkMbps?: number;
  /** What callers may cost this process; by default what its machine allows. */
  readonly clientLimits?: ClientLimits;
  readonly decodeConfiguration: (document: JsonValue) => RouteConfiguration;
}

/**
 * An entry of a fleet with declared routes. It accepts callers' requests and forwards them to
 * backend servers, according to the configuration, roll-outs and servers that the control
 * instances report.
 *
 * @public
 */
export class Gateway {
  readonly metrics = new GatewayMetrics();
  private readonly servers = new ServerTable();
  private readonly rates = new PrefillRates();
  private readonly startup = new StartupGate();
  private readonly crashes = new CrashObserver();
  private readonly quarantine = new SegmentQuarantine(segments =>
    this.crashes.recordSound(segments),
  );
  private readonly versions: VersionSplit;
  private readonly budgets: RetryBudgets;
  private readonly placement: Placement;
  private readonly links: FleetLinks;
  private readonly reporter: LoadReporter;
  private readonly server: GatewayServer;
  private readonly monitor: EntryMonitor;
  private readonly operators: OperatorServer | undefined;
  private routes: RouteTable | undefined;
  private isStopping = false;
  private exchangeTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: GatewayOptions) {
    const {names, policies, dataCentre} = options;
    this.servers.evacuation.expectState();
    this.versions = new VersionSplit(options.sessionMs);
    this.budgets = new RetryBudgets(options.retryBudget);
    const times = new AnswerTimes();
    this.placement = new Placement({
      rates: this.rates,
      times,
      servers: this.servers,
      versions: this.versions,
      policy: policies.server,
      dataCentre,
      countEntries: () => this.budgets.countEntries(),
      onMemoryFull: service => this.metrics.recordMemoryFull(service),
    });
    this.monitor = new EntryMonitor({
      linkMbps: options.linkMbps,
      countQueuedBytes: () => this.server.countQueuedBytes(),
    });
    const context: ForwardContext = {
      names,
      monitor: this.monitor,
      policies,
      servers: this.servers,
      versions: this.versions,
      placement: this.placement,
      budgets: this.budgets,
      times,
      rates: this.rates,
      gains: new ConfidenceGains(),
      values: new AnswerValues(policies.answerValue),
      timePrices: new EngineTimePrices(),
      metrics: this.metrics,
      startup: this.startup,
      crashes: this.crashes,
      quarantine: this.quarantine,
      getRoutes: () => this.routes,
    };
    const clientLimits = options.clientLimits ?? new ClientLimits();
    createClientMetrics(this.metrics.registry, () => clientLimits.readUsage());
    this.server = new GatewayServer({
      names,
      clientLimits,
      serve: (request, answer) =>
        new ForwardedRequest(context, request, answer).run(),
    });
    const {operators} = options;
    this.operators =
      operators &&
      new OperatorServer({
        ...operators,
        peerKey: options.peerKey,
        explain: question =>
          explainRequest(
            context,
            {
              name: options.name,
              dataCentre,
              isReady: () => this.isReady(),
            },
            question,
          ),
      });
    this.links = new FleetLinks({
      entry: options.name,
      dataCentre,
      peerKey: options.peerKey,
      seeds: options.seeds,
      onUpdate: update => this.applyUpdate(update),
      onConfiguration: stored => this.applyConfiguration(stored),
    });
    this.reporter = new LoadReporter({
      entry: options.name,
      servers: this.servers,
      versions: this.versions,
      rates: this.rates,
      crashes: this.crashes,
      budgets: this.budgets,
      placement: this.placement,
      exchange: request => this.links.exchange(request),
    });
  }

  // Commands.

  /** Starts to serve callers. */
  async start(): Promise<void> {
    await this.server.listen(this.options.host, this.options.port);
    await this.operators?.start();
    this.links.start();
    this.monitor.start();
    this.exchangeTimer = setInterval(
      () => void this.exchangeLoad(),
      EXCHANGE_INTERVAL_MS,
    );
  }

  /** Applies the settings that may change at run time. */
  updateSettings(settings: {
    seeds: readonly string[];
    retryBudget: RetryBudgetOptions;
  }): void {
    this.links.addControls(settings.seeds);
    this.budgets.setOptions(settings.retryBudget);
  }

  /** Reports that it is not ready, serves the requests that still arrive, and stops. */
  async stop(): Promise<void> {
    this.isStopping = true;
    const operatorsStopped = this.operators?.stop();
    await this.server.stop(this.options.graceMs);
    await operatorsStopped;
    clearInterval(this.exchangeTimer);
    this.monitor.stop();
    this.links.stop();
  }

  // Queries.

  /** Returns whether this entry is ready for new callers. */
  isReady(): boolean {
    if (this.isStopping || this.monitor.isOverloaded) return false;
    return (
      this.routes !== undefined &&
      !this.servers.isEmpty &&
      this.servers.evacuation.isKnown
    );
  }

  private applyUpdate(update: FleetUpdate): void {
    this.servers.filling.update(update);
    this.servers.update(update);
    this.metrics.setEvacuated(this.servers.evacuation.count);
    if (update.rollouts) this.versions.update(update.rollouts);
    if (update.quarantine) this.quarantine.update(update.quarantine);
    if (update.limits) this.servers.limits.addTable(update.limits);
    this.placement.offerSlots();
  }

  private applyConfiguration({version, document}: StoredConfiguration): void {
    if (this.routes && version <= this.routes.version) return;
    const configuration = this.options.decodeConfiguration(document);
    const previous = this.routes?.version;
    this.routes = new RouteTable(configuration);
    this.servers.cold.setServices(configuration.services);
    this.server.setLimits(configuration.limits);
    this.startup.open();
    writeDecision('configuration_in_force', {version, previous});
    this.placement.offerSlots();
  }

  private async exchangeLoad(): Promise<void> {
    const {cold} = this.servers;
    this.metrics.setWaiting(this.placement.countWaiting());
    this.metrics.recordCold(cold.countCold(), cold.takeCounts());
    this.metrics.setWaitingByUrgency(this.placement.countByUrgency());
    this.metrics.setPace(this.monitor.pace);
    try {
      await this.reporter.exchangeReports();
    } catch (error) {
      log('exchange_failed', {error: String(error)});
      this.placement.updateOthersDemand(undefined);
      // Sends to servers with a limit go on at a pace.
      this.placement.offerSlots();
    }
  }
}
