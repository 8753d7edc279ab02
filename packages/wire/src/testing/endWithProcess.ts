import type {ChildProcess} from 'node:child_process';

/** Exit code of a process that a signal has ended, less the number of the signal. */
const SIGNAL_EXIT_CODE = 128;
const SIGNALS = {SIGINT: 2, SIGTERM: 15} as const;

const children = new Set<ChildProcess>();
let isWatching = false;

/**
 * Ends a child with this process, also where a test is ended by its time limit: what lives on holds its
 * addresses, and the next run fails.
 *
 * @example
 * ```ts
 * endWithProcess(spawn(process.execPath, ['program.js']));
 * ```
 * @public
 */
export function endWithProcess(child: ChildProcess): void {
  watchEnd();
  children.add(child);
  child.once('exit', () => children.delete(child));
}

function watchEnd(): void {
  if (isWatching) return;
  isWatching = true;
  process.once('exit', () => {
    for (const child of children) child.kill('SIGKILL');
  });
  for (const [signal, number] of Object.entries(SIGNALS)) {
    process.once(signal, () => process.exit(SIGNAL_EXIT_CODE + number));
  }
}
