import {SycamoreheadError} from '@sycamorehead/schema';
import type {HttpExchange} from './HttpExchange.js';

/** What ends the work for a request before its answer is whole. @internal */
export interface TaskCancellationOptions {
  /** Time allowed for the whole answer, in milliseconds. */
  readonly answerMs: number;
  /** Whether the work ends when the caller goes. */
  readonly cancelsOnDisconnect: boolean;
}

/**
 * The signal that ends the work for one request: at its deadline, or once its caller has gone.
 *
 * @internal
 */
export class TaskCancellation {
  private readonly aborter = new AbortController();
  private readonly timer: NodeJS.Timeout;
  private readonly leave = () =>
    this.aborter.abort(
      new SycamoreheadError('caller_gone', 'the caller has gone'),
    );

  constructor(
    private readonly exchange: HttpExchange,
    {answerMs, cancelsOnDisconnect: endsWithCaller}: TaskCancellationOptions,
  ) {
    this.timer = setTimeout(() => this.expire(answerMs), answerMs);
    if (!endsWithCaller) return;
    const {callerDisconnected: callerGone} = exchange;
    if (callerGone.aborted) this.leave();
    callerGone.addEventListener('abort', this.leave, {once: true});
  }

  /** Aborted with a SycamoreheadError as its reason. */
  get signal(): AbortSignal {
    return this.aborter.signal;
  }

  /** Stops watching. */
  stop(): void {
    clearTimeout(this.timer);
    this.exchange.callerDisconnected.removeEventListener('abort', this.leave);
  }

  private expire(answerMs: number): void {
    this.aborter.abort(
      new SycamoreheadError(
        'deadline_exceeded',
        `the answer took longer than ${answerMs} ms`,
      ),
    );
  }
}
