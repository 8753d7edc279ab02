import {createHash} from 'node:crypto';
import type {CallerRequest} from './CallerRequest.js';

/** Length of a fingerprint, in characters of 6 bits. */
const FINGERPRINT_LENGTH = 16;

/**
 * Computes the fingerprint of what a caller requests. A request that the same customer sends again, under
 * another id and to another entry, has the same fingerprint; ids, deadlines and sessions do not count.
 *
 * @example
 * ```ts
 * computeFingerprint(request, 'clinic'); // 'q3V0b2xk9_aTz1Yc'
 * ```
 * @internal
 */
export function computeFingerprint(
  request: Pick<CallerRequest, 'host' | 'method' | 'target' | 'body'>,
  customer: string | undefined,
): string {
  const {host, method, target, body} = request;
  const hash = createHash('sha256');
  // JSON keeps the parts apart, whatever characters they contain.
  hash.update(JSON.stringify([host, method, target, customer ?? null]));
  hash.update(body);
  return hash.digest('base64url').slice(0, FINGERPRINT_LENGTH);
}
