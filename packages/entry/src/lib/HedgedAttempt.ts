import {SycamoreheadError, toSycamoreheadError} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import type {AnswerFrame} from './AnswerFrame.js';
import type {AnswerSourceDependencies} from './answerTypes.js';
import {Attempt, AttemptOptions} from './Attempt.js';
import {ensureDispatchable} from './VersionResolver.js';

const log = createLogger('attempts');

/** Options of a HedgedAttempt in addition to those of its first attempt. @public */
export interface HedgeOptions {
  /** Servers on which this answer has been tried, including that of the first attempt. */
  readonly triedServers: Set<string>;
  /** Returns the number of the next attempt. */
  readonly takeAttemptNumber: () => number;
}

/** One of the attempts that race for the next frame. */
interface RacingAttempt {
  readonly attempt: Attempt;
  readonly server: string;
  readonly frames: AsyncGenerator<AnswerFrame>;
  next: Promise<IteratorResult<AnswerFrame>>;
}

/**
 * An attempt that starts a second one, a hedge, if its next frame is late. The attempt that
 * delivers this frame first continues alone. The other is cancelled and its frames are dropped, so
 * that frames of two attempts are never mixed. A second attempt starts at the offset delivered so
 * far.
 *
 * @public
 */
export class HedgedAttempt {
  private current: RacingAttempt;
  private deliveredTokens: number;
  private hasFrames = false;
  private isHedged = false;

  constructor(
    private readonly dependencies: AnswerSourceDependencies,
    private readonly options: AttemptOptions,
    private readonly hedge: HedgeOptions,
  ) {
    this.deliveredTokens = options.offset;
    this.current = this.start(options);
  }

  /** Tokens of the answer delivered by this attempt and the earlier ones. */
  get offset(): number {
    return this.deliveredTokens;
  }

  /**
   * Streams the frames; ends normally only after the terminal one.
   *
   * @throws SycamoreheadError `backend_failed` or `incomplete_answer`.
   */
  async *stream(): AsyncGenerator<AnswerFrame> {
    try {
      for (;;) {
        const result = await this.awaitFrame();
        if (result.done) return;
        this.hasFrames = true;
        this.deliveredTokens = this.current.attempt.offset;
        yield result.value;
        if (result.value.finishReason) return;
        this.current.next = this.current.frames.next();
        // Prevents an unhandled rejection: a slow caller may delay the await that handles it.
        this.current.next.catch(() => {});
      }
    } finally {
      this.current.attempt.cancel();
      await this.current.frames.return(undefined);
    }
  }

  private start(options: AttemptOptions): RacingAttempt {
    const attempt = new Attempt(this.dependencies, options);
    const frames = attempt.stream();
    const next = frames.next();
    next.catch(() => {});
    return {attempt, server: options.server.announcement.id, frames, next};
  }

  private async awaitFrame(): Promise<IteratorResult<AnswerFrame>> {
    const {current} = this;
    const delayMs = this.dependencies.router.hedgePolicy.computeDelayMs(
      this.options.routed,
      this.hasFrames,
    );
    if (delayMs === undefined || this.isHedged) return current.next;
    const startedAt = performance.now();
    if (!(await isLate(current.next, delayMs))) return current.next;
    const second = this.startHedge();
    if (!second) return current.next;
    const winner = await this.awaitWinner(current, second);
    if (winner === second) {
      const waitedMs = performance.now() - startedAt;
      this.dependencies.router.context.speeds.record(current.server, waitedMs);
    }
    return winner.next;
  }

  /** Starts a second attempt if the hedging budget and the available servers allow one. */
  private startHedge(): RacingAttempt | undefined {
    const {router, configuration} = this.dependencies;
    const {routed, version, signal} = this.options;
    if (signal.aborted) return undefined;
    try {
      ensureDispatchable(configuration.get(), routed, version);
      const {triedServers, takeAttemptNumber} = this.hedge;
      const {choice} = router.chooseEngine(routed, version, triedServers);
      if (!router.hedgePolicy.take(routed, this.hasFrames)) return undefined;
      this.isHedged = true;
      triedServers.add(choice.announcement.id);
      log('hedge_started', {
        request: routed.requestId,
        server: choice.announcement.id,
        slow: this.current.server,
        offset: this.deliveredTokens,
      });
      return this.start({
        ...this.options,
        server: choice,
        number: takeAttemptNumber(),
        offset: this.deliveredTokens,
      });
    } catch (error) {
      const {message} = toSycamoreheadError(error);
      log('hedge_not_started', {request: routed.requestId, error: message});
      return undefined;
    }
  }

  /** Waits until one of two attempts delivers a frame, continues with it and cancels the other. */
  private async awaitWinner(
    first: RacingAttempt,
    second: RacingAttempt,
  ): Promise<RacingAttempt> {
    const awaitFrameOf = async (
      racing: RacingAttempt,
    ): Promise<RacingAttempt> => {
      await racing.next;
      return racing;
    };
    let winner: RacingAttempt;
    try {
      winner = await Promise.any([awaitFrameOf(first), awaitFrameOf(second)]);
    } catch (failure) {
      throw selectFailure((failure as AggregateError).errors);
    }
    const loser = winner === first ? second : first;
    loser.attempt.cancel();
    void loser.frames.return(undefined).catch(() => {});
    this.current = winner;
    return winner;
  }
}

/** Returns whether a promise is still pending after a delay. */
async function isLate(
  promise: Promise<unknown>,
  delayMs: number,
): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<true>(resolve => {
    timer = setTimeout(() => resolve(true), delayMs);
  });
  const settled = promise.then(
    () => false as const,
    () => false as const,
  );
  const result = await Promise.race([settled, late]);
  clearTimeout(timer);
  return result;
}

/** Selects the first failure after which the work may have run, else the first failure. */
function selectFailure(errors: readonly unknown[]): SycamoreheadError {
  const failures = errors.map(toSycamoreheadError);
  return failures.find(({ran}) => ran !== 'no') ?? failures[0]!;
}
