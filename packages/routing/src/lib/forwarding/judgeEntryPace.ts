/** How an entry keeps up with its own work. @public */
export interface EntryPace {
  /** Time for which work that is ready waits for the processor, in milliseconds. */
  readonly processorDelayMs: number;
  /** Time that the bytes queued for callers need on the entry's link, in milliseconds. */
  readonly linkDelayMs: number;
}

/**
 * Number of times that one request waits for the processor before its caller has the first bytes: its
 * body is read, it is sent, the answer is read, and written.
 */
const WAITS_PER_REQUEST = 4;
/** Maximum part of a latency objective that an entry itself may use up. */
const MAX_OWN_FRACTION = 0.5;
/** Maximum part of the requests that an entry refuses for its own delay; it may be no worse elsewhere. */
const MAX_REFUSED_SHARE = 0.9;
/** Own delay above which callers are better served by any other entry, in milliseconds. */
const OVERLOADED_MS = 1_000;

/**
 * Estimates how much later the caller of a request gets its first bytes because of the entry itself,
 * in milliseconds.
 *
 * @example
 * ```ts
 * estimateOwnDelay({processorDelayMs: 30, linkDelayMs: 5}); // 125
 * ```
 * @public
 */
export function estimateOwnDelay({
  processorDelayMs,
  linkDelayMs,
}: EntryPace): number {
  return processorDelayMs * WAITS_PER_REQUEST + linkDelayMs;
}

/**
 * Computes the share of the requests with a latency objective that an entry refuses at once, because it
 * would answer them late itself. Answers the load of entries with a small processor or link, or that have
 * turned slow: the load balancer gives each the same number of callers, and one that is told at once can
 * be served in time by another entry. What is refused grows with the delay, so that the entry keeps the
 * work with which it keeps up.
 *
 * @example
 * ```ts
 * computeRefusedShare({processorDelayMs: 50, linkDelayMs: 0}, 200); // 0.5
 * ```
 * @public
 */
export function computeRefusedShare(
  pace: EntryPace,
  targetLatencyMs: number,
): number {
  const ownMs = estimateOwnDelay(pace);
  const allowedMs = targetLatencyMs * MAX_OWN_FRACTION;
  if (ownMs <= allowedMs) return 0;
  return Math.min(MAX_REFUSED_SHARE, 1 - allowedMs / ownMs);
}

/**
 * Returns whether an entry is so late that new callers are better served by any other entry.
 *
 * @example
 * ```ts
 * isEntryOverloaded({processorDelayMs: 400, linkDelayMs: 0}); // true
 * ```
 * @public
 */
export function isEntryOverloaded(pace: EntryPace): boolean {
  return estimateOwnDelay(pace) >= OVERLOADED_MS;
}
