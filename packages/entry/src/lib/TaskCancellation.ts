import {SycamoreheadError} from '@sycamorehead/schema';
import type {HttpExchange} from './HttpExchange.js';

/**
 * Conditions under which the work for a request is cancelled before its answer is complete.
 *
 * @internal
 */
export interface TaskCancellationOptions {
  /** Time allowed for the whole answer, in milliseconds. */
  readonly answerMs: number;
  /** Whether the work is cancelled when the caller disconnects. */
  readonly cancelsOnDisconnect: boolean;
}

/**
 * Cancels the work for one request at its deadline, or once its caller has disconnected.
 *
 * @internal
 */
export class TaskCancellation {
  private readonly abortController = new AbortController();
  private readonly timer: NodeJS.Timeout;
  private readonly cancel = () =>
    this.abortController.abort(
      new SycamoreheadError('caller_gone', 'the caller has gone'),
    );

  constructor(
    private readonly exchange: HttpExchange,
    {answerMs, cancelsOnDisconnect}: TaskCancellationOptions,
  ) {
    this.timer = setTimeout(() => this.expire(answerMs), answerMs);
    if (!cancelsOnDisconnect) return;
    const {callerDisconnected} = exchange;
    if (callerDisconnected.aborted) this.cancel();
    callerDisconnected.addEventListener('abort', this.cancel, {once: true});
  }

  /** Aborted with a SycamoreheadError as its reason. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Stops the timer and removes the listener for the caller's disconnect. */
  stop(): void {
    clearTimeout(this.timer);
    this.exchange.callerDisconnected.removeEventListener('abort', this.cancel);
  }

  private expire(answerMs: number): void {
    this.abortController.abort(
      new SycamoreheadError(
        'deadline_exceeded',
        `the answer took longer than ${answerMs} ms`,
      ),
    );
  }
}
