import {SycamoreheadError, toSycamoreheadError} from '@sycamorehead/schema';
import {
  SilenceTimeouts,
  computeHeadTimeouts,
  computeStallTimeouts,
} from '@sycamorehead/routing';
import {buildServerHeaders} from './buildServerHeaders.js';
import type {CallerAnswer} from './CallerAnswer.js';
import type {CallerRequest} from './CallerRequest.js';
import {DeliveryResult, deliverAnswer} from './deliverAnswer.js';
import type {ForwardContext} from './gatewayTypes.js';
import {ModelCascade} from './ModelCascade.js';
import type {SlotReservation} from './Placement.js';
import {buildRefusal, buildTimeout, replaceUnsafeRefusal} from './refusals.js';
import {RequestTarget, findTarget, resolveTarget} from './resolveTarget.js';
import {
  AttemptOutcome,
  ServerAnswer,
  describeOutcome,
  sendAttempt,
} from './sendAttempt.js';
import {SendRecord} from './SendRecord.js';
import {writeRequestLine} from './writeRequestLine.js';

/** Longest wait for a place, as a part of the target latency. */
const QUEUE_PART = 0.4;
/** Sends that may end without the request having run, beyond the attempts of the route. */
const MAX_FRUITLESS_SENDS = 4;

type NextStep = 'done' | 'again';

/**
 * One caller's request on its way: sends it to backend servers, one after another, until one has
 * answered, no further send is allowed or the time is up.
 *
 * @internal
 */
export class ForwardedRequest {
  /** Aborted once the caller has gone or the time is up. */
  private readonly controller = new AbortController();
  /** Ids of servers that this request was sent to, for the model asked now. */
  private readonly tried = new Set<string>();
  /** Each send with its outcome, for the log line. */
  private readonly history: string[] = [];
  /** When the final answer is due, on the monotonic clock. */
  private limitAt = Infinity;
  private isTimedOut = false;
  /** Sends after which the request may have run. */
  private runs = 0;
  /** Sends that provably did not run the request. */
  private fruitlessSends = 0;
  private isSentBefore = false;
  private readonly cascade: ModelCascade;
  private lastEventId: string | undefined;
  private waitedMs = 0;
  private routeName = '';
  private failure: SycamoreheadError | undefined;

  constructor(
    private readonly context: ForwardContext,
    private readonly request: CallerRequest,
    private readonly answer: CallerAnswer,
  ) {
    this.lastEventId = request.lastEventId;
    const {policies, placement} = context;
    this.cascade = new ModelCascade(policies.model, placement);
  }

  /** Serves the request to its end. */
  async run(): Promise<void> {
    const {answer, controller} = this;
    const handleGone = () => controller.abort();
    answer.disconnected.addEventListener('abort', handleGone, {once: true});
    let timer: NodeJS.Timeout | undefined;
    try {
      await this.context.startup.waitForRoutes(controller.signal);
      const target = this.resolve();
      this.routeName = target.route.name;
      const {timeoutMs} = target.route;
      const allowedMs = Math.min(this.request.waitMs ?? Infinity, timeoutMs);
      this.limitAt = this.request.arrivedAt + allowedMs;
      this.context.budgets.recordRequest(target.service.name);
      timer = setTimeout(() => {
        this.isTimedOut = true;
        controller.abort();
      }, this.limitAt - performance.now());
      while ((await this.takeStep()) === 'again');
    } catch (thrown) {
      const error = this.isTimedOut
        ? buildTimeout(this.runs > 0)
        : toSycamoreheadError(thrown);
      this.failure = replaceUnsafeRefusal(error, this.runs > 0);
      answer.fail(this.failure);
    } finally {
      clearTimeout(timer);
      this.logEnd();
    }
  }

  private resolve(): RequestTarget {
    return resolveTarget(this.context.getRoutes(), this.request);
  }

