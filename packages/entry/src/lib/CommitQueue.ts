import {SycamoreheadError, toSycamoreheadError} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';

const log = createLogger('commits');

const MAX_PENDING = 10_000;
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 2_000;

/** Error kinds after which a commit is sent again; any other error is final. */
const RETRIED_KINDS = new Set([
  'not_leader',
  'link_closed',
  'timeout',
  'control_unavailable',
  'storage_failed',
  'stopping',
]);

/**
 * Sends commits that must not be lost to control. Each is sent again until it is acknowledged, even
 * after the caller that waits for it has received a response.
 *
 * @public
 */
export class CommitQueue {
  private readonly pending = new Set<Promise<unknown>>();
  private isStopped = false;

  /** @param answerWaitMs Maximum time for which a caller's answer waits for its commit. */
  constructor(private readonly answerWaitMs: number) {}

  // Commands.

  /**
   * Sends a commit, repeatedly if necessary, until it is acknowledged. Returns its result.
   *
   * @throws SycamoreheadError `bill_pending` if it is not acknowledged in time; it is still sent
   * again afterwards.
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
    this.pending.add(sending);
    // Failures are reported to the caller that awaits the promise, not through the set.
    const remove = () => void this.pending.delete(sending);
    sending.then(remove, remove);
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((unused, reject) => {
      timer = setTimeout(
        () => reject(createBillPendingError(requestKey)),
        waitMs,
      );
    });
    try {
      return await Promise.race([sending, timeout]);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Waits until all commits are acknowledged. Returns false if the time limit passes first. */
  async drain(limitMs: number): Promise<boolean> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>(resolve => {
      timer = setTimeout(resolve, limitMs);
    });
    await Promise.race([Promise.allSettled(this.pending), timeout]);
    clearTimeout(timer);
    this.isStopped = true;
    if (this.pending.size === 0) return true;
    log('commits_abandoned', {count: this.pending.size});
    return false;
  }

  // Queries.

  /**
   * Checks that the queue has capacity for another commit, before the work that requires it begins.
   *
   * @throws SycamoreheadError `overloaded`.
   */
  ensureCapacity(): void {
    if (this.pending.size < MAX_PENDING) return;
    throw new SycamoreheadError(
      'overloaded',
      'too many answers wait for control to record them',
    );
  }

  /** Returns the number of commits that are not acknowledged. */
  countPending(): number {
    return this.pending.size;
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

function createBillPendingError(requestKey: string): SycamoreheadError {
  return new SycamoreheadError(
    'bill_pending',
    `request ${requestKey} was run; its bill is still being recorded, so the answer is withheld`,
  );
}
