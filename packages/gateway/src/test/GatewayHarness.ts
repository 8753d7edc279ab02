import {Socket, connect} from 'node:net';
import {once} from 'node:events';
import type {RouteConfiguration, RouteDeclaration} from '@sycamorehead/schema';
import type {
  ExchangeReply,
  ExchangeRequest,
  FleetUpdate,
  ServerListing,
} from '@sycamorehead/fleet';
import {
  AnswerValues,
  ConfidenceGains,
  EngineTimePrices,
  PrefillRates,
} from '@sycamorehead/routing';
import {AnswerTimes} from '../lib/AnswerTimes.js';
import {CrashObserver} from '../lib/CrashObserver.js';
import {EntryMonitor} from '../lib/EntryMonitor.js';
import {ForwardedRequest} from '../lib/ForwardedRequest.js';
import {GatewayMetrics} from '../lib/GatewayMetrics.js';
import {GatewayServer} from '../lib/GatewayServer.js';
import type {ForwardContext} from '../lib/gatewayTypes.js';
import type {HeaderNames} from '../lib/headerNames.js';
import {LoadReporter} from '../lib/LoadReporter.js';
import {Placement} from '../lib/Placement.js';
import {RetryBudgets} from '../lib/RetryBudgets.js';
import {RouteTable} from '../lib/RouteTable.js';
import {SegmentQuarantine} from '../lib/SegmentQuarantine.js';
import {ServerTable} from '../lib/ServerTable.js';
import {StartupGate} from '../lib/StartupGate.js';
import {VersionSplit} from '../lib/VersionSplit.js';

export const TEST_NAMES: HeaderNames = {
  requestId: 'x-request-id',
  deadlineMs: 'x-deadline-ms',
  key: 'x-key',
  customer: 'x-customer',
  expectServer: 'x-expect-server',
  serverId: 'x-server-id',
  notExecuted: 'x-not-executed',
  serverLeaving: 'x-leaving',
  serverLimit: 'x-limit',
  coldMs: 'x-cold-ms',
  signature: 'x-signature',
  model: 'x-model',
  tokenUsage: 'x-tokens',
  prefix: 'x-prefix',
  session: 'x-session',
  lastEventId: 'last-event-id',
  priority: 'x-priority',
  confidence: 'x-confidence',
  weightVersion: 'x-weight-versions',
  routerOwned: ['x-customer', 'x-expect-server', 'x-priority'],
};

export function buildRoute(
  overrides: Partial<RouteDeclaration> = {},
): RouteDeclaration {
  return {
    name: 'drafts',
    host: 'shop.example',
    pathPrefix: '/drafts/',
    kind: 'safe',
    services: [{service: 'drafts', weight: 1}],
    timeoutMs: 2_000,
    targetLatencyMs: 400,
    longestPauseMs: 1_000,
    priority: 1,
    maxAttempts: 3,
    isPublic: false,
    isResumable: false,
    models: [],
    ...overrides,
  };
}

export function buildConfiguration(
  routes: RouteDeclaration[],
  overrides: Partial<RouteConfiguration> = {},
): RouteConfiguration {
  return {
    version: 1,
    routes,
    services: [
      {name: 'drafts', healthPath: '/', maxConnections: 50, engine: undefined},
    ],
    limits: {
      maxHeaderBytes: 4_096,
      maxBodyBytes: 1_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 8_000,
    },
    customers: [{name: 'clinic', keys: ['key-1'], priority: undefined}],
    ...overrides,
  };
}

/** Builds a configuration of one route, whose servers are engines. */
export function buildEngineConfiguration(
  route: Partial<RouteDeclaration> = {},
  slots = 64,
): RouteConfiguration {
  return buildConfiguration([buildRoute(route)], {
    services: [
      {
        name: 'drafts',
        healthPath: '/',
        maxConnections: 400,
        engine: {slots, tokenCapacity: 500_000, models: []},
      },
    ],
  });
}

/** Runs the request path of an entry on loopback, without control instances. */
export class GatewayHarness {
  readonly servers = new ServerTable();
  readonly versions = new VersionSplit(5_000);
  readonly crashes = new CrashObserver();
  readonly quarantine = new SegmentQuarantine(segments =>
    this.crashes.recordSound(segments),
  );
  readonly metrics = new GatewayMetrics();
  /** Bytes that seem to wait for the link; read once the monitor has been started. */
  queuedBytes = 0;
  readonly monitor = new EntryMonitor({
    linkMbps: 1,
    countQueuedBytes: () => this.queuedBytes,
  });
  private readonly rates = new PrefillRates();
  private readonly budgets: RetryBudgets;
  private readonly server: GatewayServer;
  private readonly placement: Placement;
  private readonly startup = new StartupGate();
  private routes: RouteTable | undefined;
  private port = 0;

