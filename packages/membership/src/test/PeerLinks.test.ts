import assert from 'node:assert/strict';
import {test} from 'node:test';
import {WireServer} from '@sycamorehead/wire';
import {BackendServerDirectory} from '../lib/BackendServerDirectory.js';
import {PeerGossip} from '../lib/PeerGossip.js';
import {PEER_LINK_TIMEOUTS, PeerLinks} from '../lib/PeerLinks.js';

const HOST = '127.0.0.1';
const WAIT_MS = 10_000;

interface RunningEntry {
  readonly links: PeerLinks;
  readonly port: number;
  stop(): Promise<void>;
}

async function startEntry(
  name: string,
  seedPorts: readonly number[],
  options: {readonly port?: number; readonly dropAfterMs?: number} = {},
): Promise<RunningEntry> {
  const links: PeerLinks = new PeerLinks({
    name,
    seeds: seedPorts.map(port => ({host: HOST, port})),
    peerKey: 'k',
    onLinked: () => {},
    getMethods: () => links.getMethods(),
    dropAfterMs: options.dropAfterMs,
  });
  const server = new WireServer({
    host: HOST,
    port: options.port ?? 0,
    peerKey: 'k',
    methods: links.getMethods(),
    timeouts: PEER_LINK_TIMEOUTS,
  });
  const port = await server.start();
  links.start({host: HOST, port});
  const stop = async () => {
    links.stop();
    await server.stop();
  };
  return {links, port, stop};
}

async function waitFor(isDone: () => boolean, what: string): Promise<void> {
  const deadline = performance.now() + WAIT_MS;
  while (!isDone()) {
    assert.ok(performance.now() < deadline, what);
    await new Promise(resolve => setTimeout(resolve, 20));
  }
}

test('entries that share a seed link to each other; an entry that stops is removed', async () => {
  const seed = await startEntry('a', []);
  const others = await Promise.all(
    ['b', 'c', 'd'].map(name => startEntry(name, [seed.port])),
  );
  const all = [seed, ...others];
  try {
    await waitFor(
      () => all.every(({links}) => links.listLinks().size === 3),
      'each entry links to the three others',
    );
    await others[2]?.stop();
    const left = [seed, ...others.slice(0, 2)];
    await waitFor(
      () => left.every(({links}) => links.listEntries().join() === 'a,b,c'),
      'the entry that stopped is no longer listed',
    );
  } finally {
    await Promise.all(all.map(entry => entry.stop().catch(() => {})));
  }
});

test('an entry that was dropped as silent is found again without a seed', async () => {
  const seed = await startEntry('a', []);
  const left = await startEntry('b', [seed.port], {dropAfterMs: 100});
  const right = await startEntry('c', [seed.port]);
  await waitFor(() => left.links.listLinks().has('c'), 'b and c are linked');
  await seed.stop();
  // A crash closes the links without a leave message.
  for (const link of right.links.listLinks().values()) link.close();
  await right.stop();
  let restarted: RunningEntry | undefined;
  try {
    await waitFor(() => {
      left.links.expire();
      return left.links.listEntries().join() === 'b';
    }, 'b has dropped c');
    restarted = await startEntry('c', [], {port: right.port});
    await waitFor(() => left.links.listLinks().has('c'), 'b found c again');
  } finally {
    await left.stop();
    await restarted?.stop();
  }
});

test('leaving is acknowledged by an entry without seeds, but not by one that cannot reach its seed', async () => {
  const announcement = {
    id: 's',
    address: 'http://127.0.0.1:1',
    dataCentre: 'dc',
    kind: 'service' as const,
    service: 'orders',
    generation: 1,
    sequence: 1,
    state: 'leaving' as const,
    versions: [],
    slots: 1,
    fencing: 'ignored' as const,
  };
  const createGossip = (ports: number[]) =>
    new PeerGossip({
      name: 'a',
      peers: ports.map(port => ({host: HOST, port})),
      peerKey: 'k',
      directory: new BackendServerDirectory(),
    });
  const answer = await createGossip([]).receive(announcement);
  assert.equal(answer.accepted, true);
  await assert.rejects(createGossip([9]).receive(announcement), /leaving/);
});
