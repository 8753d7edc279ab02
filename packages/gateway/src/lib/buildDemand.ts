import {buildWorkKind} from './AnswerTimes.js';
import type {CallerRequest} from './CallerRequest.js';
import {computeWaitLimits} from './computeWaitLimits.js';
import type {ForwardContext} from './gatewayTypes.js';
import type {PlacementRequest} from './Placement.js';
import type {RequestTarget} from './resolveTarget.js';
import type {VersionVariant} from './VersionSplit.js';

/** What the demand of a send is built from. @internal */
export interface DemandInput {
  readonly request: CallerRequest;
  readonly target: RequestTarget;
  readonly variant: VersionVariant;
  readonly model: string | undefined;
  /** Ids of the servers to which the request was sent for the model. */
  readonly tried: ReadonlySet<string>;
  /** The deadline for the final answer, on the monotonic clock. */
  readonly deadlineAt: number;
  /** Whether a part of the answer has gone out. */
  readonly isBegun: boolean;
  readonly signal: AbortSignal;
}

/**
 * Computes the deadline for the final answer to a request, on the monotonic clock.
 *
 * @example
 * ```ts
 * computeDeadline(request, target);
 * ```
 * @internal
 */
export function computeDeadline(
  {waitMs, arrivedAt}: Pick<CallerRequest, 'waitMs' | 'arrivedAt'>,
  {route}: RequestTarget,
): number {
  return arrivedAt + Math.min(waitMs ?? Infinity, route.timeoutMs);
}

/**
 * Builds what a send needs of a server and of its turn.
 *
 * @example
 * ```ts
 * const reservation = await placement.acquire(buildDemand(context, input));
 * ```
 * @internal
 */
export function buildDemand(
  {times}: Pick<ForwardContext, 'times'>,
  input: DemandInput,
): PlacementRequest {
  const {request, target, variant, model, tried, deadlineAt} = input;
  const {isBegun, signal} = input;
  const {route, service, priority, customer} = target;
  const limits = computeWaitLimits({
    now: performance.now(),
    arrivedAt: request.arrivedAt,
    targetLatencyMs: route.targetLatencyMs,
    typicalMs: times.getTypicalMs(buildWorkKind(route.name, model)),
    deadlineAt,
    longestPauseMs: isBegun ? route.longestPauseMs : undefined,
  });
  return {
    request,
    service,
    route: route.name,
    variant,
    model,
    priority,
    customer,
    tried,
    ...limits,
    // A refusal would cut the stream.
    ...(isBegun && {reviewAt: limits.abandonAt}),
    deadlineAt,
    objectiveAt: isBegun
      ? undefined
      : request.arrivedAt + route.targetLatencyMs,
    signal,
  };
}
