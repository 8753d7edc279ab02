import assert from 'node:assert/strict';
import {mkdtemp, rm} from 'node:fs/promises';
import path from 'node:path';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {JsonValue} from '@sycamorehead/schema';
import {PeerLink, connectPeer, parsePeerAddress} from '@sycamorehead/wire';
import {FleetLinks} from '../lib/FleetLinks.js';
import {FLEET_METHODS, FleetDescription} from '../lib/fleetMessages.js';
import type {CrashReport, QuarantineState} from '../lib/fleetMessages.js';
import {FleetNode} from '../lib/FleetNode.js';
import {FleetCommand, FleetState} from '../lib/FleetState.js';
import {buildNodeOptions, retry} from './fleetNodes.js';

const PEER_PORT = 17_390;
const HOSTS = ['127.0.1.1', '127.0.1.2', '127.0.1.3'];
const SEEDS = HOSTS.map(host => `${host}:${PEER_PORT}`);

const stops: Array<() => Promise<void> | void> = [];

afterEach(async () => {
  for (const stop of stops.splice(0).reverse()) await stop();
});

async function startNode(
  host: string,
  dataFolder: string,
  isFirstStart: boolean,
): Promise<FleetNode> {
  const node = new FleetNode(
    buildNodeOptions(host, {
      peerPort: PEER_PORT,
      seeds: SEEDS,
      isFirstStart,
      dataFolder,
      faults: 1,
    }),
  );
  await node.start();
  return node;
}

/** An entry that follows the quarantine and reports crashes. */
class ReportingEntry {
  state: QuarantineState = {revision: 0, combinations: []};
  private readonly links: FleetLinks;

  constructor(
    private readonly name: string,
    seed: string,
  ) {
    this.links = new FleetLinks({
      entry: name,
      dataCentre: 'a',
      peerKey: 'test',
      seeds: [seed],
      onUpdate: ({quarantine}) => {
        if (quarantine && quarantine.revision > this.state.revision) {
          this.state = quarantine;
        }
      },
      onConfiguration: () => {},
    });
    this.links.start();
    stops.push(() => this.links.stop());
  }

  async report(...crashes: CrashReport[]): Promise<void> {
    const report = {entry: this.name, load: {}, evidence: [], crashes};
    await retry(() => this.links.exchange(report));
  }
}

function waitForCombinations(
  entry: ReportingEntry,
  expected: string[][],
): Promise<void> {
  return retry(async () => {
    assert.deepEqual(entry.state.combinations, expected);
  });
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

function describe(link: PeerLink): Promise<FleetDescription> {
  return link.request<FleetDescription>(FLEET_METHODS.describe, {});
}

async function createFolders(): Promise<string[]> {
  const folders: string[] = [];
  for (const host of HOSTS) {
    const folder = await mkdtemp(path.resolve('bench-results-fleet-'));
    folders.push(path.join(folder, host));
    stops.push(() => rm(folder, {recursive: true, force: true}));
  }
  return folders;
}

test('crashes that three entries report put a segment into quarantine, which outlives all processes', async () => {
  const folders = await createFolders();
  const startAll = (isFirstStart: boolean) =>
    Promise.all(
      HOSTS.map((host, index) =>
        startNode(host, folders[index] ?? '', isFirstStart),
      ),
    );
  let nodes = await startAll(true);
  stops.push(async () => {
    await Promise.all(nodes.map(node => node.stop()));
  });
  const entries = SEEDS.map((seed, index) => {
    return new ReportingEntry(`e${index}`, seed);
  });
  for (const [index, entry] of entries.entries()) {
    await entry.report({
      incarnation: `s${index} 17`,
      ageMs: 0,
      segments: ['bad', `own${index}`],
    });
    await sleep(150);
  }
  for (const entry of entries) await waitForCombinations(entry, [['bad']]);

  await Promise.all(nodes.map(node => node.stop()));
  nodes = await startAll(false);
  const joined = new ReportingEntry('e9', SEEDS[1] ?? '');
  await waitForCombinations(joined, [['bad']]);

  const link = await connectTool(SEEDS[2] ?? '');
  const fleet = await retry(async () => {
    const description = await describe(link);
    assert.ok(description.isConfirmed);
    return description;
  });
  assert.deepEqual(fleet.quarantined, [
    {segments: ['bad'], crashes: 3, durationMs: 900_000},
  ]);
  await retry(() =>
    link.request(FLEET_METHODS.releaseSegments, {segments: ['bad']}),
  );
  await waitForCombinations(joined, []);
});

test('an instance that has not caught up does not pass off its quarantine as the one in force', async () => {
  const folders = await createFolders();
  const alone = await startNode(HOSTS[0] ?? '', folders[0] ?? '', true);
  stops.push(() => alone.stop());
  const link = await connectTool(SEEDS[0] ?? '');
  const before = await describe(link);
  assert.deepEqual([before.isConfirmed, before.quarantined], [false, []]);

  const other = await startNode(HOSTS[1] ?? '', folders[1] ?? '', true);
  stops.push(() => other.stop());
  await retry(async () => assert.ok((await describe(link)).isConfirmed));
});

function apply(state: FleetState, command: FleetCommand): boolean {
  const result = state.apply(command as unknown as JsonValue);
  return (result as {isChanged: boolean}).isChanged;
}

test('a quarantine is in snapshots, and a snapshot of an earlier build has none', () => {
  const state = new FleetState();
  const quarantined = {segments: ['a', 'b'], crashes: 4, durationMs: 1_000};
  assert.ok(apply(state, {type: 'quarantine_segments', quarantined}));
  assert.ok(!apply(state, {type: 'quarantine_segments', quarantined}));
  const restored = new FleetState();
  restored.restoreSnapshot(state.takeSnapshot());
  assert.deepEqual(restored.listQuarantined(), [quarantined]);
  assert.deepEqual(restored.describeQuarantine(), {
    revision: 1,
    combinations: [['a', 'b']],
  });
  assert.ok(apply(restored, {type: 'release_segments', segments: ['b', 'a']}));
  assert.equal(restored.describeQuarantine().revision, 2);
  restored.restoreSnapshot({
    configuration: {version: 0, document: null},
    rollouts: [],
    rolloutCount: 0,
  });
  assert.deepEqual(restored.listQuarantined(), []);
});
