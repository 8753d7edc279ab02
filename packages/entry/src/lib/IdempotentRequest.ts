import {
  BeginRequestResult,
  Bill,
  ControlApi,
  FinishRequestResult,
  StoredResponse,
  SycamoreheadError,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import type {CommitQueue} from './CommitQueue.js';

const log = createLogger('requests');

/** Time for which a failure's answer waits for its commit, in milliseconds. */
const FAILURE_WAIT_MS = 250;

/** Advice to a caller whose answer waits for its record, in milliseconds. */
const PENDING_RETRY_MS = 1_000;

/** What a KeyedRequest works with. @public */
export interface IdempotentRequestDependencies {
  readonly control: ControlApi;
  readonly commits: CommitQueue;
}

/** Which request it is. @public */
export interface IdempotentRequestOptions {
  readonly requestKey: string;
  readonly bodyDigest: string;
  readonly owner: string;
  readonly isRepeatable: boolean;
  readonly ownerLimitMs: number;
}

/** Answers to a request whose key is known. */
const REFUSALS = {
  in_progress: ['in_progress', 'a request with this key is being run'],
  outcome_unknown: ['outcome_unknown', 'whether the call ran is not known'],
  key_reused: [
    'idempotency_key_reused',
    'Idempotency-Key: used before with another request',
  ],
  answer_not_kept: [
    'answer_not_kept',
    'the request ran and was billed once, but its answer is no longer kept',
  ],
  records_full: ['overloaded', 'the table of idempotency keys is full'],
} as const;

/**
 * A request with an idempotency key: its intent is committed before any work, and its result
 * together with its bill afterwards.
 *
 * @public
 */
export class IdempotentRequest {
  private fencing = 0;

  constructor(
    private readonly parts: IdempotentRequestDependencies,
    private readonly options: IdempotentRequestOptions,
  ) {}

  /**
   * Commits the intent.
   *
   * @returns the stored answer where the request has been run before.
   * @throws SycamoreheadError `in_progress`, `outcome_unknown`, `idempotency_key_reused`,
   * `answer_not_kept`, `overloaded`, `control_unavailable`.
   */
  async begin(): Promise<StoredResponse | undefined> {
    this.parts.commits.ensureCapacity();
    const begun = await this.commitIntent();
    if (begun.state === 'done') return begun.answer;
    if (begun.state !== 'begun') {
      const [kind, message] = REFUSALS[begun.state];
      throw new SycamoreheadError(kind, message);
    }
    this.fencing = begun.fencing;
    return undefined;
  }

  /**
   * Commits the result with its bill; the answer may be released once this returns.
   *
   * @throws SycamoreheadError `bill_pending`, or `in_progress` where another owner has taken the
   * request over.
   */
  async complete(answer: StoredResponse, bill: Bill): Promise<void> {
    const isAccepted = await this.commitResult(answer, bill);
    if (isAccepted) return;
    throw new SycamoreheadError(
      'in_progress',
      'another entry has taken the request over',
    );
  }

  private async commitResult(
    answer: StoredResponse,
    bill: Bill,
  ): Promise<boolean> {
    try {
      const result = await this.finish({outcome: 'done', answer, bill});
      return result.isAccepted;
    } catch (thrown) {
      const error = toSycamoreheadError(thrown);
      if (error.kind !== 'bill_pending') throw error;
      // The same key finds the stored answer later; without a key a repeat would run again.
      throw new SycamoreheadError(error.kind, error.message, {
        retryAfterMs: PENDING_RETRY_MS,
      });
    }
  }

  /** Commits that the request was not run, or that this cannot be known; returns the answer. */
  async fail(thrown: unknown): Promise<SycamoreheadError> {
    const error = toSycamoreheadError(thrown);
    // Its result is being committed, and nothing that is said here may replace it.
    if (error.kind === 'bill_pending') return error;
    const isNotRun = error.ran === 'no';
    try {
      const outcome = isNotRun ? 'not_run' : 'unknown';
      await this.finish({outcome}, FAILURE_WAIT_MS);
    } catch {
      // The commit is sent again in the background; what is known of the call stays as it is.
    }
    if (isNotRun || this.options.isRepeatable) return error;
    return new SycamoreheadError('outcome_unknown', error.message, {
      cause: error,
    });
  }

  private finish(
    result: Pick<
      Parameters<ControlApi['finishRequest']>[0],
      'outcome' | 'answer' | 'bill'
    >,
    waitMs?: number,
  ): Promise<FinishRequestResult> {
    const {requestKey} = this.options;
    const {control, commits} = this.parts;
    const {fencing} = this;
    return commits.commit(
      requestKey,
      () => control.finishRequest({requestKey, fencing, ...result}),
      waitMs,
    );
  }

  private async commitIntent(): Promise<BeginRequestResult> {
    try {
      return await this.parts.control.beginRequest(this.options);
    } catch (error) {
      void this.withdrawIntent();
      throw new SycamoreheadError(
        'control_unavailable',
        'the intent to run the request could not be recorded',
        {ran: 'no', cause: error},
      );
    }
  }

  /** An intent that may have been committed unseen would otherwise count as a lost owner. */
  private async withdrawIntent(): Promise<void> {
    const {control, commits} = this.parts;
    try {
      const begun = await commits.commit(this.options.requestKey, () =>
        control.beginRequest(this.options),
      );
      if (begun.state !== 'begun') return;
      this.fencing = begun.fencing;
      await this.finish({outcome: 'not_run'});
    } catch (error) {
      log('intent_not_withdrawn', {
        request: this.options.requestKey,
        error: String(error),
      });
    }
  }
}
