import assert from 'node:assert/strict';
import {mkdtemp, rm} from 'node:fs/promises';
import path from 'node:path';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {JsonValue} from '@sycamorehead/schema';
import {connectPeer, parsePeerAddress} from '@sycamorehead/wire';
import {FleetLinks} from '../lib/FleetLinks.js';
import {FLEET_METHODS, FleetDescription} from '../lib/fleetMessages.js';
import {FleetNode} from '../lib/FleetNode.js';
import {buildRegistration} from './fixtures.js';
import {buildNodeOptions, retry} from './fleetNodes.js';

const PEER_PORT = 17_340;

const nodes: FleetNode[] = [];
const links: FleetLinks[] = [];
const folders: string[] = [];

afterEach(async () => {
  for (const link of links.splice(0)) link.stop();
  await Promise.all(nodes.splice(0).map(node => node.stop()));
  for (const folder of folders.splice(0)) {
    await rm(folder, {recursive: true, force: true});
  }
});

const SEEDS = ['127.0.1.1', '127.0.1.2', '127.0.1.3'].map(
  host => `${host}:${PEER_PORT}`,
);

async function createFolder(): Promise<string> {
  const folder = await mkdtemp(path.resolve('bench-results-fleet-'));
  folders.push(folder);
  return folder;
}

async function startNode(
  host: string,
  isFirstStart: boolean,
  dataFolder?: string,
): Promise<FleetNode> {
  const node = new FleetNode(
    buildNodeOptions(host, {
      peerPort: PEER_PORT,
      seeds: SEEDS,
      isFirstStart,
      dataFolder: dataFolder ?? (await createFolder()),
      faults: 2,
    }),
  );
  nodes.push(node);
  await node.start();
  return node;
}

test('five instances form one group from three seeds, and an instance with a wiped disk is replaced', async () => {
  const hosts = [1, 2, 3, 4, 5].map(number => `127.0.1.${number}`);
  const started = await Promise.all(hosts.map(host => startNode(host, true)));
  const [first, , , fourth] = started;
  assert.ok(first && fourth);
  const document: JsonValue = {version: 7, note: 'whole'};
  await retry(() => fourth.commands.putConfiguration(document));
  const stored = await retry(() => first.commands.readConfiguration());
  assert.deepEqual(stored, {version: 7, document});

  await first.stop();
  nodes.splice(nodes.indexOf(first), 1);
  const wiped = await startNode('127.0.1.1', false);
  await retry(async () => {
    const {members} = wiped.describe();
    const own = members.filter(({instance}) => instance === '127.0.1.1');
    assert.equal(own.length, 1);
    assert.equal(own[0]?.role, 'voter');
    assert.notEqual(own[0]?.id, '127.0.1.1/first');
    assert.equal(members.length, 5);
  });
  assert.deepEqual(
    await retry(() => wiped.commands.readConfiguration()),
    stored,
  );
});

test('two instances without a quorum neither acknowledge nor read a configuration', async () => {
  const one = await startNode('127.0.1.1', true);
  await startNode('127.0.1.4', false);
  await sleep(1_500);
  await assert.rejects(() => one.commands.putConfiguration({version: 1}));
  await assert.rejects(() => one.commands.readConfiguration());
});

test('a tool reads the configuration, members and servers of an instance over a link', async () => {
  const [first] = await Promise.all(
    ['127.0.1.1', '127.0.1.2', '127.0.1.3'].map(host => startNode(host, true)),
  );
  assert.ok(first);
  await startNode('127.0.1.4', true);
  await startNode('127.0.1.5', true);
  await retry(() => first.commands.putConfiguration({version: 7}));
  await first.register(buildRegistration());
  const link = await connectPeer({
    address: parsePeerAddress(`127.0.1.1:${PEER_PORT}`),
    name: 'tool',
    peerKey: 'test',
    methods: {},
  });
  try {
    await retry(async () => {
      const fleet = await link.request<FleetDescription>(
        FLEET_METHODS.describe,
        {},
      );
      assert.equal(fleet.configuration?.version, 7);
      assert.equal(fleet.members.length, 5);
      assert.ok(fleet.leader);
      assert.equal(fleet.servers[0]?.registration.state, 'ready');
    });
  } finally {
    link.close('done');
  }
  const text = await first.metrics.registry.metrics();
  assert.match(text, /^syc_control_configuration_version 7$/m);
  assert.match(text, /^syc_control_members 5$/m);
});

test('a leaving server is acknowledged once another instance has stored its state, and entries are notified', async () => {
  const [first, second] = await Promise.all(
    ['127.0.1.1', '127.0.1.2', '127.0.1.3'].map(host => startNode(host, true)),
  );
  assert.ok(first && second);
  const states: string[] = [];
  const entry = new FleetLinks({
    entry: 'e1',
    dataCentre: 'a',
    peerKey: 'test',
    seeds: [`127.0.1.2:${PEER_PORT}`],
    onUpdate: ({servers = []}) => {
      states.push(...servers.map(({registration}) => registration.state));
    },
    onConfiguration: () => {},
  });
  links.push(entry);
  entry.start();
  await retry(async () => assert.ok(entry.countLinked() >= 3));
  await first.register(buildRegistration());
  await first.register(buildRegistration({sequence: 2, state: 'leaving'}));
  const isStored = [second, nodes[2]].some(
    node => node?.describe().servers[0]?.registration.state === 'leaving',
  );
  assert.ok(isStored);
  await retry(async () => assert.ok(states.includes('leaving')));
});
