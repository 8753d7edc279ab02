import {SycamoreheadError, toSycamoreheadError} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import type {AnswerFrame} from './AnswerFrame.js';
import type {AnswerSourceDependencies} from './answerTypes.js';
import {Attempt, AttemptOptions} from './Attempt.js';
import {ensureDispatchable} from './VersionResolver.js';

const log = createLogger('attempts');

/** What a HedgedAttempt needs beyond its first attempt. @public */
export interface HedgeOptions {
  /** Servers that this answer has been tried on, the first attempt's included. */
  readonly triedServers: Set<string>;
  /** Takes the number of the next attempt. */
  readonly takeAttemptNumber: () => number;
}

/** One of the attempts that race for the next frame. */
interface Runner {
  readonly attempt: Attempt;
  readonly server: string;
  readonly frames: AsyncGenerator<AnswerFrame>;
  next: Promise<IteratorResult<AnswerFrame>>;
}

/**
 * An attempt that is helped by a second one where its next frame is late. Whichever delivers the
 * frame first goes on alone; the other is cancelled and its frames are dropped, so that frames of
 * two attempts are never mixed. A second attempt starts at the offset delivered so far.
 *
 * @public
 */
export class HedgedAttempt {
  private leader: Runner;
  private delivered: number;
  private hasFrames = false;
  private isHedged = false;

  constructor(
    private readonly parts: AnswerSourceDependencies,
    private readonly options: AttemptOptions,
    private readonly hedge: HedgeOptions,
  ) {
    this.delivered = options.offset;
    this.leader = this.start(options);
  }

  /** Tokens of the answer delivered by this attempt and the earlier ones. */
  get offset(): number {
    return this.delivered;
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
        this.delivered = this.leader.attempt.offset;
        yield result.value;
        if (result.value.finishReason) return;
        this.leader.next = this.leader.frames.next();
        // Its failure is seen when it is awaited, which may be after a slow caller.
        this.leader.next.catch(() => {});
      }
    } finally {
      this.leader.attempt.cancel();
      await this.leader.frames.return(undefined);
    }
  }

  private start(options: AttemptOptions): Runner {
    const attempt = new Attempt(this.parts, options);
    const frames = attempt.stream();
    const next = frames.next();
    next.catch(() => {});
    return {attempt, server: options.server.announcement.id, frames, next};
  }

  private async awaitFrame(): Promise<IteratorResult<AnswerFrame>> {
    const {leader} = this;
    const delayMs = this.parts.router.hedgePolicy.computeDelayMs(
      this.options.routed,
      this.hasFrames,
    );
    if (delayMs === undefined || this.isHedged) return leader.next;
    const startedAt = performance.now();
    if (!(await isLate(leader.next, delayMs))) return leader.next;
    const second = this.startSecond();
    if (!second) return leader.next;
    const winner = await this.awaitWinner(leader, second);
    if (winner === second) {
      const waitedMs = performance.now() - startedAt;
      this.parts.router.context.speeds.record(leader.server, waitedMs);
    }
    return winner.next;
  }

  /** Starts a second attempt where the budget and the servers allow one. */
  private startSecond(): Runner | undefined {
    const {router, configuration} = this.parts;
    const {routed, version, signal} = this.options;
    if (signal.aborted) return undefined;
    try {
      ensureDispatchable(configuration.get(), routed, version);
      const {triedServers: tried, takeAttemptNumber: takeNumber} = this.hedge;
      const {choice} = router.chooseEngine(routed, version, tried);
      if (!router.hedgePolicy.take(routed, this.hasFrames)) return undefined;
      this.isHedged = true;
      tried.add(choice.announcement.id);
      log('hedge_started', {
        request: routed.requestId,
        server: choice.announcement.id,
        slow: this.leader.server,
        offset: this.delivered,
      });
      return this.start({
        ...this.options,
        server: choice,
        number: takeNumber(),
        offset: this.delivered,
      });
    } catch (error) {
      const {message} = toSycamoreheadError(error);
      log('hedge_not_started', {request: routed.requestId, error: message});
      return undefined;
    }
  }

  /** Waits until one of two delivers, makes it the leader and cancels the other. */
  private async awaitWinner(first: Runner, second: Runner): Promise<Runner> {
    const pick = async (runner: Runner): Promise<Runner> => {
      await runner.next;
      return runner;
    };
    let winner: Runner;
    try {
      winner = await Promise.any([pick(first), pick(second)]);
    } catch (failure) {
      throw mergeFailures((failure as AggregateError).errors);
    }
    const loser = winner === first ? second : first;
    loser.attempt.cancel();
    void loser.frames.return(undefined).catch(() => {});
    this.leader = winner;
    return winner;
  }
}

/** Tells whether a promise is still unsettled after a time. */
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

/** Of two failures, the one that says the most about what ran. */
function mergeFailures(errors: readonly unknown[]): SycamoreheadError {
  const failures = errors.map(toSycamoreheadError);
  return failures.find(({ran}) => ran !== 'no') ?? failures[0]!;
}
