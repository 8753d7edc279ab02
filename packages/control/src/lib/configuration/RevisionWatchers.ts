import {SycamoreheadError} from '@sycamorehead/schema';

const MAX_WATCHERS = 20_000;
const MAX_WAIT_MS = 10_000;

/**
 * The calls that wait for the next revision.
 *
 * @internal
 */
export class RevisionWatchers {
  private readonly waiting = new Set<() => void>();

  /** Returns at the next notification, or after the given time. */
  async wait(waitMs: number): Promise<void> {
    if (this.waiting.size >= MAX_WATCHERS) {
      throw new SycamoreheadError('overloaded', 'too many watchers');
    }
    await new Promise<void>(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.waiting.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, Math.min(waitMs, MAX_WAIT_MS));
      timer.unref();
      this.waiting.add(finish);
    });
  }

  /** Ends every wait. */
  notify(): void {
    for (const finish of [...this.waiting]) finish();
  }
}
