import {
  ChatChunk,
  ChatRequest,
  Configuration,
  ConfiguredVersion,
  SycamoreheadError,
  Usage,
  VersionRef,
  formatVersionKey,
  isPermitted,
  isServing,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import type {RoutedRequest, Router} from '@sycamorehead/routing';
import {createLogger} from '@sycamorehead/telemetry';
import type {BackendClient} from './BackendClient.js';
import type {ConfigurationManager} from './ConfigurationManager.js';

const log = createLogger('attempts');

const MAX_ATTEMPTS = 4;

/** One frame of an answer; the terminal one carries the usage. @public */
export interface AnswerFrame {
  readonly text: string;
  readonly finishReason: 'stop' | 'length' | null;
  readonly usage?: Usage;
}

/** What an AnswerSource works with. @public */
export interface AnswerSourceParts {
  readonly router: Router;
  readonly backends: BackendClient;
  readonly configuration: ConfigurationManager;
}

/**
 * Produces the frames of one answer from one version, over as many attempts as it takes. A failed
 * attempt is resumed from its offset on another engine, so frames are never repeated or mixed.
 *
 * @public
 */
export class AnswerSource {
  private offset = 0;
  private attempts = 0;
  private readonly tried = new Set<string>();

  constructor(
    private readonly parts: AnswerSourceParts,
    private readonly routed: RoutedRequest,
    private readonly chat: ChatRequest,
    private readonly version: VersionRef,
    private readonly signal: AbortSignal,
  ) {}

  /**
   * Streams the answer. Ends normally only after its terminal frame.
   *
   * @throws SycamoreheadError with `ran: 'no'` only where no attempt can have run.
   */
  async *stream(): AsyncGenerator<AnswerFrame> {
    let hasRun = false;
    for (;;) {
      try {
        yield* this.runAttempt();
        return;
      } catch (thrown) {
        const error = toSycamoreheadError(thrown);
        hasRun ||= error.ran !== 'no';
        if (!this.isWorthRepeating(error)) throw markRan(error, hasRun);
        log('attempt_failed', {
          request: this.routed.requestId,
          attempt: this.attempts,
          offset: this.offset,
          error: error.message,
        });
      }
    }
  }

  private isWorthRepeating(error: SycamoreheadError): boolean {
    if (this.signal.aborted || this.attempts >= MAX_ATTEMPTS) return false;
    return (
      error.kind === 'backend_failed' || error.kind === 'incomplete_answer'
    );
  }

  private async *runAttempt(): AsyncGenerator<AnswerFrame> {
    const {router, backends, configuration} = this.parts;
    ensureDispatchable(configuration.get(), this.routed, this.version);
    const {choice} = router.chooseEngine(this.routed, this.version, this.tried);
    const server = choice.announcement;
    this.attempts += 1;
    this.tried.add(server.id);
    const startedAt = performance.now();
    const startOffset = this.offset;
    let firstTokenMs: number | undefined;
    let result: 'answered' | 'failed' | 'truncated' | 'cancelled' = 'cancelled';
    router.work.begin(server.id);
    try {
      const chunks = backends.streamChat({
        address: server.address,
        attemptId: `${this.routed.requestId}.${this.attempts}`,
        body: this.encodeBody(),
        resumeOffset: this.offset,
        priority: 0,
        signal: this.signal,
      });
      for await (const chunk of chunks) {
        firstTokenMs ??= performance.now() - startedAt;
        this.offset += 1;
        if (chunk.choices[0]?.finish_reason) result = 'answered';
        yield readFrame(chunk);
      }
    } catch (thrown) {
      const {kind} = toSycamoreheadError(thrown);
      result = kind === 'incomplete_answer' ? 'truncated' : 'failed';
      throw thrown;
    } finally {
      router.work.end(server.id);
      router.observe({
        request: this.routed,
        version: this.version,
        server: server.id,
        result,
        firstTokenMs,
        totalMs: performance.now() - startedAt,
        outputTokens: this.offset - startOffset,
      });
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

/**
 * Checks at the moment of dispatch that a version is in service and permitted.
 *
 * @throws SycamoreheadError `version_withdrawn` or `not_permitted`.
 * @example
 * ```ts
 * ensureDispatchable(configuration, routed, {model: 'm', version: 'v1'});
 * ```
 * @public
 */
export function ensureDispatchable(
  configuration: Configuration,
  routed: RoutedRequest,
  ref: VersionRef,
): ConfiguredVersion {
  const key = formatVersionKey(ref);
  const version = configuration.versions[key];
  if (!version || !isServing(version)) {
    throw new SycamoreheadError(
      'version_withdrawn',
      `version ${key} is not in service`,
    );
  }
  const customer = configuration.customers[routed.customer.customer];
  if (!customer || !isPermitted(customer, ref)) {
    throw new SycamoreheadError(
      'not_permitted',
      `version ${key} is not permitted`,
    );
  }
  return version;
}

function markRan(error: SycamoreheadError, hasRun: boolean): SycamoreheadError {
  if (!hasRun || error.ran !== 'no') return error;
  return new SycamoreheadError(error.kind, error.message, {
    ran: 'unknown',
    cause: error,
  });
}

function readFrame(chunk: ChatChunk): AnswerFrame {
  const choice = chunk.choices[0];
  return {
    text: choice?.delta.content ?? '',
    finishReason: choice?.finish_reason ?? null,
    usage: chunk.usage,
  };
}