  /** One send: takes a place, sends, and handles how that ended. */
  private async takeStep(): Promise<NextStep> {
    const target = this.resolve();
    const {service} = target;
    if (this.isSentBefore && !this.context.budgets.acquire(service.name)) {
      throw buildRefusal('the retry budget is used up', this.runs > 0);
    }
    // A stream goes on with the model that began it.
    const model = this.answer.isBegun
      ? this.cascade.answeredBy
      : this.cascade.chooseNext(target);
    const waitStart = performance.now();
    const place = await this.acquirePlace(target, model);
    this.waitedMs += performance.now() - waitStart;
    try {
      const now = this.resolve();
      const isMoved =
        now.service.name !== service.name || now.customer !== target.customer;
      if (isMoved || !this.context.servers.isReady(place.server)) {
        return 'again';
      }
      const {context, request} = this;
      const send = new SendRecord(context, request, now, place, model);
      const outcome = await this.runSend(send);
      this.noteOutcome(send, outcome);
      return await this.handleOutcome(outcome, send);
    } finally {
      place.release();
    }
  }

  private acquirePlace(
    target: RequestTarget,
    model: string | undefined,
  ): Promise<SlotReservation> {
    const {request, context, controller} = this;
    const {route, service, priority} = target;
    const side = context.versions.assignVariant(
      service.name,
      request.session,
      request.id,
    );
    const waitMs = route.targetLatencyMs * QUEUE_PART;
    return context.placement.acquire({
      request,
      service,
      route: route.name,
      variant: side,
      model,
      priority,
      tried: this.tried,
      abandonAt: Math.min(this.limitAt, performance.now() + waitMs),
      signal: controller.signal,
    });
  }

  private runSend(send: SendRecord): Promise<AttemptOutcome> {
    const {request, context, controller} = this;
    const {target, reservation: place, model} = send;
    const {server} = place;
    const leftMs = this.limitAt - performance.now();
    const {address, id} = server.listing.registration;
    return sendAttempt({
      agent: server.agent,
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
      headTimeouts: this.computePatience(send, leftMs),
      isServerActive: () => context.servers.isActive(server),
      signal: controller.signal,
    });
  }

  /** How long to wait for the head of the answer. */
  private computePatience(
    {target, reservation: place, kind}: SendRecord,
    leftMs: number,
  ): SilenceTimeouts {
    const {pendingMs, othersPendingMs} = place.server;
    return computeHeadTimeouts({
      isRepeatable: this.isRepeatAllowed(target, this.runs + 1),
      targetLatencyMs: target.route.targetLatencyMs,
      typicalMs: this.context.times.getTypicalMs(kind),
      pendingMs: pendingMs + othersPendingMs,
      leftMs,
    });
  }

  /** How long an answer that has begun may fall silent. */
  private computePausePatience(target: RequestTarget): SilenceTimeouts {
    return computeStallTimeouts({
      isRepeatable: this.isRepeatAllowed(target, this.runs),
      longestPauseMs: target.route.longestPauseMs,
      leftMs: this.limitAt - performance.now(),
    });
  }

  private noteOutcome(send: SendRecord, outcome: AttemptOutcome): void {
    const {id} = send.reservation.server.listing.registration;
    this.tried.add(id);
    this.history.push(`${id}:${describeOutcome(outcome)}`);
    if (outcome.type !== 'unsent') this.isSentBefore = true;
    send.recordOutcome(outcome, this.controller.signal.aborted);
  }

  private async handleOutcome(
    outcome: AttemptOutcome,
    send: SendRecord,
  ): Promise<NextStep> {
    switch (outcome.type) {
      case 'unsent':
      case 'refused':
        return this.handleFruitless(outcome);
      case 'lost':
        this.runs += 1;
        return this.handleUnknownRun(send.target, outcome.reason);
      case 'answered':
        this.runs += 1;
        return this.handleAnswer(outcome.answer, send);
    }
  }

  /** The request has not run there, so another server may have it. */
  private handleFruitless(outcome: AttemptOutcome): NextStep {
    this.checkTime();
    this.fruitlessSends += 1;
    if (this.fruitlessSends <= MAX_FRUITLESS_SENDS) return 'again';
    throw buildRefusal(`${outcome.type} by several servers`, this.runs > 0);
  }

