import type {RoutedRequest} from './routingTypes.js';
import {SampleWindow} from './SampleWindow.js';
import type {ServerSpeeds} from './ServerSpeeds.js';
import type {WorkEstimator} from './WorkEstimator.js';

const FIRST_TOKEN_WINDOW = 128;
/** Number of tokens over which a speed is measured, since several tokens may arrive together. */
const SPEED_TOKENS = 4;

/** An attempt in flight from this entry. @public */
export interface TrackedAttempt {
  readonly request: RoutedRequest;
  readonly server: string;
  readonly startedAt: number;
  /** Tokens that earlier attempts delivered. */
  readonly resumedFrom: number;
  readonly isLong: boolean;
  generated: number;
  lastFrameAt: number | undefined;
  /** The start of the current speed measurement. */
  measuredFrom: {readonly at: number; readonly generated: number};
}

/** The number of unfinished attempts on one server. @public */
export interface ServerWork {
  readonly count: number;
  readonly long: number;
}

const NO_WORK: ServerWork = {count: 0, long: 0};

/**
 * Tracks the attempts in flight from this entry: their number on each server, the work left, and
 * the speed of their tokens.
 *
 * @public
 */
export class AttemptTracker {
  private readonly attempts = new Map<string, Set<TrackedAttempt>>();
  private readonly firstTokens = new SampleWindow(FIRST_TOKEN_WINDOW);

  constructor(
    private readonly estimator: WorkEstimator,
    private readonly speeds: ServerSpeeds,
  ) {}

  // Commands.

  /** Records that an attempt was dispatched. */
  begin(
    request: RoutedRequest,
    server: string,
    resumedFrom = 0,
  ): TrackedAttempt {
    const attempt: TrackedAttempt = {
      request,
      server,
      startedAt: performance.now(),
      resumedFrom,
      isLong: this.estimator.estimate(request).isLong,
      generated: resumedFrom,
      lastFrameAt: undefined,
      measuredFrom: {at: 0, generated: resumedFrom},
    };
    const serverAttempts = this.attempts.get(server) ?? new Set();
    this.attempts.set(server, serverAttempts.add(attempt));
    return attempt;
  }

  /** Records the arrival of a frame and the number of answer tokens up to it. */
  recordFrame(attempt: TrackedAttempt, offset: number): void {
    const now = performance.now();
    const isFirst = attempt.lastFrameAt === undefined;
    attempt.lastFrameAt = now;
    attempt.generated = offset;
    if (isFirst) {
      attempt.measuredFrom = {at: now, generated: attempt.generated};
      if (!attempt.isLong) this.firstTokens.add(now - attempt.startedAt);
      return;
    }
    this.measureSpeed(attempt, now);
  }

  /** Records that an attempt ended. */
  end(attempt: TrackedAttempt): void {
    const serverAttempts = this.attempts.get(attempt.server);
    serverAttempts?.delete(attempt);
    if (serverAttempts?.size === 0) this.attempts.delete(attempt.server);
  }

  // Queries.

  /**
   * Counts this entry's unfinished attempts on a server; one that outgrew its estimate counts as
   * long.
   */
  readWork(server: string): ServerWork {
    const attempts = this.attempts.get(server);
    if (!attempts) return NO_WORK;
    const long = [...attempts].filter(attempt => this.isLong(attempt)).length;
    return {count: attempts.size, long};
  }

  /** Lists the servers with unfinished attempts. */
  listBusy(): string[] {
    return [...this.attempts.keys()];
  }

  /**
   * Sums the remaining work of this entry's attempts on a server, in units of one generated token.
   */
  sumRemaining(server: string): number {
    const attempts = [...(this.attempts.get(server) ?? [])];
    return attempts.reduce(
      (sum, {request, generated}) =>
        sum + this.estimator.estimateRemaining(request, generated),
      0,
    );
  }

  /**
   * Returns the longest time since a stream of a server last delivered a token, in milliseconds.
   */
  readLongestGapMs(server: string): number {
    const now = performance.now();
    let longest = 0;
    for (const {lastFrameAt} of this.attempts.get(server) ?? []) {
      if (lastFrameAt !== undefined) {
        longest = Math.max(longest, now - lastFrameAt);
      }
    }
    return longest;
  }

  /** Computes a quantile of the time to the first token of short work, in milliseconds. */
  computeFirstTokenMs(quantile: number): number | undefined {
    return this.firstTokens.computeQuantile(quantile);
  }

  private measureSpeed(attempt: TrackedAttempt, now: number): void {
    const {at, generated} = attempt.measuredFrom;
    const tokens = attempt.generated - generated;
    if (tokens < SPEED_TOKENS) return;
    this.speeds.record(attempt.server, (now - at) / tokens);
    attempt.measuredFrom = {at: now, generated: attempt.generated};
  }

  private isLong(attempt: TrackedAttempt): boolean {
    return attempt.isLong || this.estimator.isLong(attempt.generated);
  }
}
