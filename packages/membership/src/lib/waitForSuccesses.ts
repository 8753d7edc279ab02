/**
 * Waits until enough of the calls have succeeded, or all have settled.
 *
 * @returns whether enough have succeeded.
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
        // Told to the backend server where too few are left.
      }
      if (succeeded >= needed) resolve(true);
    });
    void Promise.all(settled).then(() => resolve(succeeded >= needed));
  });
}
