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
/** Pause before a server that has failed is tried again, in milliseconds. */
const SAME_SERVER_PAUSE_MS = 50;

/**
 * Produces the frames of one answer from one version, over as many attempts as it takes. A failed
 * attempt is resumed from its offset, so frames are never repeated or mixed. Revision and
 * permission are checked again at the moment of each dispatch.
 *
 * @public
 */
export class AnswerSource {
  private delivered = 0;
  private attempts = 0;
  /** Attempts dispatched, hedges included. */
  private dispatched = 0;
  private usage: Usage | undefined;
  private readonly tried = new Set<string>();

  constructor(
    private readonly parts: AnswerSourceDependencies,
    private readonly routed: RoutedRequest,
    private readonly chat: ChatRequest,
    private readonly version: VersionRef,
    private readonly signal: AbortSignal,
    /** Whether an earlier source of the same request may have run. */
    private hasRun = false,
  ) {}

  /** Tokens delivered so far. */
  get offset(): number {
    return this.delivered;
  }

  /**
   * Returns what was run so far: the engine's own count once the answer is whole, before that the
   * prompt's estimate and the tokens delivered. Nothing before the first token.
   */
  getUsage(): Usage | undefined {
    if (this.usage || this.delivered === 0) return this.usage;
    return {
      prompt_tokens: this.routed.promptTokens,
      completion_tokens: this.delivered,
    };
  }

  /**
   * Streams the answer. Ends normally only after its terminal frame.
   *
   * @throws SycamoreheadError with `ran: 'no'` only where no attempt can have run.
   */
  async *stream(): AsyncGenerator<AnswerFrame> {
    for (;;) {
      try {
        yield* this.runAttempt();
        return;
      } catch (thrown) {
        const error = toSycamoreheadError(thrown);
        this.hasRun ||= this.isPossiblyRun(error);
        this.ensureRepeatable(error);
        log('attempt_failed', {
          request: this.routed.requestId,
          attempt: this.attempts,
          offset: this.delivered,
          error: error.message,
        });
      }
    }
  }

  /** Whether an error arose before the attempt was dispatched. */
  private isRefusedHere({kind}: SycamoreheadError): boolean {
    return kind !== 'backend_failed' && kind !== 'incomplete_answer';
  }

  private isPossiblyRun(error: SycamoreheadError): boolean {
    if (this.attempts === 0) return false;
    // An abort may have come at any time after the request was sent.
    if (this.signal.aborted) return true;
    return !this.isRefusedHere(error) && error.ran !== 'no';
  }

  private ensureRepeatable(error: SycamoreheadError): void {
    const {aborted, reason} = this.signal;
    if (aborted) throw markRan(toSycamoreheadError(reason), this.hasRun);
    const isLeft = this.attempts < MAX_ATTEMPTS && !this.isRefusedHere(error);
    if (isLeft && this.takeRepeat()) return;
    if (this.hasRun || error.kind !== 'backend_failed') {
      throw markRan(error, this.hasRun);
    }
    throw new SycamoreheadError(
      'no_backend_server',
      `no engine took the request: ${error.message}`,
      {cause: error},
    );
  }

  /** An answer that has begun is always finished; one that has not draws on the retry budget. */
  private takeRepeat(): boolean {
    if (this.delivered > 0) return true;
    return this.parts.router.takeRetry(this.routed);
  }

  private async *runAttempt(): AsyncGenerator<AnswerFrame> {
    const server = await this.chooseServer();
    if (this.signal.aborted) throw this.signal.reason;
    // Checked after the last wait, so that nothing can be withdrawn in between.
    ensureDispatchable(
      this.parts.configuration.get(),
      this.routed,
      this.version,
    );
    this.attempts += 1;
    this.tried.add(server.announcement.id);
    const takeNumber = () => ++this.dispatched;
    const attempt = new HedgedAttempt(
      this.parts,
      {
        routed: this.routed,
        version: this.version,
        server,
        number: takeNumber(),
        body: this.encodeBody(),
        offset: this.delivered,
        signal: this.signal,
      },
      {triedServers: this.tried, takeAttemptNumber: takeNumber},
    );
    for await (const frame of attempt.stream()) {
      this.delivered = attempt.offset;
      this.usage = frame.usage ?? this.usage;
      yield frame;
    }
  }

  /** Takes a server that has not failed yet; where all have, pauses and tries them again. */
  private async chooseServer(): Promise<KnownServer> {
    const {router} = this.parts;
    try {
      return router.chooseEngine(this.routed, this.version, this.tried).choice;
    } catch (error) {
      if (this.tried.size === 0) throw error;
      this.tried.clear();
      const pauseMs = SAME_SERVER_PAUSE_MS * this.attempts;
      await sleepUnlessAborted(pauseMs, this.signal);
      return router.chooseEngine(this.routed, this.version, this.tried).choice;
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

/** Corrects what an error says of `ran` by what is known of the whole request. */
function markRan(error: SycamoreheadError, hasRun: boolean): SycamoreheadError {
  const ranIfAny = error.ran === 'no' ? 'unknown' : error.ran;
  const ran = hasRun ? ranIfAny : 'no';
  if (ran === error.ran) return error;
  return new SycamoreheadError(error.kind, error.message, {
    ran,
    retryAfterMs: error.retryAfterMs,
    field: error.field,
    cause: error,
  });
}
