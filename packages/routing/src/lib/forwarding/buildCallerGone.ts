import {SycamoreheadError} from '@sycamorehead/schema';

/**
 * Builds the error of a request that was not sent because its caller has disconnected.
 *
 * @example
 * ```ts
 * buildCallerGone().ran; // 'no'
 * ```
 * @public
 */
export function buildCallerGone(): SycamoreheadError {
  return new SycamoreheadError('caller_gone', 'the caller has gone', {
    ran: 'no',
  });
}
