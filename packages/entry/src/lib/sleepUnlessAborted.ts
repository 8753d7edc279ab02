/**
 * Sleeps; returns early once the signal is aborted.
 *
 * @example
 * ```ts
 * await sleepUnlessAborted(50, signal);
 * ```
 * @internal
 */
export function sleepUnlessAborted(
  ms: number,
  signal: AbortSignal,
): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise(resolve => {
    const finish = () => {
      clearTimeout(timer);
      signal.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    signal.addEventListener('abort', finish, {once: true});
  });
}
