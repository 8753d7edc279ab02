import {
  ChatRequest,
  SycamoreheadError,
  Usage,
  VersionRef,
  formatVersionKey,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import type {KnownServer} from '@sycamorehead/membership';
import type {RoutedRequest} from '@sycamorehead/routing';
import {createLogger} from '@sycamorehead/telemetry';
import type {AnswerFrame} from './AnswerFrame.js';
import type {AnswerSourceDependencies} from './answerTypes.js';
import {HedgedAttempt} from './HedgedAttempt.js';
import {sleepUnlessAborted} from './sleepUnlessAborted.js';
import {ensureDispatchable} from './VersionResolver.js';

const log = createLogger('attempts');

const MAX_ATTEMPTS = 4;
/** Pause before failed servers are tried again, for each attempt so far, in milliseconds. */
const SAME_SERVER_PAUSE_MS = 50;

/**
 * Produces the frames of one answer from one version, with several attempts if necessary. A failed
 * attempt is resumed at its offset, so that frames are never repeated or mixed. The version's state
 * and the customer's permission are checked again immediately before each dispatch.
 *
 * @public
 */
export class AnswerSource {
  private deliveredTokens = 0;
  private attemptCount = 0;
  /** Number of dispatched attempts, including hedges. */
  private dispatchedCount = 0;
  private usage: Usage | undefined;
  private readonly triedServers = new Set<string>();

  constructor(
    private readonly dependencies: AnswerSourceDependencies,
    private readonly routed: RoutedRequest,
    private readonly chat: ChatRequest,
    private readonly version: VersionRef,
    private readonly signal: AbortSignal,
    /** Whether an earlier source of the same request may have run. */
    private hasRun = false,
  ) {}

  /** Number of tokens delivered so far. */
  get offset(): number {
    return this.deliveredTokens;
  }

  /**
   * Returns the token usage so far: the engine's count once the answer is complete, and before that
   * the estimated prompt tokens and the delivered tokens. Returns undefined before the first token.
   */
  getUsage(): Usage | undefined {
    if (this.usage || this.deliveredTokens === 0) return this.usage;
    return {
      prompt_tokens: this.routed.promptTokens,
      completion_tokens: this.deliveredTokens,
    };
  }

  /**
   * Streams the answer. Ends normally only after its terminal frame.
   *
   * @throws SycamoreheadError with `ran: 'no'` only if no attempt can have run.
   */
  async *stream(): AsyncGenerator<AnswerFrame> {
    for (;;) {
      try {
        yield* this.runAttempt();
        return;
      } catch (thrown) {
        const error = toSycamoreheadError(thrown);
        this.hasRun ||= this.isPossiblyRun(error);
        this.ensureRetryable(error);
        log('attempt_failed', {
          request: this.routed.requestId,
          attempt: this.attemptCount,
          offset: this.deliveredTokens,
          error: error.message,
        });
      }
    }
  }

  /** Returns whether an error occurred before the attempt was dispatched. */
  private isFailedBeforeDispatch({kind}: SycamoreheadError): boolean {
    return kind !== 'backend_failed' && kind !== 'incomplete_answer';
  }

  private isPossiblyRun(error: SycamoreheadError): boolean {
    if (this.attemptCount === 0) return false;
    // The abort may have occurred after the request was sent.
    if (this.signal.aborted) return true;
    return !this.isFailedBeforeDispatch(error) && error.ran !== 'no';
  }

  private ensureRetryable(error: SycamoreheadError): void {
    const {aborted, reason} = this.signal;
    if (aborted) throw markRan(toSycamoreheadError(reason), this.hasRun);
    const isRetryable =
      this.attemptCount < MAX_ATTEMPTS && !this.isFailedBeforeDispatch(error);
    if (isRetryable && this.takeRetry()) return;
    if (this.hasRun || error.kind !== 'backend_failed') {
      throw markRan(error, this.hasRun);
    }
    throw new SycamoreheadError(
      'no_backend_server',
      `no engine took the request: ${error.message}`,
      {cause: error},
    );
  }

  /**
   * Returns whether to retry. An answer that has begun is always resumed; for others, the retry
   * budget decides.
   */
  private takeRetry(): boolean {
    if (this.deliveredTokens > 0) return true;
    return this.dependencies.router.takeRetry(this.routed);
  }

  private async *runAttempt(): AsyncGenerator<AnswerFrame> {
    const server = await this.chooseServer();
    if (this.signal.aborted) throw this.signal.reason;
    // Checked after the last wait, so that the version cannot be withdrawn before the dispatch.
    ensureDispatchable(
      this.dependencies.configuration.get(),
      this.routed,
      this.version,
    );
    this.attemptCount += 1;
    this.triedServers.add(server.announcement.id);
    const takeAttemptNumber = () => ++this.dispatchedCount;
    const attempt = new HedgedAttempt(
      this.dependencies,
      {
        routed: this.routed,
        version: this.version,
        server,
        number: takeAttemptNumber(),
        body: this.encodeBody(),
        offset: this.deliveredTokens,
        signal: this.signal,
      },
      {triedServers: this.triedServers, takeAttemptNumber},
    );
    for await (const frame of attempt.stream()) {
      this.deliveredTokens = attempt.offset;
      this.usage = frame.usage ?? this.usage;
      yield frame;
    }
  }

  /** Chooses a server that has not failed yet. If all have failed, pauses and allows them again. */
  private async chooseServer(): Promise<KnownServer> {
    const {router} = this.dependencies;
    try {
      return router.chooseEngine(this.routed, this.version, this.triedServers)
        .choice;
    } catch (error) {
      if (this.triedServers.size === 0) throw error;
      this.triedServers.clear();
      const pauseMs = SAME_SERVER_PAUSE_MS * this.attemptCount;
      await sleepUnlessAborted(pauseMs, this.signal);
      return router.chooseEngine(this.routed, this.version, this.triedServers)
        .choice;
    }
  }

  private encodeBody(): string {
    return JSON.stringify({
      ...this.chat,
      model: formatVersionKey(this.version),
      stream: true,
    });
  }
}

/** Sets `ran` of an error according to whether any attempt of the request may have run. */
function markRan(error: SycamoreheadError, hasRun: boolean): SycamoreheadError {
  const ranIfStarted = error.ran === 'no' ? 'unknown' : error.ran;
  const ran = hasRun ? ranIfStarted : 'no';
  if (ran === error.ran) return error;
  return new SycamoreheadError(error.kind, error.message, {
    ran,
    retryAfterMs: error.retryAfterMs,
    field: error.field,
    cause: error,
  });
}