  constructor(private readonly budgetRatio = 1) {
    const times = new AnswerTimes();
    this.placement = new Placement({
      servers: this.servers,
      versions: this.versions,
      rates: this.rates,
      times,
      policy: 'sampled',
      dataCentre: 'a',
      countEntries: () => 1,
    });
    this.budgets = new RetryBudgets({
      ratio: this.budgetRatio,
      slack: this.budgetRatio * 20,
      windowMs: 10_000,
    });
    const context: ForwardContext = {
      names: TEST_NAMES,
      monitor: this.monitor,
      policies: {
        server: 'sampled',
        model: 'expected_value',
        answerValue: 10,
      },
      servers: this.servers,
      versions: this.versions,
      placement: this.placement,
      budgets: this.budgets,
      times,
      rates: this.rates,
      gains: new ConfidenceGains(),
      values: new AnswerValues(10),
      timePrices: new EngineTimePrices(),
      metrics: this.metrics,
      startup: this.startup,
      crashes: this.crashes,
      quarantine: this.quarantine,
      getRoutes: () => this.routes,
    };
    this.server = new GatewayServer({
      names: TEST_NAMES,
      serve: (request, answer) =>
        new ForwardedRequest(context, request, answer).run(),
    });
  }

  /** Builds a reporter that exchanges reports as the entry of that name. */
  buildReporter(
    entry: string,
    exchange: (request: ExchangeRequest) => Promise<ExchangeReply>,
  ): LoadReporter {
    return new LoadReporter({
      entry,
      servers: this.servers,
      versions: this.versions,
      rates: this.rates,
      crashes: this.crashes,
      budgets: this.budgets,
      placement: this.placement,
      exchange,
    });
  }

  async start(
    configuration: RouteConfiguration,
    listings: readonly ServerListing[],
  ): Promise<void> {
    this.setConfiguration(configuration);
    this.list(listings);
    await this.listen();
  }

  /** Listens for callers before any configuration has arrived. */
  async listen(): Promise<void> {
    this.port = await this.server.listen('127.0.0.1', 0);
  }

  setConfiguration(configuration: RouteConfiguration): void {
    this.routes = new RouteTable(configuration);
    this.servers.cold.setServices(configuration.services);
    this.server.setLimits(configuration.limits);
    this.startup.open();
  }

  list(listings: readonly ServerListing[]): void {
    this.update({servers: listings});
  }

  /** Applies an update as from a control instance. */
  update(update: FleetUpdate): void {
    this.servers.filling.update(update);
    this.servers.update(update);
    this.placement.offerSlots();
  }

  /** Applies a report of the other entries by which nobody waits elsewhere. */
  exchangeDemand(): void {
    this.placement.updateOthersDemand({});
    this.placement.offerSlots();
  }

  stop(graceMs = 0): Promise<void> {
    return this.server.stop(graceMs);
  }

  /** Opens a caller's connection. */
  async open(): Promise<Socket> {
    const socket = connect(this.port, '127.0.0.1');
    socket.on('error', () => {});
    await once(socket, 'connect');
    return socket;
  }

  /** Sends bytes on a new connection and returns everything received until it is closed. */
  async exchange(bytes: string, waitMs = 3_000): Promise<string> {
    const socket = await this.open();
    let text = '';
    socket.on('data', chunk => (text += chunk.toString('latin1')));
    const timer = setTimeout(() => socket.destroy(), waitMs);
    socket.write(bytes);
    await once(socket, 'close');
    clearTimeout(timer);
    return text;
  }
}

/** Formats a caller's request whose connection is closed after the answer. */
export function formatRequest(
  options: {
    method?: string;
    path?: string;
    id?: string;
    body?: string;
    headers?: readonly string[];
  } = {},
): string {
  const {method = 'GET', path = '/drafts/1', id = 'r1', body = ''} = options;
  return [
    `${method} ${path} HTTP/1.1`,
    'Host: shop.example',
    `X-Request-Id: ${id}`,
    'X-Key: key-1',
    'X-Deadline-Ms: 1500',
    'Connection: close',
    ...(body === '' ? [] : [`Content-Length: ${body.length}`]),
    ...(options.headers ?? []),
    '',
    body,
  ].join('\r\n');
}

/** Reads the status of an answer. */
export function readStatus(text: string): number {
  return Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1]);
}
