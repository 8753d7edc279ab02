import {buildKeptPrompt} from '@sycamorehead/routing';
import type {CallerRequest} from './CallerRequest.js';
import {buildWorkKind} from './AnswerTimes.js';
import type {CrashGuard} from './CrashGuard.js';
import type {TrackedSend} from './CrashObserver.js';
import {describeHead} from './describeHead.js';
import type {ForwardContext} from './gatewayTypes.js';
import type {SlotReservation} from './Placement.js';
import type {RequestTarget} from './resolveTarget.js';
import {AttemptOutcome, ServerAnswer, describeOutcome} from './sendAttempt.js';
import type {ConnectionUse} from './ServerAgent.js';
import type {ServerNotice} from './ServerNotices.js';
import type {AnswerResult, AwaitedSend} from './VersionSplit.js';

/** Status of a server that does not run or count the request, since it is for another one. */
const MISDIRECTED_STATUS = 421;
/** Lowest status of an answer by which a server says that it has failed. */
const MIN_FAILURE_STATUS = 500;

/**
 * One send of a request to one backend server. It records what the entry learns from the send:
 * answer times, prefill rates, cached prompt segments, failures and evidence on versions.
 *
 * @internal
 */
export class SendRecord {
  /** Kind of work; answer times are tracked for each kind. */
  readonly kind: string;
  /** Undefined before the send has been assigned a connection. */
  connection: ConnectionUse | undefined;
  private readonly sentAt = performance.now();
  private readonly awaited: AwaitedSend;
  private readonly tracked: TrackedSend;
  /** The limit that the server had named, in requests a second. */
  private readonly limit: number | undefined;
  private isHeld = false;

  constructor(
    private readonly context: ForwardContext,
    private readonly request: CallerRequest,
    /** The target of the request by the configuration in force when it was sent. */
    readonly target: RequestTarget,
    readonly reservation: SlotReservation,
    /** Model that the send named, if any. */
    readonly model: string | undefined,
    private readonly guard: CrashGuard,
  ) {
    this.kind = buildWorkKind(target.route.name, model);
    const {server, expectedMs} = reservation;
    const route = target.route.name;
    this.awaited = {server, route, sentAt: this.sentAt, expectedMs};
    context.versions.recordSend(this.awaited);
    const {registration} = server.listing;
    this.limit = context.servers.limits.getPerSecond(registration);
    if (this.limit !== undefined) {
      context.metrics.recordLimitedSend(registration.service);
    }
    if (target.service.engine) {
      const {keptTokens, tokensToPrefill} = reservation;
      context.metrics.recordPrompt(
        registration.service,
        keptTokens,
        tokensToPrefill,
      );
    }
    this.tracked = guard.trackSend(target, server);
  }

  /**
   * Records the outcome of the send; a failure counts against the server unless the entry abandoned
   * the send.
   */
  recordOutcome(outcome: AttemptOutcome, isAbandoned: boolean): void {
    const {servers, metrics} = this.context;
    const {server} = this.reservation;
    metrics.recordAttempt(server.listing.registration.service, outcome.type);
    if (outcome.type === 'answered') this.tracked.begunAt = performance.now();
    if (outcome.type === 'refused' && outcome.isMisdirected) {
      servers.markReplaced(server);
    }
    if (outcome.type === 'lost' && outcome.isSlow) {
      this.recordSlow();
      return;
    }
    const isUncounted =
      outcome.type === 'unsent' ||
      (outcome.type === 'refused' && outcome.status === MISDIRECTED_STATUS);
    if (isUncounted) this.reservation.restorePermit();
    if (outcome.type === 'unsent') this.context.crashes.dropSend(this.tracked);
    const hasFailed = outcome.type === 'unsent' || outcome.type === 'lost';
    if (hasFailed && !isAbandoned) {
      servers.recordFailure(server, outcome.reason, outcome.type === 'unsent');
      this.checkCrash(outcome.type === 'lost');
    }
    if (outcome.type === 'lost' && !isAbandoned) this.recordEvidence('lost');
  }

  /** Records that no answer of this send is awaited any more. */
  recordEnd(): void {
    this.context.versions.recordSendEnd(this.awaited);
    this.context.crashes.recordEnd(this.tracked);
  }

  /** Records a send that was abandoned as an answer that took as long as it was awaited. */
  private recordSlow(): void {
    const {reservation} = this;
    const timeMs = performance.now() - this.sentAt;
    const ratio = this.recordTime(timeMs);
    this.context.servers.recordSlowness(reservation.server, ratio);
    this.recordPace(timeMs);
    this.recordEvidence('answered', timeMs);
  }

  /** Records an answer that is dropped because its model has little confidence in it. */
  recordWeakAnswer(): void {
    this.recordEvidence('answered', performance.now() - this.sentAt);
  }

