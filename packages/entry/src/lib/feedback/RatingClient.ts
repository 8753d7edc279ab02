import {Agent, request} from 'undici';
import {SycamoreheadError} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';

const log = createLogger('ratings');

const DEFAULT_TIMEOUT_MS = 10_000;
const MAX_QUEUED = 512;
const MAX_RUNNING = 32;
/** Status with which the service responds if it has no rating for a request. */
const NO_RATING_STATUS_CODE = 204;
const MAX_BODY_BYTES = 16 * 1024;
/** Number of consecutive failures after which requests to the service are paused. */
const MAX_FAILURES = 5;
/** Duration of such a pause, in milliseconds. */
const PAUSE_MS = 1_000;

/** Settings of the rating service. @public */
export interface RatingSettings {
  /** Base URL. */
  readonly url: string;
  /** Time allowed for one rating, in milliseconds. */
  readonly timeoutMs?: number;
  /** Share of the answers of a version with enough ratings that are rated, 0 to 1. */
  readonly sampledShare?: number;
}

/** Priority of a rating, most urgent first; versions in a roll-out have the highest. @public */
export type RatingPriority = 'rollout' | 'unsettled' | 'sampled';

/** An answer to be rated. @public */
export interface RatingRequest {
  readonly requestId: string;
  readonly kind: string;
  readonly model: string;
  readonly version: string;
  readonly answer: string;
}

interface QueuedRating {
  readonly ratingRequest: RatingRequest;
  readonly onRating: (rating: number) => void;
}

const PRIORITIES: readonly RatingPriority[] = [
  'rollout',
  'unsettled',
  'sampled',
];

/**
 * Requests ratings from the rating service without delaying the traffic of callers. The queue is
 * bounded and drops the least urgent requests first. Requests are paused after repeated failures.
 *
 * @public
 */
export class RatingClient {
  private readonly agent = new Agent({connections: MAX_RUNNING});
  private readonly queues: Record<RatingPriority, QueuedRating[]> = {
    rollout: [],
    unsettled: [],
    sampled: [],
  };
  private running = 0;
  private failures = 0;
  private pausedUntil = -Infinity;
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;

  constructor(private readonly settings: RatingSettings) {}

  // Commands.

  /** Queues a request. The callback receives the rating, if there is one. */
  enqueue(
    ratingRequest: RatingRequest,
    priority: RatingPriority,
    onRating: (rating: number) => void,
  ): void {
    if (this.stopped) return;
    this.queues[priority].push({ratingRequest, onRating});
    this.dropExcess();
    this.startQueued();
  }

  /** Stops sending requests; queued ones are dropped. */
  async stop(): Promise<void> {
    this.stopped = true;
    clearTimeout(this.timer);
    await this.agent.destroy();
  }

  // Queries.

  /** Returns whether the last requests have not failed often enough to pause the requests. */
  isHealthy(): boolean {
    return this.failures < MAX_FAILURES;
  }

  /** Returns the number of queued requests. */
  countQueued(): number {
    return PRIORITIES.reduce(
      (sum, priority) => sum + this.queues[priority].length,
      0,
    );
  }

  private dropExcess(): void {
    if (this.countQueued() <= MAX_QUEUED) return;
    const priority = [...PRIORITIES]
      .reverse()
      .find(name => this.queues[name].length > 0);
    if (priority) this.queues[priority].shift();
  }

  private startQueued(): void {
    if (this.stopped) return;
    const pauseMs = this.pausedUntil - performance.now();
    if (pauseMs > 0) {
      this.resumeAfter(pauseMs);
      return;
    }
    while (this.running < MAX_RUNNING) {
      const next = this.takeNext();
      if (!next) return;
      void this.run(next);
    }
  }

  private resumeAfter(pauseMs: number): void {
    if (this.timer) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.startQueued();
    }, pauseMs);
    this.timer.unref();
  }

  private takeNext(): QueuedRating | undefined {
    for (const priority of PRIORITIES) {
      const next = this.queues[priority].shift();
      if (next) return next;
    }
    return undefined;
  }

  private async run({ratingRequest, onRating}: QueuedRating): Promise<void> {
    this.running += 1;
    try {
      const rating = await this.query(ratingRequest);
      this.failures = 0;
      if (rating !== undefined) onRating(rating);
    } catch (error) {
      if (!this.stopped) this.recordFailure(error);
    } finally {
      this.running -= 1;
      this.startQueued();
    }
  }

  /**
   * Requests one rating. Returns undefined if the service has none.
   *
   * @throws SycamoreheadError `backend_failed` or `timeout`.
   */
  async query(ratingRequest: RatingRequest): Promise<number | undefined> {
    const timeoutMs = this.settings.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    const {statusCode, body} = await request(`${this.settings.url}/ratings`, {
      method: 'POST',
      dispatcher: this.agent,
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(ratingRequest),
      signal: AbortSignal.timeout(timeoutMs),
    });
    const text = await readBounded(body);
    if (statusCode === NO_RATING_STATUS_CODE) return undefined;
    if (statusCode !== 200) {
      throw new SycamoreheadError(
        'backend_failed',
        `the rating service answered ${statusCode}`,
      );
    }
    return parseRating(text);
  }

  private recordFailure(error: unknown): void {
    this.failures += 1;
    log('rating_failed', {failures: this.failures, error: String(error)});
    if (this.isHealthy()) return;
    this.pausedUntil = performance.now() + PAUSE_MS;
  }
}

async function readBounded(body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) {
      throw new SycamoreheadError(
        'backend_failed',
        'the response of the rating service is too long',
      );
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function parseRating(text: string): number {
  const {rating} = JSON.parse(text) as {rating?: unknown};
  if (typeof rating === 'number' && rating >= 0 && rating <= 1) return rating;
  throw new SycamoreheadError(
    'backend_failed',
    'the rating service did not return a rating from 0 to 1',
  );
}
