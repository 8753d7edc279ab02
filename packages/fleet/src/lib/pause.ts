/**
 * Waits on the runtime's clock, which tests may pause; the promises of `node:timers` don't follow it.
 *
 * @example
 * ```ts
 * await pause(200);
 * ```
 * @internal
 */
export function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
