/** Part of the target latency up to which work may wait at a server. */
const ADMIT_PART = 0.8;
/** The same for a request that has already been answered once, and would be lost. */
const INVESTED_PART = 1.6;

/** A place as admission sees it. @public */
export interface AdmissionView {
  /** Work placed at the server that has not begun to answer, in milliseconds. */
  readonly pendingMs: number;
  /** What this request would add, in milliseconds. */
  readonly ownMs: number;
  readonly targetLatencyMs: number;
  /** Whether servers have worked on this request before. */
  readonly isInvested: boolean;
}

/**
 * Tells whether a server can still begin its answer in time. Answers the load pattern of a burst
 * on top of a nearly full pool: without a bound every answer is late, with one the part that
 * fits is on time and the rest is told at once when to come back.
 *
 * @example
 * ```ts
 * isAdmissible({pendingMs: 900, ownMs: 400, targetLatencyMs: 1_500, isInvested: false}); // false
 * ```
 * @public
 */
export function isAdmissible(view: AdmissionView): boolean {
  const {pendingMs, ownMs, targetLatencyMs, isInvested} = view;
  // An idle server is never refused, however long the request.
  if (pendingMs <= 0) return true;
  const part = isInvested ? INVESTED_PART : ADMIT_PART;
  return pendingMs + ownMs <= targetLatencyMs * part;
}
