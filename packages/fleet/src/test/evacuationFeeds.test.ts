import assert from 'node:assert/strict';
import {mkdtemp, rm} from 'node:fs/promises';
import path from 'node:path';
import {afterEach, test} from 'node:test';
import {PeerLink, connectPeer, parsePeerAddress} from '@sycamorehead/wire';
import {FleetLinks} from '../lib/FleetLinks.js';
import {
  EvacuationState,
  FLEET_METHODS,
  FleetDescription,
  FleetUpdate,
} from '../lib/fleetMessages.js';
import {FleetNode} from '../lib/FleetNode.js';
import {buildNodeOptions, retry} from './fleetNodes.js';

const PEER_PORT = 17_470;
const HOSTS = ['127.0.1.1', '127.0.1.2', '127.0.1.3'];
const SEEDS = HOSTS.map(host => `${host}:${PEER_PORT}`);
const EVACUATED: EvacuationState = {revision: 1, dataCentres: ['b']};

const stops: Array<() => Promise<void> | void> = [];

afterEach(async () => {
  for (const stop of stops.splice(0).reverse()) await stop();
});

async function startNode(
  index: number,
  folder: string,
  isFirstStart: boolean,
): Promise<FleetNode> {
  const host = HOSTS[index] ?? '';
  const node = new FleetNode(
    buildNodeOptions(host, {
      peerPort: PEER_PORT,
      seeds: SEEDS,
      isFirstStart,
      dataFolder: path.join(folder, host),
      faults: 1,
    }),
  );
  await node.start();
  return node;
}

function startEntry(name: string): FleetUpdate[] {
  const updates: FleetUpdate[] = [];
  const entry = new FleetLinks({
    entry: name,
    dataCentre: 'a',
    peerKey: 'test',
    seeds: SEEDS,
    onUpdate: update => updates.push(update),
    onConfiguration: () => {},
  });
  entry.start();
  stops.push(() => entry.stop());
  return updates;
}

async function connectTool(address: string): Promise<PeerLink> {
  const link = await connectPeer({
    address: parsePeerAddress(address),
    name: 'tool',
    peerKey: 'test',
    methods: {},
  });
  stops.push(() => link.close('done'));
  return link;
}

function waitForEvacuation(
  updates: readonly FleetUpdate[],
  expected: EvacuationState,
): Promise<void> {
  return retry(async () => {
    const told = updates.flatMap(({evacuation}) => evacuation ?? []);
    assert.deepEqual(told.at(-1), expected);
  });
}

test('an evacuation reaches all entries, outlives all processes, and no instance hides it while it catches up', async () => {
  const folder = await mkdtemp(path.resolve('bench-results-fleet-'));
  stops.push(() => rm(folder, {recursive: true, force: true}));
  let nodes = await Promise.all(
    HOSTS.map((unused, index) => startNode(index, folder, true)),
  );
  stops.push(async () => {
    await Promise.all(nodes.map(node => node.stop()));
  });
  const first = startEntry('e1');
  const tool = await connectTool(SEEDS[2] ?? '');
  const order = {dataCentre: 'b', isEvacuated: true};
  await retry(() => tool.request(FLEET_METHODS.setEvacuation, order));
  await tool.request(FLEET_METHODS.setEvacuation, order);
  await waitForEvacuation(first, EVACUATED);
  const unknown = {dataCentre: 'nowhere', isEvacuated: true};
  for (const node of nodes) {
    await assert.rejects(node.commands.setEvacuation(unknown), {
      kind: 'note_invalid',
    });
  }
  const text = await nodes[0]?.metrics.registry.metrics();
  assert.match(text ?? '', /^syc_control_evacuated_data_centres 1$/m);

  await Promise.all(nodes.map(node => node.stop()));
  nodes = [await startNode(0, folder, false)];
  // The log of this instance has the order, but nobody has told it that it is committed.
  const early = startEntry('e2');
  await retry(async () => assert.ok(early.length > 0));
  assert.ok(early.every(({evacuation}) => evacuation === undefined));
  assert.ok(early.some(({isCatchingUp}) => isCatchingUp));

  for (const index of [1, 2]) nodes.push(await startNode(index, folder, false));
  await waitForEvacuation(early, EVACUATED);
  assert.ok(early.every(({evacuation}) => evacuation?.revision !== 0));
  const again = await connectTool(SEEDS[0] ?? '');
  const fleet = await again.request<FleetDescription>(
    FLEET_METHODS.describe,
    {},
  );
  assert.deepEqual(fleet.evacuated, ['b']);
  const end = {dataCentre: 'b', isEvacuated: false};
  await retry(() => again.request(FLEET_METHODS.setEvacuation, end));
  await waitForEvacuation(early, {
    revision: 2,
    dataCentres: [],
    ended: {b: 2},
  });
});
