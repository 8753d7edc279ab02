/** The request id that an entry assigns, and the number of the attempt. */
const ATTEMPT_ID = /^req-[\da-f]{8}(?:-[\da-f]{4}){3}-[\da-f]{12}\.\d+$/;

/**
 * Returns whether an id is that of an attempt for some request, and none that an engine assigns.
 *
 * @example
 * ```ts
 * isAttemptId('req-0b5c0b6e-5d0c-4a3e-9a53-6a8f0c1f2d3e.1'); // true
 * ```
 * @internal
 */
export function isAttemptId(id: string): boolean {
  return ATTEMPT_ID.test(id);
}
