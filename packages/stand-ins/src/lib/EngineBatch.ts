import type {EngineFaults} from './engineFaults.js';

/** One request inside the engine. @public */
export interface EngineJob {
  readonly id: string;
  /** Jobs with a lower value run first. */
  readonly priority: number;
  /** Prompt tokens that are not in the prefix cache. */
  readonly prefillTokens: number;
  /** Number of tokens in the complete answer, including those before a resume offset. */
  readonly totalTokens: number;
  /** Number of tokens generated so far; starts at the resume offset. */
  generated: number;
  /** Called after each token; in the last call, `generated === totalTokens`. */
  readonly onToken: (job: EngineJob) => void;
}

/** Speed and concurrency of an engine. @public */
export interface EngineSpeed {
  /** Number of requests that run concurrently. */
  readonly slots: number;
  /** Time of one step with one request, in milliseconds. */
  readonly stepMs: number;
  /** Time that each further request adds to a step, in milliseconds. */
  readonly stepMsPerJob: number;
  /** Prompt tokens processed per millisecond. */
  readonly prefillTokensPerMs: number;
}

const MAX_QUEUED = 10_000;

interface RunningJob {
  readonly job: EngineJob;
  /** Remaining prefill time, in milliseconds. */
  prefillMs: number;
}

/**
 * Simulates continuous batching. Each step generates one token for every running request whose
 * prefill is complete. A queued request starts as soon as a slot is free.
 *
 * @public
 */
export class EngineBatch {
  private readonly queue: EngineJob[] = [];
  private running: RunningJob[] = [];
  private isStepping = false;
  /** Tokens generated since the start. */
  tokensGenerated = 0;

  constructor(
    private readonly speed: EngineSpeed,
    private readonly faults: EngineFaults,
  ) {}

  get runningCount(): number {
    return this.running.length;
  }

  get queuedCount(): number {
    return this.queue.length;
  }

  /** Queues a request by priority; returns false if the queue is full. */
  add(job: EngineJob): boolean {
    if (this.queue.length >= MAX_QUEUED) return false;
    const index = this.faults.ignoresPriority
      ? -1
      : this.queue.findIndex(other => other.priority > job.priority);
    if (index < 0) this.queue.push(job);
    else this.queue.splice(index, 0, job);
    if (!this.isStepping) void this.runSteps();
    return true;
  }

  /** Removes a queued or running request. */
  cancel(id: string): void {
    this.running = this.running.filter(({job}) => job.id !== id);
    const index = this.queue.findIndex(job => job.id === id);
    if (index >= 0) this.queue.splice(index, 1);
  }

  private async runSteps(): Promise<void> {
    this.isStepping = true;
    let nextStepAt = performance.now();
    while (this.queue.length > 0 || this.running.length > 0) {
      this.fillSlots();
      const stepMs = this.computeStepMs();
      nextStepAt = Math.max(nextStepAt + stepMs, performance.now() - stepMs);
      await new Promise(resolve =>
        setTimeout(resolve, Math.max(0, nextStepAt - performance.now())),
      );
      this.step(stepMs);
    }
    this.isStepping = false;
  }

  private fillSlots(): void {
    while (this.running.length < this.speed.slots) {
      const job = this.queue.shift();
      if (!job) return;
      const prefillMs = job.prefillTokens / this.speed.prefillTokensPerMs;
      this.running.push({job, prefillMs});
    }
  }

  private computeStepMs(): number {
    const {stepMs, stepMsPerJob} = this.speed;
    const extra = Math.max(this.running.length - 1, 0) * stepMsPerJob;
    return (stepMs + extra) * this.faults.slowFactor;
  }

  private step(stepMs: number): void {
    for (const runningJob of [...this.running]) {
      if (runningJob.prefillMs > 0) {
        runningJob.prefillMs -= stepMs / this.faults.slowFactor;
        continue;
      }
      runningJob.job.generated += 1;
      this.tokensGenerated += 1;
      runningJob.job.onToken(runningJob.job);
    }
    this.running = this.running.filter(
      ({job}) => job.generated < job.totalTokens,
    );
  }
}
