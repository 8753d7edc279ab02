import type {EngineFaults} from './engineFaults.js';

/** One request inside the engine. @public */
export interface EngineJob {
  readonly id: string;
  /** Lower runs first. */
  readonly priority: number;
  /** Tokens of the prompt that the prefix cache does not hold. */
  readonly prefillTokens: number;
  /** Tokens to generate, counted from the beginning of the answer. */
  readonly totalTokens: number;
  /** Tokens generated so far; begins at the resume offset. */
  generated: number;
  /** Called for each token; the last call has `generated === totalTokens`. */
  readonly onToken: (job: EngineJob) => void;
}

/** How fast an engine is. @public */
export interface EngineSpeed {
  /** Requests that run at once. */
  readonly slots: number;
  /** Time of one step with one request, in milliseconds. */
  readonly stepMs: number;
  /** What each further request adds to a step, in milliseconds. */
  readonly stepMsPerJob: number;
  /** Prompt tokens read in a millisecond. */
  readonly prefillTokensPerMs: number;
}

const MAX_QUEUED = 10_000;

interface RunningJob {
  readonly job: EngineJob;
  /** Prefill time still to pay, in milliseconds. */
  prefillMs: number;
}

/**
 * Continuous batching: each step generates one token for every running request; a waiting one
 * takes a slot as soon as one is free.
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

  /** Queues a request by priority; tells whether there was room. */
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

  /** Drops a request, waiting or running. */
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
    for (const entry of [...this.running]) {
      if (entry.prefillMs > 0) {
        entry.prefillMs -= stepMs / this.faults.slowFactor;
        continue;
      }
      entry.job.generated += 1;
      this.tokensGenerated += 1;
      entry.job.onToken(entry.job);
    }
    this.running = this.running.filter(
      ({job}) => job.generated < job.totalTokens,
    );
  }
}
