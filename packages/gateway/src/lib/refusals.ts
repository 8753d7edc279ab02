import {QueueRefusal, isRequestSegment} from '@sycamorehead/routing';
import {SycamoreheadError} from '@sycamorehead/schema';

/**
 * Minimum retry delay for refused callers, in milliseconds, and minimum range of the random delay
 * that is added.
 */
const RETRY_AFTER_MS = 250;
/** Retry delay of a request that is suspended, in milliseconds; the verdict has been reached by then. */
const SUSPENSION_RETRY_AFTER_MS = 2_000;
/** Retry delay of a request whose servers are in evacuated data centres, in milliseconds. */
const EVACUATION_RETRY_AFTER_MS = 2_000;
/** Maximum retry delay of a request that is not held while the directory fills, in milliseconds. */
const MAX_HELD_RETRY_MS = 5_000;
/** Maximum random prolongation of a longer retry delay, as a fraction. */
const SPREAD_FRACTION = 0.25;

/** Statuses by which a caller knows that its request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Returns whether a status tells the caller that its request has not run.
 *
 * @example
 * ```ts
 * isNotRunStatus(429); // true
 * ```
 * @public
 */
export function isNotRunStatus(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/**
 * Builds the error of a request that is not sent to any further server. A request that may have
 * run is never reported as not run.
 *
 * @example
 * ```ts
 * buildRefusal('no server is left', false).ran; // 'no'
 * ```
 * @public
 */
export function buildRefusal(
  message: string,
  mayHaveRun: boolean,
  retryAfterMs = RETRY_AFTER_MS,
): SycamoreheadError {
  if (mayHaveRun) return new SycamoreheadError('outcome_unknown', message);
  return new SycamoreheadError('overloaded', message, {
    ran: 'no',
    retryAfterMs: computeSpreadDelay(retryAfterMs),
  });
}

/**
 * Builds the error of a request that this entry itself would probably answer late.
 *
 * @example
 * ```ts
 * buildPaceRefusal().ran; // 'no'
 * ```
 * @public
 */
export function buildPaceRefusal(): SycamoreheadError {
  return buildRefusal('this entry does not keep up', false);
}

/**
 * Builds the error of a request beyond those that are held until enough servers have registered.
 *
 * @example
 * ```ts
 * buildHeldRefusal(700).reason; // 'displaced'
 * ```
 * @internal
 */
export function buildHeldRefusal(leftMs: number): QueueRefusal {
  const delayMs = Math.min(MAX_HELD_RETRY_MS, Math.max(RETRY_AFTER_MS, leftMs));
  return new QueueRefusal('displaced', computeSpreadDelay(delayMs));
}

/**
 * Builds the error of a request that arrives before the first configuration.
 *
 * @example
 * ```ts
 * buildUnconfigured().kind; // 'no_configuration'
 * ```
 * @public
 */
export function buildUnconfigured(): SycamoreheadError {
  return new SycamoreheadError('no_configuration', 'no configuration yet', {
    ran: 'no',
    retryAfterMs: computeSpreadDelay(RETRY_AFTER_MS),
  });
}

/**
 * Builds the error of a request that has reached its time limit.
 *
 * @example
 * ```ts
 * buildTimeout(true).kind; // 'deadline_exceeded'
 * ```
 * @public
 */
export function buildTimeout(mayHaveRun: boolean): SycamoreheadError {
  const message = 'the time is up';
  if (mayHaveRun) return new SycamoreheadError('deadline_exceeded', message);
  return buildRefusal(message, false);
}

/**
 * Builds the error of a request that is in quarantine, or whose prompt has segments that are. A caller
 * who returns soon would be refused again, so the retry delay is long.
 *
 * @example
 * ```ts
 * buildQuarantineRefusal(['5c1e07a2'], false).ran; // 'no'
 * ```
 * @public
 */
export function buildQuarantineRefusal(
  segments: readonly string[],
  mayHaveRun: boolean,
): SycamoreheadError {
  const isRequest = segments.some(isRequestSegment);
  const subject = isRequest ? '' : 'prompt segments ';
  const message = `in quarantine: ${subject}${segments.join(',')}`;
  if (mayHaveRun) return new SycamoreheadError('outcome_unknown', message);
  return new SycamoreheadError(
    isRequest ? 'request_quarantined' : 'segment_quarantined',
    message,
  );
}

/**
 * Builds the error of a request that may come into quarantine within a moment, by itself or by a segment.
 *
 * @example
 * ```ts
 * buildSuspensionRefusal('request:q3V0b2xk9_aTz1Yc', false).retryAfterMs; // 2_000
 * ```
 * @public
 */
export function buildSuspensionRefusal(
  id: string,
  mayHaveRun: boolean,
): SycamoreheadError {
  const message = `suspended: servers crash under ${id}`;
  if (mayHaveRun) return new SycamoreheadError('outcome_unknown', message);
  const kind = isRequestSegment(id)
    ? 'request_quarantined'
    : 'segment_quarantined';
  return new SycamoreheadError(kind, message, {
    ran: 'no',
    retryAfterMs: SUSPENSION_RETRY_AFTER_MS,
  });
}

/**
 * Builds the error of a request that only servers of evacuated data centres may run.
 *
 * @example
 * ```ts
 * buildEvacuationRefusal(['a']).kind; // 'data_centre_evacuated'
 * ```
 * @public
 */
export function buildEvacuationRefusal(
  dataCentres: readonly string[],
): SycamoreheadError {
  return new SycamoreheadError(
    'data_centre_evacuated',
    `only servers of evacuated data centres may run it: ${dataCentres.join(',')}`,
    {
      ran: 'no',
      retryAfterMs: computeSpreadDelay(EVACUATION_RETRY_AFTER_MS),
    },
  );
}

/**
 * Replaces a refusal that would wrongly report the request as not run, and spreads the retries of
 * refused callers.
 *
 * @example
 * ```ts
 * replaceUnsafeRefusal(overloaded, true).kind; // 'outcome_unknown'
 * ```
 * @public
 */
export function replaceUnsafeRefusal(
  error: SycamoreheadError,
  mayHaveRun: boolean,
): SycamoreheadError {
  if (mayHaveRun && error.ran === 'no')
    return buildRefusal(error.message, true);
  if (error.kind !== 'overloaded' || error.retryAfterMs !== undefined) {
    return error;
  }
  return buildRefusal(error.message, mayHaveRun);
}

/** Adds a random delay, so that refused callers do not return at the same moment. */
function computeSpreadDelay(ms: number): number {
  return ms + Math.max(ms * SPREAD_FRACTION, RETRY_AFTER_MS) * Math.random();
}
