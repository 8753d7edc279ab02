/** Prompt segments cannot have such ids, since a colon ends an id in a prompt. */
const REQUEST_PREFIX = 'request:';

/**
 * Builds the id under which a whole request is suspected, beside the segments of its prompt.
 *
 * @example
 * ```ts
 * buildRequestSegment('q3V0b2xk9_aTz1Yc'); // 'request:q3V0b2xk9_aTz1Yc'
 * ```
 * @public
 */
export function buildRequestSegment(fingerprint: string): string {
  return `${REQUEST_PREFIX}${fingerprint}`;
}

/**
 * Returns whether an id stands for a whole request and not for a segment of a prompt.
 *
 * @example
 * ```ts
 * isRequestSegment('5c1e07a2'); // false
 * ```
 * @public
 */
export function isRequestSegment(id: string): boolean {
  return id.startsWith(REQUEST_PREFIX);
}
