import {Configuration, VersionRef, isPermitted} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import type {
  BackendServerDirectory,
  KnownServer,
} from '@sycamorehead/membership';
import {ADMISSION_POLICIES, AdmissionPolicyName} from './admissionPolicies.js';
import type {TrackedAttempt} from './AttemptTracker.js';
import type {WorkClassCounts} from './computeEntryCapacity.js';
import {HEDGE_POLICIES, HedgePolicy, HedgePolicyName} from './hedgePolicies.js';
import {
  PRIORITY_POLICIES,
  PriorityPolicy,
  PriorityPolicyName,
} from './priorityPolicies.js';
import {RoutingContext} from './RoutingContext.js';
import type {
  AdmissionPolicy,
  AdmissionTicket,
  AttemptOutcome,
  Decision,
  RoutedRequest,
  ServerPolicy,
  VersionPolicy,
} from './routingTypes.js';
import {SERVER_POLICIES, ServerPolicyName} from './serverPolicies.js';
import {QualityTable} from './QualityTable.js';
import {VERSION_POLICIES, VersionPolicyName} from './versionPolicies.js';

const log = createLogger('routing');

/** Settings of a Router. @public */
export interface RouterOptions {
  readonly directory: BackendServerDirectory;
  /** The entry's own data centre; servers in other data centres have a slightly higher cost. */
  readonly dataCentre?: string;
  readonly versionPolicy?: VersionPolicyName;
  readonly serverPolicy?: ServerPolicyName;
  readonly admissionPolicy?: AdmissionPolicyName;
  /** Learned quality; an empty table if absent. */
  readonly quality?: QualityTable;
  /** Returns whether ratings are being received; if absent, no version is explored. */
  readonly canExplore?: () => boolean;
  /** Called with the outcome of each attempt. */
  readonly onOutcome?: (outcome: AttemptOutcome) => void;
  readonly hedgePolicy?: HedgePolicyName;
  readonly priorityPolicy?: PriorityPolicyName;
}

/**
 * Makes the routing decisions of one entry: when a request runs, on which version, and on which
 * backend server.
 *
 * @public
 */
export class Router {
  /** State that the policies measure and share with other entries. */
  readonly context: RoutingContext;
  readonly hedgePolicy: HedgePolicy;
  private readonly directory: BackendServerDirectory;
  private readonly versionPolicy: VersionPolicy;
  private readonly serverPolicy: ServerPolicy;
  private readonly admissionPolicy: AdmissionPolicy;
  private readonly priorityPolicy: PriorityPolicy;

  constructor(private readonly options: RouterOptions) {
    this.directory = options.directory;
    this.context = new RoutingContext(options.dataCentre ?? '', request =>
      this.listPermittedEngines(request),
    );
    const {context} = this;
    this.hedgePolicy =
      HEDGE_POLICIES[options.hedgePolicy ?? 'budgeted'](context);
    this.priorityPolicy =
      PRIORITY_POLICIES[options.priorityPolicy ?? 'by_work'](context);
    this.versionPolicy = VERSION_POLICIES[
      options.versionPolicy ?? 'cheapest_at_target'
    ]({
      quality: options.quality ?? new QualityTable(),
      hasReplica: version => options.directory.listEngines(version).length > 0,
      canExplore: options.canExplore ?? (() => false),
    });
    this.serverPolicy =
      SERVER_POLICIES[options.serverPolicy ?? 'expected_finish'](context);
    this.admissionPolicy =
      ADMISSION_POLICIES[options.admissionPolicy ?? 'fair_work'](context);
  }

  /** Waits until a request is admitted. */
  admit(request: RoutedRequest): Promise<AdmissionTicket> {
    return this.admissionPolicy.admit(request);
  }

  /** Chooses the version of a request whose session is not pinned to one. */
  chooseVersion(
    request: RoutedRequest,
    configuration: Configuration,
  ): Decision<VersionRef> {
    const decision = this.versionPolicy.choose(request, configuration);
    log('version_chosen', {
      request: request.requestId,
      model: decision.choice.model,
      version: decision.choice.version,
      reason: decision.reason,
      candidates: formatCandidates(decision),
    });
    return decision;
  }

  /** Chooses the engine of an attempt, excluding the servers already tried. */
  chooseEngine(
    request: RoutedRequest,
    version: VersionRef,
    tried: ReadonlySet<string>,
  ): Decision<KnownServer> {
    const servers = this.directory
      .listEngines(version)
      .filter(({announcement}) => !tried.has(announcement.id));
    const decision = this.serverPolicy.choose(request, servers);
    log('server_chosen', {
      request: request.requestId,
      server: decision.choice.announcement.id,
      reason: decision.reason,
      candidates: formatCandidates(decision),
    });
    return decision;
  }

  /** Chooses the priority that is sent to the engine. */
  choosePriority(request: RoutedRequest): number {
    return this.priorityPolicy(request);
  }

  /** Charges a repeated attempt to the retry budget and returns whether it may run. */
  takeRetry(request: RoutedRequest): boolean {
    const {retryBudget, estimator} = this.context;
    return retryBudget.take(estimator.estimate(request).units);
  }

  /** Records that an attempt is dispatched. */
  beginAttempt(
    request: RoutedRequest,
    server: string,
    resumedFrom: number,
  ): TrackedAttempt {
    this.context.inFlight.begin(server);
    return this.context.tracker.begin(request, server, resumedFrom);
  }

  /** Records that an attempt ended. */
  endAttempt(attempt: TrackedAttempt): void {
    this.context.inFlight.end(attempt.server);
    this.context.tracker.end(attempt);
  }

  /** Counts the requests that wait for admission, by class. */
  countQueued(): WorkClassCounts {
    return this.admissionPolicy.countQueued?.() ?? {short: 0, long: 0};
  }

  /** Learns from a finished attempt. */
  observe(outcome: AttemptOutcome): void {
    this.options.onOutcome?.(outcome);
    const {request, result, outputTokens, resumedFrom = 0} = outcome;
    if (result === 'answered') {
      this.context.estimator.record(request, resumedFrom + outputTokens);
    }
    this.admissionPolicy.observe?.(outcome);
    log('attempt_done', {
      request: outcome.request.requestId,
      server: outcome.server,
      result: outcome.result,
      ms: Math.round(outcome.totalMs),
      tokens: outcome.outputTokens,
    });
  }

  /** Lists the engines that have a version which the request's customer may use. */
  private listPermittedEngines(request: RoutedRequest): KnownServer[] {
    return this.directory
      .listReady()
      .filter(({announcement}) =>
        announcement.versions.some(
          version =>
            (request.model === 'auto' || request.model === version.model) &&
            isPermitted(request.customer, version),
        ),
      );
  }
}

function formatCandidates(decision: Decision<unknown>): string {
  return decision.candidates
    .map(({name, score, ruledOut}) =>
      ruledOut ? `${name}:${ruledOut}` : `${name}:${score.toFixed(3)}`,
    )
    .join(',');
}
