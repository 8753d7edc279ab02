import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import type {VersionRef} from '@sycamorehead/schema';

/** What a steady engine is started with. @internal */
export interface SteadyEngineSettings {
  readonly id: string;
  readonly version: VersionRef;
  readonly serverKey: string;
}

/** An engine of steady speed in a worker thread. @internal */
export class SteadyEngine {
  private readonly worker: Worker;

  constructor(settings: SteadyEngineSettings) {
    this.worker = new Worker(
      new URL('./steadyEngineWorker.js', import.meta.url),
      {workerData: settings},
    );
  }

  /** Starts to serve and returns the address. */
  async start(): Promise<string> {
    const [address] = (await once(this.worker, 'message')) as [string];
    return address;
  }

  /** Begins to announce itself to entries. */
  announceTo(entryUrls: readonly string[]): void {
    this.worker.postMessage(entryUrls);
  }

  /** Stops as a crash would. */
  async stop(): Promise<void> {
    await this.worker.terminate();
  }
}
