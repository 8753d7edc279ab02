/** Least time after which a silent server is given up, as a part of the target latency. */
const LEAST_PART = 0.4;
/** Times the usual answer time after which a silent server is given up. */
const USUAL_FACTOR = 3;
/** Time after which a server that is heard is given up, as a part of the target latency. */
const LIVE_PART = 2;

/** What is known of a send when it leaves. @public */
export interface HeadTimeoutInput {
  /** Whether the request may run again should this send be given up. */
  readonly isRepeatable: boolean;
  readonly targetLatencyMs: number;
  /** Usual time to the first event of this kind of work; undefined before the first. */
  readonly typicalMs: number | undefined;
  /** Work that waits at the server, in milliseconds. */
  readonly pendingMs: number;
  /** Time left for the request. */
  readonly leftMs: number;
}

/** How long to wait for the head of an answer, in milliseconds. @public */
export interface SilenceTimeouts {
  /** From a server that is silent on all connections. */
  readonly silentServerMs: number;
  /** From a server that is heard on other connections. */
  readonly activeServerMs: number;
}

/**
 * Computes how long a send waits for the head of its answer. Under load a server that still
 * answers others is waited for: giving up would only have the prompt read once more.
 *
 * @example
 * ```ts
 * computePatience({...outlook, isRepeatable: false}).silentMs; // all the time left
 * ```
 * @public
 */
export function computeHeadTimeouts(
  outlook: HeadTimeoutInput,
): SilenceTimeouts {
  const {
    isRepeatable,
    targetLatencyMs,
    typicalMs: usualMs,
    pendingMs,
    leftMs,
  } = outlook;
  if (!isRepeatable) return {silentServerMs: leftMs, activeServerMs: leftMs};
  const silentMs = Math.max(
    targetLatencyMs * LEAST_PART,
    (usualMs ?? targetLatencyMs) * USUAL_FACTOR + pendingMs,
  );
  const heardMs = Math.max(silentMs, targetLatencyMs * LIVE_PART);
  return {
    silentServerMs: Math.min(leftMs, silentMs),
    activeServerMs: Math.min(leftMs, heardMs),
  };
}

/**
 * Times the longest pause on time after which a server that is silent everywhere is given up. An
 * engine that reads long prompts lets all its streams pause, seen up to the pause itself.
 */
const SILENT_PAUSES = 2;
/** The same for a server that is heard on other connections. */
const HEARD_PAUSES = 4;

/** What is known of a stream or body that has begun. @public */
export interface StallTimeoutInput {
  /** Whether the request may run again, or go on, elsewhere. */
  readonly isRepeatable: boolean;
  readonly longestPauseMs: number;
  /** Time left for the request. */
  readonly leftMs: number;
}

/**
 * Computes how long an answer that has begun may fall silent. Answers connections that die without
 * a reset. A pause that is only late is waited out: going on elsewhere reads the prompt once more.
 *
 * @example
 * ```ts
 * computePausePatience({isRepeatable: true, longestPauseMs: 1_000, leftMs: 9_000}); // 2000, 4000
 * ```
 * @public
 */
export function computeStallTimeouts(
  outlook: StallTimeoutInput,
): SilenceTimeouts {
  const {isRepeatable, longestPauseMs, leftMs} = outlook;
  if (!isRepeatable) return {silentServerMs: leftMs, activeServerMs: leftMs};
  return {
    silentServerMs: Math.min(leftMs, longestPauseMs * SILENT_PAUSES),
    activeServerMs: Math.min(leftMs, longestPauseMs * HEARD_PAUSES),
  };
}
