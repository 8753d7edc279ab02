import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FakeGroup, PausedClock} from '@sycamorehead/consensus/testing';
import {DEFAULT_CALLER_LIMITS, JsonValue} from '@sycamorehead/schema';
import {FleetCommands} from '../lib/FleetCommands.js';
import type {EvacuationOrder} from '../lib/FleetCommands.js';
import type {FleetCommandsOptions} from '../lib/FleetCommands.js';
import {FleetState} from '../lib/FleetState.js';
import {KnownDataCentres} from '../lib/KnownDataCentres.js';
import type {LoadExchange} from '../lib/LoadExchange.js';
import type {LogMember} from '../lib/LogMember.js';
import {RolloutDriver} from '../lib/RolloutDriver.js';
import {StateConfirmation} from '../lib/StateConfirmation.js';
import {ServerRegistry} from '../lib/ServerRegistry.js';
import {buildRegistration} from './fixtures.js';

const NAMES = ['c1', 'c2', 'c3', 'c4', 'c5'];
const EVACUATE_B = buildCommand('b', true);

function buildCommand(dataCentre: string, isEvacuated: boolean): JsonValue {
  return {type: 'set_evacuation', dataCentre, isEvacuated};
}

test('only changes raise the revision, and a repeated or needless order is none', () => {
  const state = new FleetState();
  const applyOrder = (dataCentre: string, isEvacuated: boolean) => {
    const result = state.apply(buildCommand(dataCentre, isEvacuated));
    const {revision, dataCentres} = state.describeEvacuation();
    return [result, revision, dataCentres];
  };
  const changed = {isChanged: true};
  const same = {isChanged: false};
  assert.deepEqual(applyOrder('b', false), [same, 0, []]);
  assert.deepEqual(applyOrder('b', true), [changed, 1, ['b']]);
  assert.deepEqual(applyOrder('b', true), [same, 1, ['b']]);
  assert.deepEqual(applyOrder('c', true), [changed, 2, ['b', 'c']]);
  assert.deepEqual(applyOrder('b', false), [changed, 3, ['c']]);
  assert.deepEqual(applyOrder('b', false), [same, 3, ['c']]);
});

test('a snapshot holds the evacuation, and that of an earlier build has none', () => {
  const state = new FleetState();
  state.apply(EVACUATE_B);
  const snapshot = JSON.parse(
    JSON.stringify(state.takeSnapshot()),
  ) as JsonValue;
  const restored = new FleetState();
  restored.restoreSnapshot(snapshot);
  assert.deepEqual(restored.describeEvacuation(), {
    revision: 1,
    dataCentres: ['b'],
  });
  const earlier = {configuration: {version: 0, document: null}};
  restored.restoreSnapshot({...earlier, rollouts: [], rolloutCount: 0});
  assert.deepEqual(restored.describeEvacuation(), {
    revision: 0,
    dataCentres: [],
  });
});

/** Runs a test on five members with fake disks and a fake network. */
async function runScenario(
  body: (group: FakeGroup<FleetState>) => Promise<void>,
  snapshotBytes?: number,
): Promise<void> {
  const clock = new PausedClock();
  let last = 0;
  const group = new FakeGroup({
    clock,
    // A power failure loses everything that was not synced.
    random: () => 0,
    createMachine: () => new FleetState(),
    node: {
      random: () => (last = (last + 0.618) % 1),
      snapshotBytes,
      trailingEntries: 0,
    },
    syncMs: 2,
  });
  try {
    await group.createGroup(NAMES);
    await body(group);
  } finally {
    group.stop();
    clock.restore();
  }
}

async function readEvacuation(group: FakeGroup<FleetState>) {
  return (await group.waitForLeader()).machine.describeEvacuation();
}

test('an order whose leader dies before it acknowledges survives, and the order sent again changes nothing', () =>
  runScenario(async group => {
    assert.deepEqual(await group.propose(EVACUATE_B), {isChanged: true});
    // The acknowledgement is lost with the leader.
    const {name} = await group.waitForLeader();
    group.abort(name);
    assert.notEqual((await group.waitForLeader()).name, name);
    assert.deepEqual(await group.propose(EVACUATE_B), {isChanged: false});
    const evacuated = {revision: 1, dataCentres: ['b']};
    assert.deepEqual(await readEvacuation(group), evacuated);
  }));

