import {getErrorResponse, toSycamoreheadError} from '@sycamorehead/schema';

/**
 * Runs a command's work; a failure is written to the standard error, and its kind's exit code is
 * set.
 *
 * @returns whether the work succeeded.
 * @example
 * ```ts
 * if (!(await runReporting(() => startEntry(settings)))) process.exit();
 * ```
 * @public
 */
export async function runCommand(
  work: () => Promise<void> | void,
): Promise<boolean> {
  try {
    await work();
    return true;
  } catch (thrown) {
    const error = toSycamoreheadError(thrown);
    console.error(`${error.kind}: ${error.message}`);
    process.exitCode = getErrorResponse(error.kind).exitCode;
    return false;
  }
}
