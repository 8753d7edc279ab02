import {
  SycamoreheadError,
  VersionRef,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import type {KnownServer} from '@sycamorehead/membership';
import type {RoutedRequest, TrackedAttempt} from '@sycamorehead/routing';
import {createLogger} from '@sycamorehead/telemetry';
import type {AnswerFrame} from './AnswerFrame.js';
import type {AnswerSourceDependencies} from './answerTypes.js';
import {FrameChecker} from './FrameChecker.js';

const log = createLogger('attempts');

/** One attempt to get an answer, or the rest of it, from one engine. @public */
export interface AttemptOptions {
  readonly routed: RoutedRequest;
  readonly version: VersionRef;
  readonly server: KnownServer;
  /** Number of the attempt, unique within the request. */
  readonly number: number;
  readonly body: string;
  /** Tokens that earlier attempts delivered. */
  readonly offset: number;
  /** Aborted once the whole answer is in vain. */
  readonly signal: AbortSignal;
}

/**
 * Runs one attempt on one engine. Its frames are numbered, checked and yielded in order; whatever
 * arrives after it was cancelled is dropped with its connection.
 *
 * @public
 */
export class Attempt {
  private readonly aborter = new AbortController();
  private readonly checker: FrameChecker;
  private readonly attemptId: string;
  private result: 'answered' | 'failed' | 'truncated' | 'cancelled' =
    'cancelled';
  private firstTokenMs: number | undefined;

  constructor(
    private readonly parts: AnswerSourceDependencies,
    private readonly options: AttemptOptions,
  ) {
    this.attemptId = `${options.routed.requestId}.${options.number}`;
    this.checker = new FrameChecker(this.attemptId, options.offset);
  }

  /** Tokens of the answer delivered by this attempt and the earlier ones. */
  get offset(): number {
    return this.checker.getOffset();
  }

  /** Ends the attempt, and with its connection the engine's work. */
  cancel(): void {
    // Nothing is left to cancel, and an abort would close the connection instead of reusing it.
    if (this.result === 'answered') return;
    this.aborter.abort(
      new SycamoreheadError('backend_failed', 'the attempt was cancelled'),
    );
  }

  /**
   * Streams the frames; ends normally only after the terminal one.
   *
   * @throws SycamoreheadError `backend_failed` or `incomplete_answer`.
   */
  async *stream(): AsyncGenerator<AnswerFrame> {
    const {router} = this.parts;
    const {signal, server} = this.options;
    const startedAt = performance.now();
    const cancel = () => this.aborter.abort(signal.reason);
    if (signal.aborted) cancel();
    signal.addEventListener('abort', cancel, {once: true});
    const tracked = router.beginAttempt(
      this.options.routed,
      server.announcement.id,
      this.options.offset,
    );
    try {
      yield* this.readFrames(startedAt, tracked);
    } catch (thrown) {
      this.result = this.classifyFailure(thrown);
      throw thrown;
    } finally {
      signal.removeEventListener('abort', cancel);
      router.endAttempt(tracked);
      this.observe(startedAt);
    }
  }

  private async *readFrames(
    startedAt: number,
    tracked: TrackedAttempt,
  ): AsyncGenerator<AnswerFrame> {
    const {server, body, offset, routed} = this.options;
    const {router} = this.parts;
    const frames = this.parts.backends.streamChat(
      {
        address: server.announcement.address,
        attemptId: this.attemptId,
        body,
        resumeOffset: offset,
        priority: router.choosePriority(routed),
        signal: this.aborter.signal,
      },
      this.checker,
    );
    for await (const frame of frames) {
      router.context.tracker.recordFrame(tracked, this.offset);
      this.firstTokenMs ??= performance.now() - startedAt;
      // Set before the frame is yielded: the reader may stop at the terminal one.
      if (frame.finishReason) this.result = 'answered';
      yield frame;
    }
  }

  private classifyFailure(
    thrown: unknown,
  ): 'failed' | 'truncated' | 'cancelled' {
    if (this.aborter.signal.aborted) return 'cancelled';
    const {kind} = toSycamoreheadError(thrown);
    return kind === 'incomplete_answer' ? 'truncated' : 'failed';
  }

  private observe(startedAt: number): void {
    const {routed, version, server, offset} = this.options;
    if (this.checker.dropped > 0) {
      log('frames_dropped', {
        attempt: this.attemptId,
        count: this.checker.dropped,
      });
    }
    this.parts.router.observe({
      request: routed,
      version,
      server: server.announcement.id,
      result: this.result,
      firstTokenMs: this.firstTokenMs,
      totalMs: performance.now() - startedAt,
      outputTokens: this.offset - offset,
      resumedFrom: offset,
    });
  }
}
