import {inspect} from 'node:util';
import {
  AnswerValues,
  ConfidenceGains,
  EngineTimePrices,
  ForwardPolicy,
  PrefillRates,
} from '@sycamorehead/routing';
import type {RouteConfiguration, RouteDeclaration} from '@sycamorehead/schema';
import type {RequestExplanation, RequestQuestion} from '@sycamorehead/fleet';
import {AnswerTimes} from '../lib/AnswerTimes.js';
import type {CallerAnswer} from '../lib/CallerAnswer.js';
import {CrashGuard} from '../lib/CrashGuard.js';
import {CrashObserver} from '../lib/CrashObserver.js';
import {computeDeadline} from '../lib/buildDemand.js';
import {decodeQuestion} from '../lib/decodeQuestion.js';
import {EntryMonitor} from '../lib/EntryMonitor.js';
import {explainRequest} from '../lib/explainRequest.js';
import {GatewayMetrics} from '../lib/GatewayMetrics.js';
import type {ForwardContext} from '../lib/gatewayTypes.js';
import type {KnownServer} from '../lib/KnownServer.js';
import {ModelCascade} from '../lib/ModelCascade.js';
import {Placement, SlotReservation} from '../lib/Placement.js';
import {resolveTarget} from '../lib/resolveTarget.js';
import {RetryBudgets} from '../lib/RetryBudgets.js';
import {RouteTable} from '../lib/RouteTable.js';
import {RunTracker} from '../lib/RunTracker.js';
import {SegmentQuarantine} from '../lib/SegmentQuarantine.js';
import {SendPlanner} from '../lib/SendPlanner.js';
import {ServerTable} from '../lib/ServerTable.js';
import {StartupGate} from '../lib/StartupGate.js';
import {VersionSplit} from '../lib/VersionSplit.js';
import {TEST_NAMES, buildConfiguration, buildRoute} from './GatewayHarness.js';

export const TOKEN_CAPACITY = 20_000;

/** A configuration of one service of engines with a warm-up. */
export function buildExplainedConfiguration(
  route: Partial<RouteDeclaration> = {},
): RouteConfiguration {
  return buildConfiguration([buildRoute(route)], {
    services: [
      {
        name: 'drafts',
        healthPath: '/',
        maxConnections: 400,
        warmup: {durationMs: 3_000, perSecond: 10},
        engine: {slots: 4, tokenCapacity: TOKEN_CAPACITY, models: []},
      },
    ],
  });
}

/** What decides on requests at one entry, without any connection. */
export class ExplainedEntry {
  readonly context: ForwardContext;
  readonly servers = new ServerTable();
  readonly versions = new VersionSplit(5_000);
  readonly crashes = new CrashObserver();
  private routes: RouteTable | undefined;

  constructor(
    policy: ForwardPolicy = 'estimated',
    configuration: RouteConfiguration | undefined = undefined,
    entries = 1,
  ) {
    const times = new AnswerTimes();
    const rates = new PrefillRates();
    const metrics = new GatewayMetrics();
    if (configuration) this.setConfiguration(configuration);
    this.context = {
      names: TEST_NAMES,
      monitor: new EntryMonitor({linkMbps: 1, countQueuedBytes: () => 0}),
      policies: {server: policy, model: 'expected_value', answerValue: 10},
      servers: this.servers,
      versions: this.versions,
      placement: new Placement({
        servers: this.servers,
        versions: this.versions,
        rates,
        times,
        policy,
        dataCentre: 'a',
        countEntries: () => entries,
        onMemoryFull: service => metrics.recordMemoryFull(service),
      }),
      budgets: new RetryBudgets({ratio: 1, slack: 20, windowMs: 10_000}),
      times,
      rates,
      gains: new ConfidenceGains(),
      values: new AnswerValues(10),
      timePrices: new EngineTimePrices(),
      metrics,
      startup: new StartupGate(),
      crashes: this.crashes,
      quarantine: new SegmentQuarantine(() => {}),
      getRoutes: () => this.routes,
    };
  }

  setConfiguration(configuration: RouteConfiguration): void {
    this.routes = new RouteTable(configuration);
    // The first look-up of a route sorts the lengths of the prefixes.
    this.routes.findRoute('shop.example', '/');
    this.servers.cold.setServices(configuration.services);
  }

  explain(question: unknown): Promise<RequestExplanation> {
    const entry = {
      name: '10.0.1.1',
      dataCentre: 'a',
      isReady: () => true,
    };
    return explainRequest(this.context, entry, question);
  }

  /** Plans the first send of a request as for a caller, and waits for its slot. */
  async plan(
    question: RequestQuestion,
    signal: AbortSignal = new AbortController().signal,
  ): Promise<SlotReservation> {
    const {context} = this;
    const {request} = decodeQuestion(question, this.routes);
    const answer = {isBegun: false} as unknown as CallerAnswer;
    const runs = new RunTracker(context.budgets, answer);
    const target = resolveTarget(this.routes, request);
    const planner = new SendPlanner({
      context,
      request,
      answer,
      runs,
      guard: new CrashGuard(context, request, runs),
      cascade: new ModelCascade(context, request),
      signal,
      getDeadline: () => computeDeadline(request, target),
    });
    return (await planner.plan()).reservation;
  }

  listServers(): KnownServer[] {
    return this.servers.listKnown('drafts');
  }

  /** Describes everything that the entry knows and has counted. */
  describeState(): string {
    return inspect([this.context, this.routes], {
      depth: Infinity,
      showHidden: true,
      maxArrayLength: null,
      maxStringLength: null,
    });
  }
}
