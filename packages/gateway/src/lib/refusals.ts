import {SycamoreheadError} from '@sycamorehead/schema';

/** Advice to callers that are refused, in milliseconds, spread by as much again. */
const RETRY_AFTER_MS = 250;

/**
 * Builds the error of a request that no server takes any more. One that may have run is never
 * answered as one that has not.
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
): SycamoreheadError {
  if (mayHaveRun) return new SycamoreheadError('outcome_unknown', message);
  return new SycamoreheadError('overloaded', message, {
    ran: 'no',
    retryAfterMs: spreadRetryAfter(),
  });
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
    retryAfterMs: spreadRetryAfter(),
  });
}

/**
 * Builds the error of a request whose time is up.
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
 * Replaces a refusal that would promise too much, and spreads the return of refused callers.
 *
 * @example
 * ```ts
 * limitPromise(overloaded, true).kind; // 'outcome_unknown'
 * ```
 * @public
 */
export function replaceUnsafeRefusal(
  error: SycamoreheadError,
  mayHaveRun: boolean,
): SycamoreheadError {
  if (error.kind !== 'overloaded') return error;
  return buildRefusal(error.message, mayHaveRun);
}

function spreadRetryAfter(): number {
  return RETRY_AFTER_MS * (1 + Math.random());
}