test('an evacuation survives a snapshot, the loss of two disks and a restart of all', () =>
  runScenario(async group => {
    await group.propose(EVACUATE_B);
    for (let version = 1; version <= 20; version += 1) {
      await group.propose({
        type: 'put_configuration',
        version,
        document: 'x'.repeat(200),
      });
    }
    const {node, name: leader} = await group.waitForLeader();
    assert.ok((node?.getStatus().snapshotIndex ?? 0) > 0, 'no snapshot');
    const [first = '', second = ''] = NAMES.filter(name => name !== leader);
    for (const name of NAMES) {
      if (name === first || name === second) await group.resetDisk(name);
      else group.abort(name);
    }
    for (const name of NAMES) await group.start(name);
    const evacuated = {revision: 1, dataCentres: ['b']};
    assert.deepEqual(await readEvacuation(group), evacuated);
    await group.propose(buildCommand('b', false));
    const ended = {revision: 2, dataCentres: []};
    assert.deepEqual(await readEvacuation(group), ended);
  }, 2_000));

function buildKnown(configured: readonly string[]): KnownDataCentres {
  const registry = new ServerRegistry({
    silentMs: 1_000,
    expiryMs: 1_000,
    tombstoneMs: 1_000,
  });
  registry.accept(buildRegistration({dataCentre: 'registered'}));
  return new KnownDataCentres({own: 'own', configured, registry});
}

const ODD_NAMES: readonly unknown[] = [
  '',
  '..',
  '-a',
  'a b',
  'a/b',
  'a\nb',
  'ä',
  'x'.repeat(65),
  undefined,
  {},
  ['a'],
];

test('known are the data centres of the settings, of the instance and of the servers', () => {
  const known = buildKnown(['a', 'b']);
  for (const name of ['a', 'b', 'own', 'registered'])
    assert.ok(known.has(name));
  for (const name of ['c', 'A', ...ODD_NAMES]) assert.ok(!known.has(name));
});

test('without data centres in the settings each well-formed name is known', () => {
  const known = buildKnown([]);
  for (const name of ['c', 'north_a.1']) assert.ok(known.has(name));
  for (const name of ODD_NAMES) assert.ok(!known.has(name));
});

/** Creates the commands of a leader that commits at once. */
function createCommands() {
  const state = new FleetState();
  const proposals: JsonValue[] = [];
  const logMember = {
    isLeader: true,
    state,
    requireNode: () => ({confirmLeadership: () => Promise.resolve()}),
    propose: (command: JsonValue) => {
      proposals.push(command);
      const result = state.apply(command) as {isChanged: boolean};
      return Promise.resolve(result.isChanged);
    },
  };
  const settings = {dataCentres: ['a', 'b']};
  const commands = new FleetCommands({
    logMember,
    groupManager: {isComplete: () => true},
    decodeConfiguration: () => ({
      version: 1,
      routes: [],
      services: [],
      limits: DEFAULT_CALLER_LIMITS,
    }),
    isKnownDataCentre: (name: string) => settings.dataCentres.includes(name),
  } as unknown as FleetCommandsOptions);
  const setEvacuation = (dataCentre: string, isEvacuated: boolean) =>
    commands.setEvacuation({dataCentre, isEvacuated});
  return {commands, setEvacuation, proposals, state, settings};
}

test('an order for an unknown data centre is refused and changes nothing, whichever way it goes', async () => {
  const {setEvacuation, proposals} = createCommands();
  for (const isEvacuated of [true, false]) {
    for (const name of ['c', '', '../b']) {
      await assert.rejects(setEvacuation(name, isEvacuated), {
        kind: 'note_invalid',
        field: 'dataCentre',
      });
    }
  }
  assert.deepEqual(proposals, []);
});

test('what never was evacuated can be taken back, and so can what the settings no longer contain', async () => {
  const {setEvacuation, state, settings} = createCommands();
  await setEvacuation('a', false);
  assert.equal(state.describeEvacuation().revision, 0);
  await setEvacuation('b', true);
  settings.dataCentres = ['a'];
  await setEvacuation('b', false);
  assert.deepEqual(state.describeEvacuation().dataCentres, []);
  await assert.rejects(setEvacuation('b', true), {kind: 'note_invalid'});
});

