import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import type {ServiceRollout} from '@sycamorehead/schema';
import {ServerTable} from '../lib/ServerTable.js';
import {VersionSplit} from '../lib/VersionSplit.js';
import {
  FakeServer,
  ServerScript,
  answerWell,
  describeServer,
} from './FakeServer.js';
import {
  GatewayHarness,
  buildConfiguration,
  buildRoute,
  formatRequest,
} from './GatewayHarness.js';
import {startServer, stopStarted, track} from './startGateway.js';

afterEach(stopStarted);

function buildRollout(overrides: Partial<ServiceRollout> = {}): ServiceRollout {
  return {
    service: 'drafts',
    target: 'v2',
    durationMs: 20_000,
    phase: 'in_progress',
    share: 0,
    number: 1,
    isEarly: true,
    ...overrides,
  };
}

test('a session stays on its version in the first half of a roll-out, then may move to the new one but not back', () => {
  const split = new VersionSplit(5_000);
  split.update([buildRollout()]);
  assert.equal(split.assignVariant('drafts', 'session', 'r1'), 'old');
  split.update([buildRollout({share: 0.999})]);
  assert.equal(split.assignVariant('drafts', 'session', 'r2'), 'old');
  split.update([buildRollout({share: 0.999, isEarly: false})]);
  split.update([buildRollout({share: 1, isEarly: false})]);
  assert.equal(split.assignVariant('drafts', 'session', 'r3'), 'new');
  split.update([buildRollout({share: 0.1, isEarly: false})]);
  assert.equal(split.assignVariant('drafts', 'session', 'r4'), 'new');
});

test('a session from before a roll-out stays on its version', () => {
  const split = new VersionSplit(5_000);
  assert.equal(split.assignVariant('drafts', 'session', 'r1'), 'old');
  split.update([buildRollout({share: 0.999})]);
  assert.equal(split.assignVariant('drafts', 'session', 'r2'), 'old');
  assert.equal(split.assignVariant('drafts', 'another', 'r3'), 'new');
});

test('a session with a long name stays on its version, and only a digest of the name is kept and reported', () => {
  const name = 'session'.repeat(2_000);
  const first = new VersionSplit(5_000);
  const second = new VersionSplit(5_000);
  const rollout = buildRollout({share: 0.999});
  for (const split of [first, second]) split.update([buildRollout()]);
  assert.equal(first.assignVariant('drafts', name, 'r1'), 'old');
  for (const split of [first, second]) split.update([rollout]);
  assert.equal(first.assignVariant('drafts', name, 'r2'), 'old');
  const kept = first.listKept();
  assert.equal(kept.length, 1);
  assert.ok(kept[0]!.length < 100, `${kept[0]!.length} characters`);
  second.addKept(kept);
  assert.equal(second.assignVariant('drafts', name, 'r3'), 'old');
});

test('a session stays on its version when another entry receives its next request', () => {
  const first = new VersionSplit(5_000);
  const second = new VersionSplit(5_000);
  first.assignVariant('drafts', 'session', 'r1');
  const rollout = buildRollout({share: 0.999});
  for (const split of [first, second]) split.update([rollout]);
  assert.deepEqual(first.listKept(), ['drafts session']);
  second.addKept(first.listKept());
  assert.equal(second.assignVariant('drafts', 'session', 'r2'), 'old');
  assert.equal(second.assignVariant('drafts', 'another', 'r3'), 'new');
  // It is known at the second entry from now on, without further reports.
  assert.deepEqual(second.listKept(), ['drafts session']);
  const late = {...rollout, isEarly: false, share: 1};
  second.update([late]);
  assert.equal(second.assignVariant('drafts', 'session', 'r4'), 'new');
});

test('sessions that a roll-out would leave on the old version anyway are not reported', () => {
  const split = new VersionSplit(5_000);
  for (let index = 0; index < 200; index += 1) {
    split.assignVariant('drafts', `session-${index}`, 'r');
  }
  split.update([buildRollout({share: 0.05})]);
  const kept = split.listKept().length;
  assert.ok(kept > 0 && kept < 40, `${kept}`);
});

