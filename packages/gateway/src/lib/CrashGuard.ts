import {buildRequestSegment} from '@sycamorehead/routing';
import {SycamoreheadError} from '@sycamorehead/schema';
import {CallerRequest, listSharedSegments} from './CallerRequest.js';
import {computeFingerprint} from './computeFingerprint.js';
import type {TrackedSend} from './CrashObserver.js';
import type {ForwardContext} from './gatewayTypes.js';
import {buildQuarantineRefusal, buildSuspensionRefusal} from './refusals.js';
import {RequestTarget, findTarget} from './resolveTarget.js';
import type {RunTracker} from './RunTracker.js';
import type {SendRecord} from './SendRecord.js';
import type {KnownServer} from './KnownServer.js';

/**
 * Maximum number of servers whose answers break off as they begin, or that crash, after which no further
 * server is exposed to the request: the servers may have crashed because of it.
 */
const MAX_FAILED_SERVERS = 2;
/**
 * The same for servers that crash under a request that is suspected already, or has a suspected segment that
 * is in quarantine together with others.
 */
const MAX_SUSPECT_FAILURES = 1;

/**
 * Protects the backend servers from one request, if servers crash under it or under a segment of its
 * prompt, or may have crashed because of it.
 *
 * @internal
 */
export class CrashGuard {
  /** Segments of the prompt that others may share. */
  private readonly sharedSegments: readonly string[];
  /** For each send that was lost, whether its server turns out to have crashed. */
  private readonly losses: Array<Promise<boolean>> = [];
  private quarantined: readonly string[] | undefined;
  private serviceName = '';
  private requestFingerprint: string | undefined;
  private brokenBeginnings = 0;

  constructor(
    private readonly context: ForwardContext,
    private readonly request: CallerRequest,
    private readonly runs: RunTracker,
  ) {
    this.sharedSegments = listSharedSegments(request);
  }

  // Commands.

  /**
   * Calls back if the request or segments of its prompt are put into quarantine. Returns a function that
   * ends this.
   */
  watch(onQuarantined: () => void): () => void {
    const {context, request} = this;
    const find = () => findTarget(context.getRoutes(), request);
    return context.quarantine.watch(
      () => {
        const target = find();
        return target ? this.listSegments(target) : [];
      },
      () => {
        const target = find();
        if (!target) return;
        this.recordQuarantine(target);
        onQuarantined();
      },
    );
  }

  /**
   * Checks that neither the request nor its prompt is in quarantine, nor the request or a segment suspended.
   *
   * @throws SycamoreheadError `request_quarantined`, `segment_quarantined`, or `outcome_unknown` if the
   * request may have run.
   */
  checkSend(target: RequestTarget): void {
    this.requestFingerprint ??= computeFingerprint(
      this.request,
      target.customer,
    );
    this.recordQuarantine(target);
    if (this.quarantined !== undefined) {
      throw buildQuarantineRefusal(this.quarantined, this.runs.mayHaveRun);
    }
    const suspended = this.findSuspended(target);
    if (suspended === undefined) return;
    throw buildSuspensionRefusal(suspended, this.runs.mayHaveRun);
  }

  /** Tracks a send of the request, after `checkSend`. */
  trackSend(target: RequestTarget, server: KnownServer): TrackedSend {
    return this.context.crashes.recordSend(server, this.listSegments(target));
  }

  /** Records that a send was lost, and the check whether its server has crashed. */
  recordLoss(check: Promise<boolean>): void {
    this.losses.push(check);
  }

  /**
   * Checks that the request may go on to another server after those that crashed under it. Most of the
   * requests on a server that crashes are sound, so one such server is allowed.
   *
   * @throws SycamoreheadError `outcome_unknown` if no further server may be exposed to the request.
   */
  async checkResend(): Promise<void> {
    const {maxFailures} = this;
    if (this.losses.length < maxFailures) return;
    const results = await Promise.all(this.losses);
    if (results.filter(hasCrashed => hasCrashed).length < maxFailures) return;
    throw new SycamoreheadError(
      'outcome_unknown',
      'servers crashed while they had the request',
    );
  }

  /**
   * Counts an answer that broke off.
   *
   * @throws SycamoreheadError `outcome_unknown` if no further server may be exposed to the request.
   */
  recordInterruption(send: SendRecord): void {
    if (!send.isBeginning || this.sharedSegments.length === 0) return;
    this.brokenBeginnings += 1;
    if (this.brokenBeginnings < MAX_FAILED_SERVERS) return;
    throw new SycamoreheadError(
      'outcome_unknown',
      'several servers failed as they began to answer',
    );
  }

  /** Counts the request, which has failed, if it ended because of a quarantine. */
  recordFailure(): void {
    if (this.quarantined === undefined) return;
    this.context.metrics.recordQuarantined(this.serviceName);
  }

  // Queries.

  /** The fingerprint of the request; undefined if it was refused before its first send. */
  get fingerprint(): string | undefined {
    return this.requestFingerprint;
  }

  /** The error of a request that ended because of a quarantine. */
  get failure(): SycamoreheadError | undefined {
    if (this.quarantined === undefined) return undefined;
    return buildQuarantineRefusal(this.quarantined, this.runs.mayHaveRun);
  }

  /**
   * Returns whether the request may certainly go on to another server, as far as is known. It may not if
   * the checks of the servers that failed under it have to be awaited.
   */
  isResendCertain(target: RequestTarget): boolean {
    const {quarantine} = this.context;
    if (this.losses.length >= this.maxFailures) return false;
    if (quarantine.findQuarantined(this.listSegments(target))) return false;
    return this.findSuspended(target) === undefined;
  }

  /** Finds the request, or a segment of its prompt, that is sent to no server at this moment. */
  private findSuspended(target: RequestTarget): string | undefined {
    const {crashes} = this.context;
    return this.listSegments(target).find(id => crashes.isSuspended(id));
  }

  /** The number of servers that crash under the request after which no further one is exposed to it. */
  private get maxFailures(): number {
    const {crashes, quarantine} = this.context;
    const id = this.requestSegment;
    const isSuspected =
      (id !== undefined && crashes.isSuspected(id)) ||
      this.sharedSegments.some(
        segment =>
          crashes.isSuspected(segment) && quarantine.isCombined(segment),
      );
    return isSuspected ? MAX_SUSPECT_FAILURES : MAX_FAILED_SERVERS;
  }

  /** The id under which the request itself is suspected. */
  private get requestSegment(): string | undefined {
    const {requestFingerprint} = this;
    return requestFingerprint && buildRequestSegment(requestFingerprint);
  }

  /** Lists the ids of the request and of the segments of its prompt that others may share. */
  private listSegments({service}: RequestTarget): string[] {
    const id = this.requestSegment;
    const shared = service.engine ? this.sharedSegments : [];
    return id === undefined ? [...shared] : [...shared, id];
  }

  private recordQuarantine(target: RequestTarget): void {
    this.quarantined = this.context.quarantine.findQuarantined(
      this.listSegments(target),
    );
    this.serviceName = target.service.name;
  }
}
