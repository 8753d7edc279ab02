import {SycamoreheadError, toSycamoreheadError} from '@sycamorehead/schema';
import {computeDeadline} from './buildDemand.js';
import {buildServerHeaders} from './buildServerHeaders.js';
import type {CallerAnswer} from './CallerAnswer.js';
import type {CallerRequest} from './CallerRequest.js';
import {CrashGuard} from './CrashGuard.js';
import {createEventSequence} from './createEventSequence.js';
import {DeliveryResult, deliverAnswer} from './deliverAnswer.js';
import type {EventSequence} from './EventSequence.js';
import type {ForwardContext} from './gatewayTypes.js';
import {ModelCascade} from './ModelCascade.js';
import {
  buildPaceRefusal,
  buildRefusal,
  buildTimeout,
  isNotRunStatus,
  replaceUnsafeRefusal,
} from './refusals.js';
import {RequestTarget, findTarget, resolveTarget} from './resolveTarget.js';
import {AttemptOutcome, ServerAnswer, sendAttempt} from './sendAttempt.js';
import {RunTracker} from './RunTracker.js';
import {SendPlanner} from './SendPlanner.js';
import {SendRecord} from './SendRecord.js';
import {SendTimeouts} from './SendTimeouts.js';
import {UnexecutedSends} from './UnexecutedSends.js';
import {writeRequestLine} from './writeRequestLine.js';

type NextStep = 'done' | 'again';

/**
 * Forwards one caller's request to backend servers, one after another, until one has answered, no
 * further send is allowed or the time limit is reached.
 *
 * @internal
 */
export class ForwardedRequest {
  /** Aborted once the caller has disconnected or the time limit is reached. */
  private readonly controller = new AbortController();
  /** Ids of the servers that refused this request. */
  private readonly refusedBy = new Set<string>();
  /** Each send with its outcome, for the log line. */
  private readonly history: string[] = [];
  /** The deadline for the final answer, on the monotonic clock. */
  private deadlineAt = Infinity;
  private isTimedOut = false;
  private readonly runs: RunTracker;
  private readonly guard: CrashGuard;
  private readonly unexecuted = new UnexecutedSends();
  private readonly planner: SendPlanner;
  private readonly timeouts: SendTimeouts;
  private readonly cascade: ModelCascade;
  private lastEventId: string | undefined;
  /** The events that the caller gets; undefined if none is expected. */
  private sequence: EventSequence | undefined;
  private routeName = '';
  private failure: SycamoreheadError | undefined;

  constructor(
    private readonly context: ForwardContext,
    private readonly request: CallerRequest,
    private readonly answer: CallerAnswer,
  ) {
    this.lastEventId = request.lastEventId;
    this.cascade = new ModelCascade(context, request);
    this.runs = new RunTracker(context.budgets, answer);
    this.guard = new CrashGuard(context, request, this.runs);
    this.planner = new SendPlanner({
      context,
      request,
      answer,
      runs: this.runs,
      guard: this.guard,
      cascade: this.cascade,
      signal: this.controller.signal,
      getDeadline: () => this.deadlineAt,
    });
    this.timeouts = new SendTimeouts(context, this.runs);
  }

  /** Forwards the request until it has been answered or has failed. */
  async run(): Promise<void> {
    const {answer, controller} = this;
    const abort = () => controller.abort();
    answer.addAbortListener(abort);
    let timer: NodeJS.Timeout | undefined;
    const unwatch = this.guard.watch(() => {
      if (!answer.isBegun) controller.abort();
    });
    try {
      await this.context.startup.waitForRoutes(controller.signal);
      const target = this.resolve();
      this.routeName = target.route.name;
      this.deadlineAt = computeDeadline(this.request, target);
      this.context.budgets.recordRequest(target.service.name);
      this.checkPace(target);
      timer = setTimeout(() => {
        this.isTimedOut = true;
        controller.abort();
      }, this.deadlineAt - performance.now());
      while ((await this.runSend()) === 'again');
    } catch (thrown) {
      this.failure = this.buildFailure(thrown);
      this.guard.recordFailure();
      answer.fail(this.failure);
    } finally {
      clearTimeout(timer);
      unwatch();
      this.planner.release();
      this.logEnd();
    }
  }

  private buildFailure(thrown: unknown): SycamoreheadError {
    const {mayHaveRun} = this.runs;
    if (this.guard.failure) return this.guard.failure;
    if (this.answer.isStopped) return buildRefusal('stopping', mayHaveRun);
    const error = this.isTimedOut
      ? buildTimeout(mayHaveRun)
      : toSycamoreheadError(thrown);
    return replaceUnsafeRefusal(error, mayHaveRun);
  }

