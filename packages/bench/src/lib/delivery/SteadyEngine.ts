import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import type {VersionRef} from '@sycamorehead/schema';

/** Settings of a steady engine. @internal */
export interface SteadyEngineSettings {
  readonly id: string;
  readonly version: VersionRef;
  readonly serverKey: string;
}

/** An engine with constant token speed, in its own worker thread. @internal */
export class SteadyEngine {
  private readonly worker: Worker;

  constructor(settings: SteadyEngineSettings) {
    this.worker = new Worker(
      new URL('./steadyEngineWorker.js', import.meta.url),
      {workerData: settings},
    );
  }

  /** Waits until the engine listens and returns its address. */
  async start(): Promise<string> {
    const [address] = (await once(this.worker, 'message')) as [string];
    return address;
  }

  /** Starts to announce the engine to entries. */
  announceTo(entryUrls: readonly string[]): void {
    this.worker.postMessage(entryUrls);
  }

  /** Terminates the worker thread without a graceful shutdown, as a crash does. */
  async stop(): Promise<void> {
    await this.worker.terminate();
  }
}
