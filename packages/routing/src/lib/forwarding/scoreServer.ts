/** A backend server as the scoring sees it. @public */
export interface ServerCandidate {
  /** The known requests in flight on it, of all entries. */
  readonly load: number;
  /** Requests that it runs concurrently. */
  readonly slots: number;
  /** Work sent to it whose answer has not begun, in milliseconds of server time. */
  readonly pendingMs: number;
  /** Work that this request would add, in milliseconds of server time. */
  readonly ownMs: number;
  readonly isSameDataCentre: boolean;
  /** Whether it has missed heartbeats. */
  readonly isSilent: boolean;
  /** Its answer times relative to those of its service; 1 is typical. */
  readonly slowness: number;
  /** Reading of the prompt segments that this one would push out, in milliseconds of server time. */
  readonly displacedMs?: number;
  /** Time left until the latency objective, in milliseconds; undefined if there is none. */
  readonly objectiveMs?: number;
}

/**
 * How servers are chosen: `sampled` compares a few by their estimated answer time, `estimated` all,
 * and `least_loaded` all by their requests in flight.
 *
 * @public
 */
export type ForwardPolicy = 'sampled' | 'estimated' | 'least_loaded';

/** Cost of a server with all slots taken, in milliseconds; each request slows down the others. */
const FULL_SERVER_MS = 100;
/** Time until a slot of a full server becomes free, in milliseconds. */
const SLOT_WAIT_MS = 200;
/** Typical error of the known load of a server, in requests, since reports are stale. */
const LOAD_ERROR = 1.5;
/**
 * Weight of the work that a request itself brings. While a server reads its prompt, all requests that
 * wait or run there are delayed, so that a longer wait at a server that has kept a part of the prompt
 * pays for the pool as a whole.
 */
const OWN_WORK_WEIGHT = 4;
/** Weight of the time by which an answer would miss its latency objective. */
const LATE_WEIGHT = 4;
/** Cost of a server in another data centre, in milliseconds. */
const DISTANCE_MS = 5;
/** Cost that ranks a silent server behind all others, in milliseconds. */
const SILENT_MS = 100_000;

/** What a score consists of, in its unit. @public */
export interface ScoreTerms {
  /** The work that waits there. */
  readonly pending: number;
  /** The expected wait for a slot. */
  readonly slotWait: number;
  /** The work that the request itself brings, weighted. */
  readonly ownWork: number;
  /** The kept prompts that it would push out, weighted. */
  readonly displaced: number;
  /** The requests in flight. */
  readonly load: number;
  /** The expected lateness, weighted. */
  readonly late: number;
  readonly distance: number;
  readonly silent: number;
}

const NO_TERMS: ScoreTerms = {
  pending: 0,
  slotWait: 0,
  ownWork: 0,
  displaced: 0,
  load: 0,
  late: 0,
  distance: 0,
  silent: 0,
};

const POLICY_TERMS: Readonly<
  Record<ForwardPolicy, (server: ServerCandidate) => ScoreTerms>
> = {
  least_loaded: ({load}) => ({...NO_TERMS, load}),
  estimated: estimateTerms,
  sampled: estimateTerms,
};

function estimateTerms(server: ServerCandidate): ScoreTerms {
  const {load, slots, pendingMs, ownMs, slowness, displacedMs = 0} = server;
  const utilization = load / Math.max(1, slots);
  const slotWaitMs = estimateSlotWaitMs(load, slots);
  const answerMs = (pendingMs + slotWaitMs + ownMs) * slowness;
  return {
    pending: pendingMs * slowness,
    slotWait: slotWaitMs * slowness,
    ownWork: ownMs * OWN_WORK_WEIGHT * slowness,
    displaced: displacedMs * OWN_WORK_WEIGHT * slowness,
    load: utilization * FULL_SERVER_MS * slowness,
    late: estimateLateMs(server, answerMs) * LATE_WEIGHT,
    distance: server.isSameDataCentre ? 0 : DISTANCE_MS,
    silent: server.isSilent ? SILENT_MS : 0,
  };
}

/** Estimates how late an answer would be that begins after `answerMs`. */
function estimateLateMs(
  {objectiveMs = Infinity}: ServerCandidate,
  answerMs: number,
): number {
  return Math.max(0, answerMs - Math.max(0, objectiveMs));
}

/**
 * Estimates how long a request would wait for a slot. The load is known roughly, so a server that
 * seems to have one slot left may be full.
 */
function estimateSlotWaitMs(load: number, slots: number): number {
  const excess = (load + 1 - slots) / LOAD_ERROR;
  return SLOT_WAIT_MS * LOAD_ERROR * Math.log1p(Math.exp(excess));
}

/**
 * Scores a backend server for a request; the lowest score wins. `least_loaded` counts the requests
 * in flight; the other policies estimate the time until the server would answer, in milliseconds.
 *
 * @example
 * ```ts
 * scoreServer('estimated', server); // 212
 * ```
 * @public
 */
export function scoreServer(
  policy: ForwardPolicy,
  server: ServerCandidate,
): number {
  const terms = computeScoreTerms(policy, server);
  return (
    terms.pending +
    terms.slotWait +
    terms.ownWork +
    terms.displaced +
    terms.load +
    terms.late +
    terms.distance +
    terms.silent
  );
}

/**
 * Computes the terms of which the score of a backend server is the sum.
 *
 * @example
 * ```ts
 * computeScoreTerms('estimated', server).distance; // 5
 * ```
 * @public
 */
export function computeScoreTerms(
  policy: ForwardPolicy,
  server: ServerCandidate,
): ScoreTerms {
  return POLICY_TERMS[policy](server);
}
