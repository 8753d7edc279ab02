import {getErrorResponse, toSycamoreheadError} from '@sycamorehead/schema';

/**
 * Runs a command. A failure is written to standard error, and the process's exit code is set to
 * that of the error kind.
 *
 * @returns whether the command succeeded.
 * @example
 * ```ts
 * if (!(await runCommand(() => startEntry(settings)))) process.exit();
 * ```
 * @public
 */
export async function runCommand(
  command: () => Promise<void> | void,
): Promise<boolean> {
  try {
    await command();
    return true;
  } catch (thrown) {
    const error = toSycamoreheadError(thrown);
    console.error(`${error.kind}: ${error.message}`);
    process.exitCode = getErrorResponse(error.kind).exitCode;
    return false;
  }
}
