/**
 * Waits until the required number of calls have succeeded, or all have settled.
 *
 * @returns whether the required number has succeeded.
 * @internal
 */
export async function waitForSuccesses(
  calls: ReadonlyArray<Promise<unknown>>,
  needed: number,
): Promise<boolean> {
  if (needed === 0) return true;
  let succeeded = 0;
  return new Promise(resolve => {
    const settled = calls.map(async call => {
      try {
        await call;
        succeeded += 1;
      } catch {
        // A failed call is not counted. The caller handles the case that too few succeed.
      }
      if (succeeded >= needed) resolve(true);
    });
    void Promise.all(settled).then(() => resolve(succeeded >= needed));
  });
}
