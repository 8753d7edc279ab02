import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import type {
  EngineFaults,
  EngineRun,
  StandInEngineOptions,
} from '@sycamorehead/stand-ins';

/** Worker data of an EngineHost thread. @internal */
export interface EngineHostSettings {
  readonly engines: readonly StandInEngineOptions[];
}

/** Message to an EngineHost thread. @internal */
export type EngineHostCommand =
  | {
      readonly kind: 'set_faults';
      readonly engine: number;
      readonly faults: Partial<EngineFaults>;
    }
  | {readonly kind: 'reset'}
  | {readonly kind: 'collect'}
  | {readonly kind: 'stop'};

/** One attempt as recorded by the engine that ran it. @public */
export type EngineRunRecord = Pick<
  EngineRun,
  'id' | 'version' | 'tokens' | 'outcome'
>;

/** Attempts and event-loop delay recorded by an EngineHost thread since its last reset. @public */
export interface EngineHostReport {
  readonly kind: 'collected';
  readonly loopDelayP99Ms: number;
  /** Attempts of each engine, in the order of the settings. */
  readonly runs: ReadonlyArray<readonly EngineRunRecord[]>;
}

/** Message from an EngineHost thread. @internal */
export type EngineHostReply =
  {readonly kind: 'started'} | {readonly kind: 'stopped'} | EngineHostReport;

/**
 * Runs stand-in engines in a worker thread, so that work of the entries on the main thread does
 * not delay their tokens.
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

  /** Waits until every engine is serving and has announced itself. */
  async start(): Promise<void> {
    await this.awaitReply('started');
  }

  /** Sets the given faults of one engine; the other faults stay unchanged. */
  setFaults(engine: number, faults: Partial<EngineFaults>): void {
    this.send({kind: 'set_faults', engine, faults});
  }

  /** Clears the recorded attempts and event-loop delays. */
  reset(): void {
    this.send({kind: 'reset'});
  }

  /** Returns the recorded attempts and the event-loop delay. */
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