test('a session on the new version of one roll-out is on the old one of the next', () => {
  const split = new VersionSplit(5_000);
  split.update([buildRollout({share: 0.999})]);
  assert.equal(split.assignVariant('drafts', 'session', 'r1'), 'new');
  split.update([buildRollout({share: 1, phase: 'completed', isEarly: false})]);
  split.update([buildRollout({number: 2, target: 'v3', share: 0.999})]);
  assert.equal(split.assignVariant('drafts', 'session', 'r2'), 'old');
});

test('nothing goes to a version that was rolled back, even after late updates', () => {
  const split = new VersionSplit(5_000);
  split.update([buildRollout({share: 1})]);
  split.update([buildRollout({share: 0, phase: 'rolled_back'})]);
  split.update([buildRollout({share: 1})]);
  assert.equal(split.assignVariant('drafts', 'session', 'r1'), 'old');
  assert.deepEqual(listRejected(split), ['v2']);
});

test('nothing goes to a version that was rolled back while the next one is rolled out', () => {
  const split = new VersionSplit(5_000);
  split.update([buildRollout({share: 0, phase: 'rolled_back'})]);
  const rejected = ['v2'];
  split.update([buildRollout({number: 2, target: 'v3', rejected})]);
  assert.deepEqual(listRejected(split), ['v2']);
  split.update([
    buildRollout({number: 2, target: 'v3', rejected, phase: 'completed'}),
  ]);
  assert.deepEqual(listRejected(split), ['v2']);
  // An order that names the version again puts it on trial.
  split.update([buildRollout({number: 3, rejected: ['v3']})]);
  assert.deepEqual(listRejected(split), ['v3']);
});

/** Lists those of three versions whose servers get no work. */
function listRejected(split: VersionSplit): string[] {
  const table = new ServerTable();
  const versions = ['v1', 'v2', 'v3'];
  table.update({
    servers: versions.map((version, index) =>
      describeServer(`s-${version}`, `127.0.0.1:${index + 9}`, {version}),
    ),
  });
  return table
    .listReady('drafts')
    .filter(server => split.isRejected(server))
    .map(({listing}) => listing.registration.version);
}

test('a rolled-back server that is still listed gets no request while the next version is rolled out', async () => {
  const [old, rejected] = await Promise.all([
    startServer('s1', answerWell),
    startServer('s2', answerWell),
  ]);
  const gateway = track(new GatewayHarness());
  await gateway.start(buildConfiguration([buildRoute()]), [
    old.describe(),
    rejected.describe({version: 'v2'}),
  ]);
  gateway.versions.update([
    buildRollout({number: 2, target: 'v3', rejected: ['v2']}),
  ]);
  for (let index = 0; index < 20; index += 1) {
    await gateway.exchange(formatRequest({id: `r${index}`}));
  }
  assert.equal(rejected.received.length, 0);
  assert.equal(old.received.length, 20);
  const [evidence] = gateway.versions.listEvidence();
  assert.equal(evidence?.counts['drafts|old']?.answers, 20);
});

test('lost answers count for the server, once per event', async () => {
  const answerNothing: ServerScript = (unused, socket) =>
    socket.resetAndDestroy();
  const server = new FakeServer('s1', answerNothing);
  await server.start();
  const gateway = new GatewayHarness(0);
  try {
    await gateway.start(
      buildConfiguration([
        buildRoute({kind: 'streaming', isResumable: true, models: ['small']}),
      ]),
      [server.describe({version: 'v2'})],
    );
    gateway.versions.update([buildRollout({share: 1})]);
    await gateway.exchange(formatRequest({method: 'POST'}));
    await gateway.exchange(formatRequest({method: 'POST', id: 'r2'}));
    const [evidence] = gateway.versions.listEvidence();
    assert.deepEqual(Object.keys(evidence?.counts ?? {}), ['drafts s1|new']);
    assert.equal(evidence?.counts['drafts s1|new']?.losses, 1);
    assert.equal(evidence?.counts['drafts s1|new']?.failures, 0);
  } finally {
    await gateway.stop();
    await server.stop();
  }
});
