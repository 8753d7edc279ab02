import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

/** Calls to make from a worker thread. @internal */
export interface TimedCallJob {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Whether a complete response must end with `data: [DONE]`. */
  readonly isStream: boolean;
  /** If set, each call sends its own idempotency key with this prefix. */
  readonly keyPrefix?: string;
  /** Open loop: start times of the calls, in milliseconds from the start of the job. */
  readonly times?: readonly number[];
  /** Closed loop, used if there are no times: number of callers, each with one call at a time. */
  readonly concurrency?: number;
  /** Duration of a closed loop. */
  readonly durationMs: number;
}

/** Counts and latencies of timed calls. @internal */
export interface TimedCallResult {
  readonly answered: number;
  readonly failed: number;
  readonly tokens: number;
  readonly elapsedMs: number;
  /** Time to the first byte of each response body. */
  readonly firstMs: readonly number[];
  /** Times between chunks that contain frames. */
  readonly gapMs: readonly number[];
  readonly totalMs: readonly number[];
}

/** Makes calls from a new worker thread, which keeps the event loop of the caller free. @internal */
export async function runTimedCalls(
  job: TimedCallJob,
): Promise<TimedCallResult> {
  const worker = new Worker(new URL('./timedCallsWorker.js', import.meta.url), {
    workerData: job,
  });
  const [result] = (await once(worker, 'message')) as [TimedCallResult];
  await worker.terminate();
  return result;
}
