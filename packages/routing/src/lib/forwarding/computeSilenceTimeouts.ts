/** The shortest timeout for a silent server, as a fraction of the target latency. */
const MIN_SILENT_FRACTION = 0.4;
/** The timeout for a silent server, as a multiple of the typical answer time. */
const TYPICAL_FACTOR = 3;
/**
 * The shortest timeout for an active server, as a multiple of the target latency. While the engines
 * are idle, another one probably answers in time; on full ones a second send only adds work.
 */
const ACTIVE_FACTORS = {idle: 0.5, full: 2} as const;

/** Inputs to the timeouts for the head of an answer. @public */
export interface HeadTimeoutInput {
  /** Whether the request may run again if this send is abandoned. */
  readonly isRepeatable: boolean;
  readonly targetLatencyMs: number;
  /**
   * Typical time to the first bytes of an answer to this kind of work; undefined before the first
   * answer.
   */
  readonly typicalMs: number | undefined;
  /** Work that is pending on the server, in milliseconds. */
  readonly pendingMs: number;
  /** The load of the engines: 0 is idle; at 1 as much work waits as the target latency allows. */
  readonly pressure: number;
  /** Time left for the request. */
  readonly leftMs: number;
}

/** Timeouts after which a server that sends nothing is abandoned, in milliseconds. @public */
export interface SilenceTimeouts {
  /** For a server that is silent on all connections. */
  readonly silentServerMs: number;
  /** For a server that is active on other connections. */
  readonly activeServerMs: number;
}

/**
 * Computes how long a send waits for the head of its answer. A server that still answers other
 * requests has a longer timeout, because under load abandoning the send would only repeat the
 * prefill.
 *
 * @example
 * ```ts
 * computeHeadTimeouts({...input, isRepeatable: false}).silentServerMs; // all the time left
 * ```
 * @public
 */
export function computeHeadTimeouts(input: HeadTimeoutInput): SilenceTimeouts {
  const {isRepeatable, targetLatencyMs, typicalMs, pendingMs, leftMs} = input;
  const load = Math.min(1, Math.max(0, input.pressure));
  if (!isRepeatable) return {silentServerMs: leftMs, activeServerMs: leftMs};
  const silentServerMs = Math.max(
    targetLatencyMs * MIN_SILENT_FRACTION,
    (typicalMs ?? targetLatencyMs) * TYPICAL_FACTOR + pendingMs,
  );
  const activeServerMs = Math.max(
    silentServerMs,
    targetLatencyMs *
      (ACTIVE_FACTORS.idle +
        (ACTIVE_FACTORS.full - ACTIVE_FACTORS.idle) * load),
  );
  return {
    silentServerMs: Math.min(leftMs, silentServerMs),
    activeServerMs: Math.min(leftMs, activeServerMs),
  };
}

/**
 * The stall timeout for a server that is silent on all connections, as a multiple of the longest
 * regular pause. An engine that prefills long prompts pauses all its streams for up to that long.
 */
const SILENT_STALL_FACTOR = 2;
/**
 * The stall timeout for a server that is active on other connections, as a multiple of the longest
 * regular pause.
 */
const ACTIVE_STALL_FACTOR = 4;

/** Inputs to the timeouts for a stream or body that has begun. @public */
export interface StallTimeoutInput {
  /** Whether the request may run again, or continue, on another server. */
  readonly isRepeatable: boolean;
  readonly longestPauseMs: number;
  /** Time left for the request. */
  readonly leftMs: number;
}

/**
 * Computes how long an answer that has begun may stall. The timeouts detect connections that fail
 * without a reset. They exceed the longest regular pause, because continuing on another server
 * repeats the prefill.
 *
 * @example
 * ```ts
 * computeStallTimeouts({isRepeatable: true, longestPauseMs: 1_000, leftMs: 9_000}); // 2000, 4000
 * ```
 * @public
 */
export function computeStallTimeouts(
  input: StallTimeoutInput,
): SilenceTimeouts {
  const {isRepeatable, longestPauseMs, leftMs} = input;
  if (!isRepeatable) return {silentServerMs: leftMs, activeServerMs: leftMs};
  return {
    silentServerMs: Math.min(leftMs, longestPauseMs * SILENT_STALL_FACTOR),
    activeServerMs: Math.min(leftMs, longestPauseMs * ACTIVE_STALL_FACTOR),
  };
}