test('an end that was accepted is accepted again once neither settings nor servers have the name', async () => {
  const {setEvacuation, state, settings} = createCommands();
  await setEvacuation('b', true);
  await setEvacuation('b', false);
  settings.dataCentres = ['a'];
  // Its acknowledgement was lost.
  await setEvacuation('b', false);
  assert.deepEqual(state.describeEvacuation(), {revision: 2, dataCentres: []});
  await assert.rejects(setEvacuation('b', true), {kind: 'note_invalid'});
  await assert.rejects(setEvacuation('c', false), {kind: 'note_invalid'});
});

test('which evacuations have ended survives a snapshot; of many data centres the last ones are known', () => {
  const state = new FleetState();
  for (let index = 0; index < 120; index += 1) {
    state.apply(buildCommand(`d${index}`, true));
    state.apply(buildCommand(`d${index}`, false));
  }
  state.apply(buildCommand('d30', true));
  state.apply(buildCommand('d30', false));
  const restored = new FleetState();
  restored.restoreSnapshot(
    JSON.parse(JSON.stringify(state.takeSnapshot())) as JsonValue,
  );
  const {revision, ended = {}} = restored.describeEvacuations();
  assert.equal(revision, 242);
  assert.equal(Object.keys(ended).length, 100);
  assert.deepEqual([ended['d20'], ended['d30'], ended['d119']], [42, 242, 240]);
  assert.equal(ended['d19'], undefined);
  assert.ok(restored.hasEndedEvacuation('d30'));
});

test('an instance serves an order of a tool and one that is forwarded to it', async () => {
  const {commands, state} = createCommands();
  const serve = commands.createMethods()['fleet.setEvacuation'];
  const order: EvacuationOrder = {dataCentre: 'a', isEvacuated: true};
  assert.deepEqual(await serve({...order}), {});
  assert.deepEqual(state.describeEvacuation().dataCentres, ['a']);
  const ended = {...order, isEvacuated: false, isForwarded: true};
  assert.deepEqual(await serve(ended), {});
  assert.deepEqual(state.describeEvacuation(), {revision: 2, dataCentres: []});
});

test('a roll-out gives no requests to a version that stands only in an evacuated data centre', async () => {
  const state = new FleetState();
  const registry = new ServerRegistry({
    silentMs: 60_000,
    expiryMs: 60_000,
    tombstoneMs: 60_000,
  });
  registry.accept(buildRegistration());
  const fresh = {id: 's2', address: '10.0.0.2:80', dataCentre: 'b'};
  registry.accept(buildRegistration({...fresh, version: 'v2'}));
  state.apply(EVACUATE_B);
  state.apply({
    type: 'start_rollout',
    service: 'drafts',
    target: 'v2',
    durationMs: 60_000,
  });
  const clock = new PausedClock();
  const driver = new RolloutDriver({
    logMember: {
      isLeader: true,
      state,
      raftNode: undefined,
      propose: (command: JsonValue) => Promise.resolve(state.apply(command)),
    } as unknown as LogMember,
    registry,
    loadExchange: {
      listEvidence: () => [],
      countInFlight: () => 0,
      countEntries: () => 1,
    } as unknown as LoadExchange,
    maxCanaryShare: 0.1,
  });
  try {
    void driver.run();
    await clock.advance(3_000);
    assert.equal(state.findRollout('drafts')?.share, 0);
    state.apply(buildCommand('b', false));
    await clock.advance(1_000);
    assert.ok((state.findRollout('drafts')?.share ?? 0) > 0);
  } finally {
    driver.stop();
    clock.restore();
  }
});

test('a state is confirmed only by what was committed after its log was opened', async () => {
  const states = [new FleetState(), new FleetState()];
  let current = states[0]!;
  const waits: Array<() => void> = [];
  let confirmedCount = 0;
  const confirmation = new StateConfirmation({
    getState: () => current,
    awaitCommitted: () => new Promise(resolve => waits.push(resolve)),
    onConfirmed: () => (confirmedCount += 1),
  });
  const clock = new PausedClock();
  try {
    void confirmation.run();
    await clock.advance(1_000);
    assert.equal(waits.length, 1);
    assert.equal(confirmation.state, undefined);
    // The log is opened again before the answer about the first state arrives.
    current = states[1]!;
    waits.shift()?.();
    await clock.advance(1_000);
    assert.equal(confirmation.state, undefined);
    waits.shift()?.();
    await clock.advance(1_000);
    assert.equal(confirmation.state, current);
    assert.equal(confirmedCount, 1);
    assert.equal(waits.length, 0);
    current = states[0]!;
    assert.equal(confirmation.state, undefined);
  } finally {
    confirmation.stop();
    clock.restore();
  }
});
