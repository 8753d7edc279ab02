import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

/** Calls to make from a thread of their own. @internal */
export interface TimedCallJob {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Whether a whole answer ends with the mark of a stream's regular end. */
  readonly isStream: boolean;
  /** Set where each call carries an idempotency key of its own. */
  readonly keyPrefix?: string;
  /** Times of the calls from the start, in milliseconds. */
  readonly times?: readonly number[];
  /** Without times: callers that call again as soon as they are answered. */
  readonly concurrency?: number;
  readonly durationMs: number;
}

/** What timed calls saw. @internal */
export interface TimedCallResult {
  readonly answered: number;
  readonly failed: number;
  readonly tokens: number;
  readonly elapsedMs: number;
  /** Time to the first byte of each answer's body. */
  readonly firstMs: readonly number[];
  /** Times between frames. */
  readonly gapMs: readonly number[];
  readonly totalMs: readonly number[];
}

/** Makes calls from a thread of their own. @internal */
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
