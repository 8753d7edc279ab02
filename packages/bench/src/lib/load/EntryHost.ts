import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import type {EntryOptions, EntryPorts} from '@sycamorehead/entry';
import type {PeerAddress} from '@sycamorehead/wire';

/** Worker data of an EntryHost thread. @internal */
export interface EntryHostSettings {
  readonly names: readonly string[];
  readonly control: PeerAddress;
  /** Entries that were started earlier in other threads. */
  readonly peers: readonly PeerAddress[];
  readonly peerKey: string;
  readonly serverKey: string;
  readonly policies: EntryOptions['policies'];
}

/** Ports of an entry that a host started. @public */
export type StartedEntry = EntryPorts;

/** Message to an EntryHost thread. @internal */
export interface EntryHostCommand {
  readonly kind: 'count_ready' | 'reset' | 'collect' | 'stop';
}

/** Message from an EntryHost thread. @internal */
export type EntryHostReply =
  | {readonly kind: 'started'; readonly entries: readonly StartedEntry[]}
  | {readonly kind: 'ready'; readonly backendServers: number}
  | {readonly kind: 'collected'; readonly loopDelayP99Ms: number}
  | {readonly kind: 'stopped'};

type Reply<Kind extends EntryHostReply['kind']> = Extract<
  EntryHostReply,
  {kind: Kind}
>;

/**
 * Runs entries in a worker thread, so that the entries of different threads do not block each
 * other's event loop.
 *
 * @public
 */
export class EntryHost {
  private readonly worker: Worker;

  constructor(settings: EntryHostSettings) {
    this.worker = new Worker(new URL('./entryWorker.js', import.meta.url), {
      workerData: settings,
    });
  }

  /** Waits until the entries are listening and returns their ports. */
  async start(): Promise<readonly StartedEntry[]> {
    return (await this.awaitReply('started')).entries;
  }

  /** Returns the lowest number of ready backend servers that any entry of this host lists. */
  async countReady(): Promise<number> {
    this.send('count_ready');
    return (await this.awaitReply('ready')).backendServers;
  }

  /** Clears the recorded event-loop delays. */
  reset(): void {
    this.send('reset');
  }

  /** Returns the 99th percentile of the event-loop delay, in milliseconds. */
  async readLoopDelayMs(): Promise<number> {
    this.send('collect');
    return (await this.awaitReply('collected')).loopDelayP99Ms;
  }

  /** Terminates the thread without stopping the entries, like the loss of their instance. */
  async close(): Promise<void> {
    await this.worker.terminate();
  }

  /** Stops the entries gracefully. */
  async stop(): Promise<void> {
    this.send('stop');
    await this.awaitReply('stopped');
    await this.worker.terminate();
  }

  private send(kind: EntryHostCommand['kind']): void {
    this.worker.postMessage({kind} satisfies EntryHostCommand);
  }

  private async awaitReply<Kind extends EntryHostReply['kind']>(
    kind: Kind,
  ): Promise<Reply<Kind>> {
    for (;;) {
      const [reply] = (await once(this.worker, 'message')) as [EntryHostReply];
      if (reply.kind === kind) return reply as Reply<Kind>;
    }
  }
}
