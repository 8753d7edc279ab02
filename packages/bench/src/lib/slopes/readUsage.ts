import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const MICROS_PER_MS = 1_000;

/**
 * Returns the processor time that this process has used, in milliseconds.
 *
 * @example
 * ```ts
 * const before = readProcessorMs();
 * ```
 * @internal
 */
export function readProcessorMs(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / MICROS_PER_MS;
}

/**
 * Returns the memory in use after a full garbage collection, in bytes.
 *
 * @example
 * ```ts
 * const before = readMemoryBytes();
 * ```
 * @internal
 */
export function readMemoryBytes(): number {
  collectGarbage();
  collectGarbage();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

/**
 * Measures the memory that a value retains, in bytes.
 *
 * @example
 * ```ts
 * await measureRetainedBytes(() => new Array(1_000).fill({}));
 * ```
 * @internal
 */
export async function measureRetainedBytes(
  create: () => unknown,
): Promise<number> {
  // A turn of the event loop releases values of earlier measurements that are still on the stack.
  await new Promise(resolve => setImmediate(resolve));
  const before = readMemoryBytes();
  const retained = {value: create()};
  const bytes = readMemoryBytes() - before;
  retained.value = undefined;
  return bytes;
}
