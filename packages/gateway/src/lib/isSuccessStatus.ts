/**
 * Returns whether a status tells of a success.
 *
 * @example
 * ```ts
 * isSuccessStatus(204); // true
 * ```
 * @internal
 */
export function isSuccessStatus(status: number): boolean {
  return status >= 200 && status < 300;
}
