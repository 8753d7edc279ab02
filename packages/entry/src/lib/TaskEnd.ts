import {SycamoreheadError} from '@sycamorehead/schema';
import type {Exchange} from './Exchange.js';

/** What ends the work for a request before its answer is whole. @internal */
export interface TaskEndOptions {
  /** Time allowed for the whole answer, in milliseconds. */
  readonly answerMs: number;
  /** Whether the work ends when the caller goes. */
  readonly endsWithCaller: boolean;
}

/**
 * The signal that ends the work for one request: at its deadline, or once its caller has gone.
 *
 * @internal
 */
export class TaskEnd {
  private readonly aborter = new AbortController();
  private readonly timer: NodeJS.Timeout;
  private readonly leave = () =>
    this.aborter.abort(
      new SycamoreheadError('caller_gone', 'the caller has gone'),
    );

  constructor(
    private readonly exchange: Exchange,
    {answerMs, endsWithCaller}: TaskEndOptions,
  ) {
    this.timer = setTimeout(() => this.expire(answerMs), answerMs);
    if (!endsWithCaller) return;
    const {callerGone} = exchange;
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
    this.exchange.callerGone.removeEventListener('abort', this.leave);
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
