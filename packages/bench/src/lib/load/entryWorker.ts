/** Entry point of the worker thread that runs an EntryHost's entries. */
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {parentPort, workerData} from 'node:worker_threads';
import {ControlClient} from '@sycamorehead/control';
import {Entry} from '@sycamorehead/entry';
import type {
  EntryHostCommand,
  EntryHostReply,
  EntryHostSettings,
  StartedEntry,
} from './EntryHost.js';

const HOST = '127.0.0.1';
const NANOSECONDS_PER_MS = 1e6;

const {names, control, peers, peerKey, serverKey, policies} =
  workerData as EntryHostSettings;
const loopDelay = monitorEventLoopDelay({resolution: 1});
const entries: Entry[] = [];
const clients: ControlClient[] = [];

function sendReply(reply: EntryHostReply): void {
  parentPort?.postMessage(reply);
}

async function startEntries(): Promise<StartedEntry[]> {
  const started: StartedEntry[] = [];
  for (const name of names) {
    const client = new ControlClient({
      name,
      instances: {'control-1': control},
      peerKey,
    });
    clients.push(client);
    const startedPeers = started.map(({peerPort}) => ({
      host: HOST,
      port: peerPort,
    }));
    const entry = new Entry({
      name,
      dataCentre: `dc-${(Number(name.split('-')[1]) % 3) + 1}`,
      host: HOST,
      port: 0,
      peerPort: 0,
      // Each entry connects to the entries that were started before it.
      peers: [...peers, ...startedPeers],
      peerKey,
      serverKey,
      control: client,
      policies,
    });
    entries.push(entry);
    started.push(await entry.start());
  }
  return started;
}

const HANDLERS: {
  readonly [Kind in EntryHostCommand['kind']]: () => void | Promise<void>;
} = {
  count_ready() {
    const counts = entries.map(entry =>
      entry.isReady() ? entry.directory.listReady().length : 0,
    );
    sendReply({kind: 'ready', backendServers: Math.min(...counts)});
  },
  reset() {
    loopDelay.reset();
  },
  collect() {
    const loopDelayP99Ms = loopDelay.percentile(99) / NANOSECONDS_PER_MS;
    sendReply({kind: 'collected', loopDelayP99Ms});
  },
  async stop() {
    await Promise.all(entries.map(entry => entry.stop()));
    for (const client of clients) client.stop();
    loopDelay.disable();
    sendReply({kind: 'stopped'});
    parentPort?.close();
  },
};

parentPort?.on('message', ({kind}: EntryHostCommand) => {
  void HANDLERS[kind]();
});
loopDelay.enable();
sendReply({kind: 'started', entries: await startEntries()});
