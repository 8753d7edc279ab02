import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import type {
  EngineFaults,
  EngineRun,
  StandInEngineOptions,
} from '@sycamorehead/stand-ins';

/** What an engine host is started with. @internal */
export interface EngineHostSettings {
  readonly engines: readonly StandInEngineOptions[];
}

/** What an engine host is told. @internal */
export type EngineHostCommand =
  | {
      readonly kind: 'set_faults';
      readonly engine: number;
      readonly faults: Partial<EngineFaults>;
    }
  | {readonly kind: 'reset'}
  | {readonly kind: 'collect'}
  | {readonly kind: 'stop'};

/** One attempt as an engine saw it. @public */
export type EngineRunRecord = Pick<
  EngineRun,
  'id' | 'version' | 'tokens' | 'outcome'
>;

/** What an engine host collected. @public */
export interface EngineHostReport {
  readonly kind: 'collected';
  readonly loopDelayP99Ms: number;
  /** Attempts of each engine. */
  readonly runs: ReadonlyArray<readonly EngineRunRecord[]>;
}

/** What an engine host answers. @internal */
export type EngineHostReply =
  {readonly kind: 'started'} | {readonly kind: 'stopped'} | EngineHostReport;

/**
 * Stand-in engines in a worker thread, so that their token pacing does not suffer from the
 * entries' work.
 *
 * @public
 */
export class EngineHost {
  private readonly worker: Worker;

  constructor(settings: EngineHostSettings) {
    this.worker = new Worker(new URL('./engineWorker.js', import.meta.url), {
      workerData: settings,
    });
  }

  /** Waits until every engine serves and has announced itself. */
  async start(): Promise<void> {
    await this.awaitReply('started');
  }

  /** Switches faults of one engine. */
  setFaults(engine: number, faults: Partial<EngineFaults>): void {
    this.send({kind: 'set_faults', engine, faults});
  }

  /** Forgets the attempts and the delays measured so far. */
  reset(): void {
    this.send({kind: 'reset'});
  }

  /** Collects what the engines ran. */
  async collect(): Promise<EngineHostReport> {
    this.send({kind: 'collect'});
    return (await this.awaitReply('collected')) as EngineHostReport;
  }

  /** Stops the engines and the thread. */
  async stop(): Promise<void> {
    this.send({kind: 'stop'});
    await this.awaitReply('stopped');
    await this.worker.terminate();
  }

  private send(command: EngineHostCommand): void {
    this.worker.postMessage(command);
  }

  private async awaitReply(
    kind: EngineHostReply['kind'],
  ): Promise<EngineHostReply> {
    for (;;) {
      const [reply] = (await once(this.worker, 'message')) as [EngineHostReply];
      if (reply.kind === kind) return reply;
    }
  }
}
