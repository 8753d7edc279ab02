/** Minimum wait for a slot before a request is refused, as a fraction of the target latency. */
const MIN_WAIT_FRACTION = 0.4;
/** Time that an answer is taken to need while that is unknown, as a fraction of the time allowed. */
const UNKNOWN_ANSWER_FRACTION = 0.2;
/** Time allowed for the answer to a send, relative to the typical one. */
const ANSWER_TIME_FACTOR = 1.25;

/** What the time that a request may wait for a slot depends on. @internal */
export interface WaitLimitInput {
  /** Times are on the monotonic clock, in milliseconds. */
  readonly now: number;
  readonly arrivedAt: number;
  readonly targetLatencyMs: number;
  /** The typical time from a send to the beginning of its answer; undefined if unknown. */
  readonly typicalMs: number | undefined;
  readonly deadlineAt: number;
  /** The longest pause of an answer that has begun and is to go on; undefined for a new one. */
  readonly longestPauseMs: number | undefined;
}

/** The limits of a wait that depend on when it begins. @internal */
export interface RenewedLimits {
  readonly abandonAt: number;
  readonly reviewAt?: number;
}

/** The limits of a wait, on the monotonic clock. @internal */
export interface WaitLimits {
  /** The time until which a send is probably answered in time. */
  readonly startBy: number;
  /** The time at which the request is refused. */
  readonly abandonAt: number;
  /** The time at which the request is refused if no places are known to come free. */
  readonly reviewAt: number;
}

/**
 * Computes how long a request may wait for a slot, under a load that exceeds the slots: as long as its
 * answer can still begin in time. One that can't be in time anyway waits a while for slots that nobody
 * else needs. As long as no places are known to come free, a request is held no longer than that while, so
 * that its caller has time to return.
 *
 * @example
 * ```ts
 * computeWaitLimits({
 *   now: 0,
 *   arrivedAt: 0,
 *   targetLatencyMs: 8_000,
 *   typicalMs: 800,
 *   deadlineAt: 20_000,
 *   longestPauseMs: undefined,
 * }).startBy; // 7_000
 * ```
 * @internal
 */
export function computeWaitLimits(input: WaitLimitInput): WaitLimits {
  const {now, arrivedAt, targetLatencyMs, deadlineAt, longestPauseMs} = input;
  const allowedMs = longestPauseMs ?? targetLatencyMs;
  const typicalMs = input.typicalMs ?? allowedMs * UNKNOWN_ANSWER_FRACTION;
  const answerMs = typicalMs * ANSWER_TIME_FACTOR;
  const dueAt =
    longestPauseMs === undefined
      ? arrivedAt + targetLatencyMs
      : now + longestPauseMs;
  const startBy = dueAt - answerMs;
  const leastUntil = now + targetLatencyMs * MIN_WAIT_FRACTION;
  const abandonAt = Math.min(deadlineAt, Math.max(startBy, leastUntil));
  return {startBy, abandonAt, reviewAt: Math.min(abandonAt, leastUntil)};
}

/**
 * Computes the limits of a new request's wait that begins later than they were computed for.
 *
 * @example
 * ```ts
 * const limits = {abandonAt: 7_000, reviewAt: 3_200, deadlineAt: 20_000};
 * renewWaitLimits(limits, 500); // {abandonAt: 7_000, reviewAt: 3_700}
 * ```
 * @internal
 */
export function renewWaitLimits(
  limits: RenewedLimits & {readonly deadlineAt: number},
  laterMs: number,
): RenewedLimits {
  const {reviewAt, deadlineAt} = limits;
  if (reviewAt === undefined) return {abandonAt: limits.abandonAt};
  const leastUntil = reviewAt + laterMs;
  const abandonAt = Math.min(
    deadlineAt,
    Math.max(limits.abandonAt, leastUntil),
  );
  return {abandonAt, reviewAt: Math.min(abandonAt, leastUntil)};
}