  /** The request may have run; only what may be repeated goes on. */
  private handleUnknownRun(target: RequestTarget, reason: string): NextStep {
    this.checkTime();
    if (this.isRepeatAllowed(target, this.runs)) return 'again';
    throw new SycamoreheadError('outcome_unknown', reason);
  }

  private async handleAnswer(
    serverAnswer: ServerAnswer,
    send: SendRecord,
  ): Promise<NextStep> {
    const {cascade} = this;
    const {target} = send;
    cascade.recordAnswer(send.model, serverAnswer.confidence);
    const isWeak =
      serverAnswer.status === 200 &&
      !this.answer.isBegun &&
      cascade.isWeak(target);
    if (isWeak && this.isRepeatAllowed(target, this.runs)) {
      serverAnswer.cancel();
      this.requestLarger(target);
      return 'again';
    }
    const isError = serverAnswer.status >= 500;
    if (isError) send.recordError();
    if (isError && this.isRepeatAllowed(target, this.runs)) {
      serverAnswer.cancel();
      return 'again';
    }
    const result = await this.deliver(serverAnswer, send);
    return this.handleDelivery(result, send);
  }

  private deliver(
    serverAnswer: ServerAnswer,
    send: SendRecord,
  ): Promise<DeliveryResult> {
    const {servers} = this.context;
    const {target, reservation: place} = send;
    const {server} = place;
    let ownBytesAt = performance.now();
    return deliverAnswer({
      serverAnswer,
      answer: this.answer,
      method: this.request.method,
      lastEventId: this.lastEventId,
      stallTimeouts: this.computePausePatience(target),
      isServerActive: () =>
        server.lastReceivedAt > ownBytesAt && servers.isActive(server),
      isResendPermitted: () => this.isResendPermitted(target.service.name),
      onFirstBytes: () => send.recordFirstBytes(),
      onBytes: () => {
        ownBytesAt = performance.now();
        server.lastReceivedAt = ownBytesAt;
      },
    });
  }

  /** Starts over with a larger model, which any server may be asked for. */
  private requestLarger({route}: RequestTarget): void {
    this.history.push(`escalated:${this.cascade.lastConfidence}`);
    this.cascade.requestLargerModel();
    this.tried.clear();
    this.context.metrics.recordEscalation(route.name);
  }

  private handleDelivery(result: DeliveryResult, send: SendRecord): NextStep {
    this.lastEventId = result.lastEventId;
    if (result.isComplete) return 'done';
    this.history.push('broken');
    if (this.answer.disconnected.aborted) return 'done';
    send.recordInterruption(result.reason);
    return this.handleUnknownRun(send.target, result.reason);
  }

  /** Whether the request may run once more after so many runs. */
  private isRepeatAllowed(
    {route, service}: RequestTarget,
    runs: number,
  ): boolean {
    // Of an answer that has begun, only a stream can go on elsewhere.
    const isRepeatable =
      (route.kind === 'safe' && !this.answer.isBegun) ||
      (route.kind === 'streaming' && route.isResumable);
    return (
      isRepeatable &&
      runs < route.maxAttempts &&
      this.context.budgets.hasCapacity(service.name)
    );
  }

  /** Whether another send to the service would still be permitted. */
  private isResendPermitted(service: string): boolean {
    const target = findTarget(this.context.getRoutes(), this.request);
    if (target?.service.name !== service) return false;
    return this.isRepeatAllowed(target, this.runs);
  }

  private checkTime(): void {
    if (!this.controller.signal.aborted) return;
    throw new SycamoreheadError('deadline_exceeded', 'the time is up');
  }

  private logEnd(): void {
    const {request, answer, history} = this;
    const status = answer.disconnected.aborted ? 0 : answer.sentStatus;
    this.context.metrics.recordAnswer(this.routeName, status);
    this.context.metrics.recordWait(this.waitedMs);
    writeRequestLine({
      request,
      status,
      history,
      failure: this.failure,
      isCallerDisconnected: answer.disconnected.aborted,
      cascade: this.cascade,
      routeName: this.routeName,
      waitedMs: this.waitedMs,
      version: this.context.getRoutes()?.version,
    });
  }
}