  /** Records what the server says of itself; it concerns waiting requests too. */
  recordNotice(notice: ServerNotice): void {
    const {servers, metrics, placement} = this.context;
    const {registration} = this.reservation.server.listing;
    if (notice.holdMs !== undefined) {
      this.isHeld = true;
      metrics.recordHold(registration.service);
    }
    const {limit} = notice;
    if (limit.type === 'named') metrics.recordLimit(registration.service);
    servers.limits.record(registration, limit, this.sentAt);
    servers.cold.recordNotice(registration, notice.coldMs);
    if (servers.notices.record(registration, notice)) placement.offerSlots();
  }

  /** Records that the server answered with an error of its own; a request for a pause is none. */
  recordError(): void {
    if (this.isHeld) return;
    this.recordEvidence('failed');
  }

  /** Records that the first bytes of an answer have arrived. */
  recordFirstBytes(): void {
    const {context, request, reservation, model} = this;
    const timeMs = performance.now() - this.sentAt;
    reservation.markStarted();
    const isTypical = !context.versions.isOnTrial(reservation.server);
    if (model !== undefined && isTypical && reservation.isUncontended) {
      context.rates.recordPrefill(model, reservation.tokensToPrefill, timeMs);
    }
    context.metrics.recordFirstByte(performance.now() - request.arrivedAt);
    const ratio = this.recordTime(timeMs);
    this.recordPace(timeMs);
    context.servers.recordAnswer(reservation.server, ratio);
    this.recordEvidence('answered', timeMs);
    if (model === undefined) return;
    reservation.server.memory.kept.recordPrompt(
      buildKeptPrompt(model, request.promptSegments),
      reservation.tokensToPrefill,
    );
  }

  /** Formats the send with its outcome for the line of its request. */
  formatOutcome(outcome: AttemptOutcome): string {
    const {reservation, connection: usage, request} = this;
    const {id, version} = reservation.server.listing.registration;
    const {estimatedMs, load, keptTokens, savedMs} = reservation;
    const kept =
      keptTokens >= 1
        ? `*${Math.round(keptTokens)}:${Math.round(savedMs)}`
        : '';
    const atMs = Math.round(performance.now() - request.arrivedAt);
    const limit = this.limit === undefined ? '' : `^${this.limit}`;
    const place = usage ? `#${usage.connection}.${usage.use}` : '';
    const isStream =
      outcome.type === 'answered' && this.target.route.kind === 'streaming';
    const head = isStream ? ` (${describeHead(outcome.answer.message)})` : '';
    return `${id}:${describeOutcome(outcome)}${head}@${atMs}~${Math.round(estimatedMs)}${kept}+${load}${place}=${version}${limit}`;
  }

  /** Whether the answer has not gone on for long enough to show that the request is sound. */
  get isBeginning(): boolean {
    return !this.tracked.hasSurvived;
  }

  /** Records that bytes of an answer have arrived. */
  recordBytes(): void {
    this.context.crashes.recordProgress(this.tracked);
  }

  /** Records that an answer has arrived whole. */
  recordComplete(answer: ServerAnswer): void {
    const {crashes} = this.context;
    if (!answer.isFramed || answer.status >= MIN_FAILURE_STATUS) return;
    if (answer.status === 200) crashes.recordSurvival(this.tracked);
    else crashes.recordSoundRequest(this.tracked);
  }

  /** Records that an answer that had begun was interrupted. */
  recordInterruption(reason: string): void {
    this.recordEvidence('lost');
    this.context.servers.recordFailure(this.reservation.server, reason);
    this.checkCrash(true);
  }

  /**
   * Records an answer time and returns its ratio to the typical one, to which a version on trial does
   * not contribute.
   */
  private recordTime(timeMs: number): number {
    const {context, reservation, kind} = this;
    const {times, versions} = context;
    return versions.isOnTrial(reservation.server)
      ? times.compareTime(kind, timeMs)
      : times.recordTime(kind, timeMs);
  }

  /** Checks whether the server has crashed; `isLost` is whether it may have had the request. */
  private checkCrash(isLost: boolean): void {
    const {servers, crashes} = this.context;
    const {server} = this.reservation;
    const {registration} = server.listing;
    const isLeaving =
      registration.state !== 'ready' || servers.notices.isLeaving(registration);
    if (isLeaving) return;
    const check = crashes.checkServer(server);
    void check.then(hasCrashed => {
      if (hasCrashed) server.memory.kept.clear();
    });
    if (isLost) this.guard.recordLoss(check);
  }

  /** Records the time of an engine relative to that expected by the prompt and the work pending there. */
  private recordPace(timeMs: number): void {
    const {expectedMs, server} = this.reservation;
    if (!this.target.service.engine || expectedMs === undefined) return;
    server.pace.recordRatio(timeMs / Math.max(1, expectedMs));
  }

  private recordEvidence(result: AnswerResult, timeMs?: number): void {
    const {context, reservation, target} = this;
    const {server, expectedMs} = reservation;
    context.versions.recordSendResult(this.awaited);
    const timeRatio =
      timeMs === undefined || expectedMs === undefined
        ? undefined
        : timeMs / Math.max(1, expectedMs);
    context.versions.recordAnswer(server, target.route.name, result, timeRatio);
  }
}
