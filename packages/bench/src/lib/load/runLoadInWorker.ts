import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import type {Arrival} from './arrivals.js';
import type {CallRecord, LoadTarget} from './runLoad.js';

/** Worker data of a load thread. @internal */
export interface LoadWorkerData {
  readonly target: Omit<LoadTarget, 'getKey'>;
  readonly keys: Readonly<Record<string, string>>;
  readonly arrivals: readonly Arrival[];
}

/**
 * Runs a load in a separate thread, so that work of the entries on the calling thread does not
 * distort the measured times.
 *
 * @example
 * ```ts
 * const records = await runLoadInWorker({target: {entryUrls}, keys, arrivals});
 * ```
 * @public
 */
export async function runLoadInWorker(
  data: LoadWorkerData,
): Promise<CallRecord[]> {
  const worker = new Worker(new URL('./loadWorker.js', import.meta.url), {
    workerData: data,
  });
  const [records] = (await once(worker, 'message')) as [CallRecord[]];
  await worker.terminate();
  return records;
}