  /** Refuses a request that this entry itself would probably answer late. */
  private checkPace({route}: RequestTarget): void {
    if (this.context.monitor.isTaking(route.targetLatencyMs)) return;
    throw buildPaceRefusal();
  }

  private resolve(): RequestTarget {
    return resolveTarget(this.context.getRoutes(), this.request);
  }

  /** Performs one send: reserves a slot, sends the request and handles the outcome. */
  private async runSend(): Promise<NextStep> {
    const {target, model, reservation} = await this.planner.plan();
    let send: SendRecord | undefined;
    try {
      const current = this.resolve();
      this.guard.checkSend(current);
      this.runs.checkSend(current);
      const hasTargetChanged =
        current.service.name !== target.service.name ||
        current.customer !== target.customer;
      if (
        hasTargetChanged ||
        !this.context.servers.isAccepting(reservation.server) ||
        !reservation.confirmSend()
      ) {
        return 'again';
      }
      const {context, request} = this;
      send = new SendRecord(
        context,
        request,
        current,
        reservation,
        model,
        this.guard,
      );
      this.cascade.recordSend(current, model);
      const outcome = await this.dispatch(send);
      this.recordOutcome(send, outcome);
      return await this.handleOutcome(outcome, send);
    } finally {
      send?.recordEnd();
      reservation.release();
    }
  }

  private dispatch(send: SendRecord): Promise<AttemptOutcome> {
    const {request, context, controller} = this;
    const {target, reservation, model} = send;
    const {server} = reservation;
    const {leftMs} = this;
    const {address, id} = server.listing.registration;
    return sendAttempt({
      agent: server.agent,
      wasRefused: this.refusedBy.has(id),
      address,
      method: request.method,
      target: request.target,
      headers: buildServerHeaders(request, context.names, {
        target,
        server,
        model,
        leftMs,
        resumeAfter: this.lastEventId,
      }),
      body: request.body,
      requestId: request.id,
      expectedServer: id,
      names: context.names,
      isStream: target.route.kind === 'streaming',
      headTimeouts: this.timeouts.computeHead(send, leftMs),
      isServerActive: () => context.servers.isActive(server),
      mayStillSend: () => reservation.confirmSend(),
      onConnection: use => (send.connection = use),
      onServerNotice: notice => send.recordNotice(notice),
      signal: controller.signal,
    });
  }

  /** Time left for the final answer, in milliseconds. */
  private get leftMs(): number {
    return this.deadlineAt - performance.now();
  }

  private recordOutcome(send: SendRecord, outcome: AttemptOutcome): void {
    const {id} = send.reservation.server.listing.registration;
    this.planner.recordSend(id, outcome.type !== 'unsent');
    this.history.push(send.formatOutcome(outcome));
    if (outcome.type === 'refused') this.refusedBy.add(id);
    send.recordOutcome(outcome, this.controller.signal.aborted);
  }

  private async handleOutcome(
    outcome: AttemptOutcome,
    send: SendRecord,
  ): Promise<NextStep> {
    switch (outcome.type) {
      case 'unsent':
      case 'refused':
        this.checkTime();
        this.unexecuted.record(outcome.type, this.runs.mayHaveRun);
        return 'again';
      case 'lost':
        this.runs.recordPossibleRun();
        return this.handleUnknownRun(send, outcome);
      case 'answered':
        this.runs.recordPossibleRun();
        return this.handleAnswer(outcome.answer, send);
    }
  }

  /**
   * Handles a send after which the request may have run; it is sent again only if it may be
   * repeated.
   */
  private async handleUnknownRun(
    send: SendRecord,
    {reason, isEnded}: {reason: string; isEnded: boolean},
  ): Promise<NextStep> {
    this.checkTime();
    if (this.runs.isRepeatAllowed(send.target)) {
      return this.confirmNextSend(send, isEnded);
    }
    throw new SycamoreheadError('outcome_unknown', reason);
  }

  /** Returns once the request may go on to another server. */
  private async confirmNextSend(
    send: SendRecord,
    isEnded: boolean,
  ): Promise<NextStep> {
    await this.guard.checkResend();
    this.checkTime();
    if (isEnded || send.target.route.kind !== 'streaming') return 'again';
    this.history.push('unended');
    await this.runs.checkUnreachable(send);
    this.checkTime();
    return 'again';
  }

