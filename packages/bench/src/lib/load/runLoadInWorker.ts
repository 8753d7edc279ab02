import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import type {Arrival} from './arrivals.js';
import type {CallRecord, LoadTarget} from './runLoad.js';

/** What a load thread is started with. @internal */
export interface LoadWorkerData {
  readonly target: Omit<LoadTarget, 'getKey'>;
  readonly keys: Readonly<Record<string, string>>;
  readonly arrivals: readonly Arrival[];
}

/**
 * Makes every request of a list at its time from a thread of its own, so that the callers'
 * clocks do not suffer from the entries' work.
 *
 * @example
 * ```ts
 * const records = await runLoadInWorker({target: {entryUrls}, keys, arrivals});
 * ```
 * @public
 */
export async function runLoadInWorker(
  job: LoadWorkerData,
): Promise<CallRecord[]> {
  const worker = new Worker(new URL('./loadWorker.js', import.meta.url), {
    workerData: job,
  });
  const [records] = (await once(worker, 'message')) as [CallRecord[]];
  await worker.terminate();
  return records;
}
