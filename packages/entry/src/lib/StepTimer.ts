import {SycamoreheadError} from '@sycamorehead/schema';

/**
 * Aborts a call to a backend server whose next step takes too long, whatever the server sends
 * meanwhile.
 *
 * @example
 * ```ts
 * const timer = new StepTimer();
 * timer.start(5_000, 'no frame in time');
 * await request(url, {signal: timer.signal});
 * ```
 * @internal
 */
export class StepTimer {
  private readonly controller = new AbortController();
  private timer: NodeJS.Timeout | undefined;

  /** Aborted once a step has taken too long. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Starts the next step. */
  start(limitMs: number, reason: string): void {
    this.stop();
    this.timer = setTimeout(() => this.abort(reason), limitMs);
  }

  /** Ends the last step. */
  stop(): void {
    clearTimeout(this.timer);
  }

  /** Aborts the call. */
  abort(reason: string): void {
    this.stop();
    this.controller.abort(new SycamoreheadError('backend_failed', reason));
  }
}