  private async handleAnswer(
    serverAnswer: ServerAnswer,
    send: SendRecord,
  ): Promise<NextStep> {
    const {target} = send;
    this.cascade.recordAnswer(target, send.model, serverAnswer.confidence);
    const mayBeWeak =
      serverAnswer.status === 200 &&
      send.model !== undefined &&
      !this.answer.isBegun;
    if (mayBeWeak && this.planner.planLarger(send.reservation)) {
      send.recordWeakAnswer();
      this.restartWithLargerModel(target);
      return this.confirmNextSend(send, await serverAnswer.cancel());
    }
    const isError = serverAnswer.status >= 500;
    if (isError) send.recordError();
    if (isError && this.runs.isRepeatAllowed(target)) {
      return this.confirmNextSend(send, await serverAnswer.cancel());
    }
    if (isNotRunStatus(serverAnswer.status)) {
      void serverAnswer.cancel();
      throw new SycamoreheadError(
        'outcome_unknown',
        `the server answered ${serverAnswer.status} and may have run it`,
      );
    }
    const result = await this.deliver(serverAnswer, send);
    if (result.isComplete) send.recordComplete(serverAnswer);
    return this.handleDelivery(result, send);
  }

  private deliver(
    serverAnswer: ServerAnswer,
    send: SendRecord,
  ): Promise<DeliveryResult> {
    const {servers, names} = this.context;
    const {target, reservation} = send;
    const {server} = reservation;
    this.sequence ??= createEventSequence(
      target.route,
      names,
      this.lastEventId,
    );
    let lastBytesAt = performance.now();
    return deliverAnswer({
      serverAnswer,
      answer: this.answer,
      method: this.request.method,
      lastEventId: this.lastEventId,
      sequence: this.sequence,
      stallTimeouts: this.timeouts.computeStall(target, this.leftMs),
      isServerActive: () =>
        Math.max(server.lastReceivedAt, server.othersReceivedAt) >
          lastBytesAt && servers.isActive(server),
      isResendPermitted: () => this.isResendPermitted(target.service.name),
      onFirstBytes: () => send.recordFirstBytes(),
      onBytes: () => {
        lastBytesAt = performance.now();
        server.lastReceivedAt = lastBytesAt;
        send.recordBytes();
      },
    });
  }

  /** Starts over with a larger model. */
  private restartWithLargerModel({route}: RequestTarget): void {
    this.history.push(`escalated:${this.cascade.lastConfidence}`);
    this.cascade.requestLargerModel();
    this.context.metrics.recordEscalation(route.name);
  }

  private async handleDelivery(
    result: DeliveryResult,
    send: SendRecord,
  ): Promise<NextStep> {
    this.lastEventId = result.lastEventId;
    if (result.isComplete) return 'done';
    const atMs = Math.round(performance.now() - this.request.arrivedAt);
    this.history.push(`broken (${result.reason})@${atMs}`);
    if (this.answer.disconnected.aborted) return 'done';
    send.recordInterruption(result.reason);
    this.guard.recordInterruption(send);
    if (this.answer.isBegun && this.sequence?.isContinuable === false) {
      throw new SycamoreheadError('outcome_unknown', result.reason);
    }
    return this.handleUnknownRun(send, result);
  }

  /** Returns whether another send to the service would still be permitted. */
  private isResendPermitted(service: string): boolean {
    const target = findTarget(this.context.getRoutes(), this.request);
    if (target?.service.name !== service) return false;
    return this.runs.isRepeatAllowed(target);
  }

  private checkTime(): void {
    if (!this.controller.signal.aborted) return;
    throw new SycamoreheadError('deadline_exceeded', 'the time is up');
  }

  private logEnd(): void {
    const {request, answer, history} = this;
    const status = answer.disconnected.aborted ? 0 : answer.sentStatus;
    this.context.metrics.recordAnswer(this.routeName, status);
    this.context.metrics.recordWait(this.planner.waitedMs);
    if (this.failure) {
      this.context.metrics.recordFailure(this.routeName, this.failure.kind);
    }
    writeRequestLine({
      request,
      status,
      history,
      failure: this.failure,
      isCallerDisconnected: answer.disconnected.aborted,
      answer,
      cascade: this.cascade,
      routeName: this.routeName,
      fingerprint: this.guard.fingerprint,
      waitedMs: this.planner.waitedMs,
      queueNote: this.planner.queueNote,
      version: this.context.getRoutes()?.version,
    });
  }
}
