import {SycamoreheadError, toSycamoreheadError} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';

const log = createLogger('commits');

const MAX_WAITING = 10_000;
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 2_000;

/** Kinds after which a commit is sent again; any other is final. */
const RETRIED_KINDS = new Set([
  'not_leader',
  'link_closed',
  'timeout',
  'control_unavailable',
  'storage_failed',
  'stopping',
]);

/**
 * Commits to control that must not be lost: each is sent again until it is acknowledged, also
 * after the caller that waits for it has been answered.
 *
 * @public
 */
export class CommitQueue {
  private readonly waiting = new Set<Promise<unknown>>();
  private isStopped = false;

  /** @param answerWaitMs Time for which a caller's answer waits for its commit. */
  constructor(private readonly answerWaitMs: number) {}

  // Commands.

  /**
   * Sends a commit until it is acknowledged, and returns its result.
   *
   * @throws SycamoreheadError `bill_pending` where it is not acknowledged in time; it is then
   * still sent again.
   * @example
   * ```ts
   * await commits.commit(bill.requestKey, () => control.recordBill(bill));
   * ```
   */
  async commit<Result>(
    requestKey: string,
    send: () => Promise<Result>,
    waitMs = this.answerWaitMs,
  ): Promise<Result> {
    const sending = this.sendUntilAcknowledged(requestKey, send);
    this.waiting.add(sending);
    // A failure is reported to whoever awaits it; the set only counts.
    const remove = () => void this.waiting.delete(sending);
    sending.then(remove, remove);
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<never>((unused, reject) => {
      timer = setTimeout(() => reject(createLateError(requestKey)), waitMs);
    });
    try {
      return await Promise.race([sending, late]);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Waits until everything is acknowledged; tells whether it was within the time. */
  async drain(limitMs: number): Promise<boolean> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<void>(resolve => {
      timer = setTimeout(resolve, limitMs);
    });
    await Promise.race([Promise.allSettled(this.waiting), late]);
    clearTimeout(timer);
    this.isStopped = true;
    if (this.waiting.size === 0) return true;
    log('commits_abandoned', {count: this.waiting.size});
    return false;
  }

  // Queries.

  /**
   * Checks that there is room for one more commit, before the work that needs it begins.
   *
   * @throws SycamoreheadError `overloaded`.
   */
  ensureCapacity(): void {
    if (this.waiting.size < MAX_WAITING) return;
    throw new SycamoreheadError(
      'overloaded',
      'too many answers wait for control to record them',
    );
  }

  /** Counts the commits that are not acknowledged. */
  countPending(): number {
    return this.waiting.size;
  }

  private async sendUntilAcknowledged<Result>(
    requestKey: string,
    send: () => Promise<Result>,
  ): Promise<Result> {
    let pauseMs = FIRST_PAUSE_MS;
    for (;;) {
      try {
        return await send();
      } catch (thrown) {
        const error = toSycamoreheadError(thrown);
        if (!RETRIED_KINDS.has(error.kind) || this.isStopped) throw error;
        log('commit_retried', {request: requestKey, error: error.message});
        await new Promise(resolve => setTimeout(resolve, pauseMs));
        pauseMs = Math.min(pauseMs * 2, LONGEST_PAUSE_MS);
      }
    }
  }
}

function createLateError(requestKey: string): SycamoreheadError {
  return new SycamoreheadError(
    'bill_pending',
    `request ${requestKey} was run; its bill is still being recorded, so the answer is withheld`,
  );
}
