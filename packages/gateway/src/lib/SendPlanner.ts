import {QueueNote, QueueRefusal} from '@sycamorehead/routing';
import {buildWorkKind} from './AnswerTimes.js';
import {buildDemand} from './buildDemand.js';
import type {CallerAnswer} from './CallerAnswer.js';
import type {CallerRequest} from './CallerRequest.js';
import type {CrashGuard} from './CrashGuard.js';
import {ExtraSends} from './ExtraSends.js';
import type {ForwardContext} from './gatewayTypes.js';
import type {ModelCascade} from './ModelCascade.js';
import type {PlacementRequest, SlotReservation} from './Placement.js';
import {RequestTarget, findTarget, resolveTarget} from './resolveTarget.js';
import type {RunTracker} from './RunTracker.js';

/** Time that the cancellation of an answer may take, in milliseconds. */
const MAX_CANCELLATION_MS = 250;

/** A send that has its slot and is charged to the retry budget. @internal */
export interface PlannedSend {
  readonly target: RequestTarget;
  /** Model that the send is to name, if any. */
  readonly model: string | undefined;
  readonly reservation: SlotReservation;
}

/** Dependencies of a SendPlanner. @internal */
export interface SendPlannerOptions {
  readonly context: ForwardContext;
  readonly request: CallerRequest;
  readonly answer: CallerAnswer;
  readonly runs: RunTracker;
  readonly guard: CrashGuard;
  readonly cascade: ModelCascade;
  /** Aborted once the answer is no longer needed. */
  readonly signal: AbortSignal;
  /** Returns the deadline for the final answer, on the monotonic clock. */
  getDeadline(): number;
}

/**
 * Plans the sends of one request: what each needs is checked, charged and reserved.
 *
 * @internal
 */
export class SendPlanner {
  private readonly extras: ExtraSends;
  /** Ids of the servers to which this request was sent for the current model. */
  private readonly tried = new Set<string>();
  /** The next send, if it was planned before the last answer was given up. */
  private planned: PlannedSend | undefined;
  private totalWaitMs = 0;
  private note: QueueNote | undefined;

  constructor(private readonly options: SendPlannerOptions) {
    this.extras = new ExtraSends(options.context.budgets);
  }

  // Commands.

  /**
   * Plans the next send, and waits for a slot if none is free. The caller has to release the slot.
   *
   * @throws SycamoreheadError if no send is allowed, or no slot is free in time.
   */
  async plan(): Promise<PlannedSend> {
    const {planned} = this;
    this.planned = undefined;
    if (planned) return planned;
    const {context, request, answer, runs, guard, cascade} = this.options;
    const target = resolveTarget(context.getRoutes(), request);
    guard.checkSend(target);
    runs.checkSend(target);
    this.extras.acquire(target.service.name, runs.mayHaveRun);
    // A stream continues with the model that began it.
    const model = answer.isBegun
      ? cascade.answeredBy
      : cascade.chooseNext(target);
    const waitStart = performance.now();
    const demand = this.buildDemand(target, model, this.tried);
    try {
      const reservation = await context.placement.acquire(demand);
      return {target, model, reservation};
    } catch (error) {
      if (error instanceof QueueRefusal) {
        context.metrics.recordQueueRefusal(target.service.name, error.reason);
      }
      throw error;
    } finally {
      this.totalWaitMs += performance.now() - waitStart;
    }
  }

  /**
   * Plans the send to a larger model if the last answer, that of a send with this slot, is weak and
   * everything that the next send needs can be had at once; the servers already tried may be chosen again.
   *
   * @returns false if the answer is to be delivered; it would be lost if it were given up first.
   */
  planLarger(last: SlotReservation): boolean {
    const {context, request, runs, guard, cascade} = this.options;
    // The configuration may have changed since the answer was requested.
    const target = findTarget(context.getRoutes(), request);
    if (!target || !runs.isRepeatAllowed(target)) return false;
    if (!guard.isResendCertain(target)) return false;
    const model = cascade.chooseLarger(target);
    if (model === undefined || !this.hasTime(target, model)) return false;
    // The answer has begun.
    last.markStarted();
    const demand = this.buildDemand(target, model, new Set());
    const reservation = context.placement.tryAcquire(demand);
    if (!reservation) return false;
    if (!this.extras.tryAcquire(target.service.name)) {
      reservation.release();
      return false;
    }
    this.planned = {target, model, reservation};
    this.tried.clear();
    return true;
  }

  /** Records a send to a server; one that did not begin uses up no charge. */
  recordSend(serverId: string, hasBegun: boolean): void {
    this.tried.add(serverId);
    if (hasBegun) this.extras.recordSend();
  }

  /** Releases what is reserved for a send that is not made. */
  release(): void {
    this.planned?.reservation.release();
    this.planned = undefined;
  }

  // Queries.

  /** Time that sends have waited for their slots, in milliseconds. */
  get waitedMs(): number {
    return this.totalWaitMs;
  }

  /** How the last send that waited for its slot began to wait. */
  get queueNote(): QueueNote | undefined {
    return this.note;
  }

  /** Returns whether a larger model can probably answer in time after the last answer is cancelled. */
  private hasTime({route}: RequestTarget, model: string): boolean {
    const kind = buildWorkKind(route.name, model);
    const typicalMs = this.options.context.times.getTypicalMs(kind) ?? 0;
    const leftMs = this.options.getDeadline() - performance.now();
    return leftMs >= MAX_CANCELLATION_MS + typicalMs;
  }

  private buildDemand(
    target: RequestTarget,
    model: string | undefined,
    tried: ReadonlySet<string>,
  ): PlacementRequest {
    const {request, context, answer, signal} = this.options;
    const variant = context.versions.assignVariant(
      target.service.name,
      request.session,
      request.id,
    );
    const demand = buildDemand(context, {
      request,
      target,
      variant,
      model,
      tried,
      deadlineAt: this.options.getDeadline(),
      isBegun: answer.isBegun,
      signal,
    });
    return {...demand, onQueued: note => (this.note = note)};
  }
}
