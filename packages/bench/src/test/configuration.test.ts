import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PausedClock} from '@sycamorehead/consensus/testing';
import {ConfigurationManager} from '@sycamorehead/entry';
import {
  Configuration,
  ControlApi,
  EMPTY_CONFIGURATION,
  LeaseGrant,
  LeaseRequest,
  applyConfigurationDelta,
  diffConfigurations,
} from '@sycamorehead/schema';
import {SeededRandom} from '../lib/load/arrivals.js';
import {buildNote} from './ConfigurationScenario.js';
import {ControlGroup} from './ControlGroup.js';

const CONTROL_NAMES = ['c1', 'c2', 'c3'];
const LEASE_MS = 3_000;
const HOUR_MS = 3_600_000;

async function runWithControl(
  body: (clock: PausedClock, control: ControlGroup) => Promise<void>,
  node = {},
): Promise<void> {
  const clock = new PausedClock();
  const random = new SeededRandom(1);
  const control = new ControlGroup(
    clock,
    () => random.sampleUniform(),
    CONTROL_NAMES,
    node,
  );
  try {
    await body(clock, control);
  } finally {
    control.stop();
    clock.restore();
  }
}

async function publish(clock: PausedClock, control: ControlGroup, count = 1) {
  const leader = await control.findLeader();
  const {revision} = (await clock.settle(leader.readInForce())).configuration;
  for (let number = revision; number < revision + count; number++) {
    await clock.settle(leader.publish(buildNote(number, 'x')));
  }
  return revision + count;
}

/** Starts the configuration manager of an entry with a scripted control API. */
function startManager(
  renewLease: (request: LeaseRequest) => Promise<LeaseGrant>,
): ConfigurationManager {
  const watchRevision = () => new Promise<never>(() => {});
  const api = {renewLease, watchRevision} as Partial<ControlApi> as ControlApi;
  const manager = new ConfigurationManager('e1', api);
  manager.start();
  return manager;
}

function buildConfiguration(revision: number, customer: string) {
  const entry = {customer} as Configuration['customers'][string];
  return {...EMPTY_CONFIGURATION, revision, customers: {[customer]: entry}};
}

// A leader that has lost its quorum must not extend leases, as a newer revision may be in force.
test('an isolated leader grants no lease, neither at once nor after an hour', () =>
  runWithControl(async (clock, control) => {
    await control.start(1);
    await publish(clock, control);
    const [entry] = control.entries;
    const oldLeader = (await control.group.waitForLeader()).name;
    await clock.advance(1_000);
    control.group.network.dropLinksOf(oldLeader);
    for (const name of CONTROL_NAMES.filter(other => other !== oldLeader)) {
      control.group.network.dropLink('e1', name);
    }
    const request = {entry: 'e1', confirmedRevision: 1};
    const granted = control.getControl(oldLeader)!.renewLease(request);
    await assert.rejects(clock.settle(granted), {kind: 'control_unavailable'});
    await clock.advance(LEASE_MS + 1_000);
    assert.throws(() => entry!.manager.get(), {
      kind: 'no_configuration',
      ran: 'no',
    });
    const revision = await publish(clock, control);
    const leader = await control.findLeader();
    assert.equal((await clock.settle(leader.readInForce())).inForce, true);
    await clock.advance(HOUR_MS);
    assert.equal(control.readRoutingRevision(entry!), undefined);
    await assert.rejects(
      clock.settle(control.getControl(oldLeader)!.readInForce()),
      {
        kind: 'not_leader',
      },
    );
    control.group.network.restoreLinks();
    await clock.advance(3_000);
    assert.equal(control.readRoutingRevision(entry!), revision);
  }));

// A new leader does not know which leases its predecessor granted, so it waits for one lease.
test('a new leader reports a newer revision only after the lease of an unreachable entry expired', () =>
  runWithControl(async (clock, control) => {
    await control.start(2);
    await publish(clock, control);
    await clock.advance(1_000);
    const [unreachable] = control.entries;
    const oldLeader = (await control.group.waitForLeader()).name;
    for (const name of CONTROL_NAMES)
      control.group.network.dropLink('e1', name);
    control.group.abort(oldLeader);
    const revision = await publish(clock, control);
    const leader = await control.findLeader();
    assert.equal((await clock.settle(leader.readInForce())).inForce, false);
    let isReported = false;
    while (!isReported) {
      const report = await clock.settle(leader.readInForce());
      isReported = report.inForceRevision === revision;
      const routed = control.readRoutingRevision(unreachable!);
      assert.ok(!isReported || routed === undefined);
      await clock.advance(50);
    }
    assert.equal(control.readRoutingRevision(control.entries[1]!), revision);
  }));

// An operator that did not receive the response retries, possibly at an instance that has the note
// only from a snapshot.
test('a repeated publish gets the same result from new leaders, also after a snapshot', () =>
  runWithControl(
    async (clock, control) => {
      await control.start(0);
      const note = buildNote(0, 'first');
      const before = await control.findLeader();
      const first = await clock.settle(before.publish(note));
      await publish(clock, control, 30);
      control.group.abort(before.name);
      const after = await control.findLeader();
      assert.ok((after.readStatus().snapshotIndex ?? 0) > 2);
      control.group.abort(after.name);
      await control.group.start(after.name);
      await control.group.start(before.name);
      const again = await control.findLeader();
      assert.deepEqual(await clock.settle(again.publish(note)), {
        ...first,
        state: 'already_in_force',
      });
      const other = again.publish(buildNote(0, 'second'));
      await assert.rejects(clock.settle(other), error => {
        assert.equal((error as {kind: string}).kind, 'note_conflict');
        assert.match(String(error), new RegExp(first.digest));
        return true;
      });
    },
    {snapshotBytes: 2_000, trailingEntries: 2},
  ));

test('of concurrent notes with the same number, exactly one is accepted', () =>
  runWithControl(async (clock, control) => {
    await control.start(0);
    const leader = await control.findLeader();
    const outcomes = await clock.settle(
      Promise.allSettled(
        ['a', 'b', 'c'].map(text => leader.publish(buildNote(0, text))),
      ),
    );
    const accepted = outcomes.filter(({status}) => status === 'fulfilled');
    assert.equal(accepted.length, 1);
    assert.equal((await clock.settle(leader.readInForce())).revision, 1);
  }));

test('an entry and control restarted after 1,000 changes have the newest revision', () =>
  runWithControl(
    async (clock, control) => {
      await control.start(1);
      const revision = await publish(clock, control, 1_000);
      await clock.advance(1_000);
      for (const name of CONTROL_NAMES) control.group.abort(name);
      for (const name of CONTROL_NAMES) await control.group.start(name);
      const [entry] = control.entries;
      control.restartEntry(entry!);
      assert.equal(control.readRoutingRevision(entry!), undefined);
      await clock.advance(5_000);
      assert.equal(control.readRoutingRevision(entry!), revision);
      const leader = await control.findLeader();
      const report = await clock.settle(leader.readInForce());
      assert.equal(report.inForceRevision, revision);
    },
    {snapshotBytes: 20_000},
  ));

test('without control, entries route until their lease expires and then refuse', () =>
  runWithControl(async (clock, control) => {
    await control.start(1);
    await publish(clock, control);
    await clock.advance(1_000);
    for (const name of CONTROL_NAMES) control.group.abort(name);
    const [entry] = control.entries;
    await clock.advance(LEASE_MS - 1_000);
    assert.equal(control.readRoutingRevision(entry!), 1);
    await clock.advance(1_100);
    assert.throws(() => entry!.manager.get(), {
      kind: 'no_configuration',
      ran: 'no',
    });
  }));

// If a lease started on receipt of its grant, a slow response would let an entry route for longer
// than control waits.
test('a lease starts when its request is sent', async () => {
  const clock = new PausedClock();
  try {
    const manager = startManager(async () => {
      await new Promise(resolve => setTimeout(resolve, 2_900));
      const configuration = buildConfiguration(1, 'a');
      return {revision: 1, leaseMs: LEASE_MS, configuration};
    });
    await clock.advance(2_950);
    assert.equal(manager.get().revision, 1);
    await clock.advance(100);
    assert.throws(() => manager.get(), {kind: 'no_configuration'});
    manager.stop();
  } finally {
    clock.restore();
  }
});

test('after a delta with a wrong digest, an entry has no lease until it gets the full configuration', async () => {
  const clock = new PausedClock();
  try {
    const [first, second] = [
      buildConfiguration(1, 'a'),
      buildConfiguration(2, 'b'),
    ];
    const delta = {...diffConfigurations(first, second), digest: 'wrong'};
    const requests: LeaseRequest[] = [];
    const manager = startManager(async request => {
      requests.push(request);
      const grant = {revision: 2, leaseMs: LEASE_MS};
      if (request.needsWhole) return {...grant, configuration: second};
      if (request.confirmedRevision === 0) {
        return {revision: 1, leaseMs: 10, configuration: first};
      }
      return request.confirmedRevision === 2 ? grant : {...grant, delta};
    });
    await clock.advance(50);
    assert.throws(() => manager.get(), {kind: 'no_configuration'});
    await clock.advance(200);
    assert.deepEqual(manager.get(), second);
    assert.equal(requests.filter(({needsWhole}) => needsWhole).length, 1);
    manager.stop();
  } finally {
    clock.restore();
  }
});

test('an entry never applies an older revision', async () => {
  const clock = new PausedClock();
  try {
    let revision = 5;
    const manager = startManager(async () => ({
      revision,
      leaseMs: LEASE_MS,
      configuration: buildConfiguration(revision, 'a'),
    }));
    await clock.advance(10);
    revision = 4;
    await clock.advance(LEASE_MS - 100);
    assert.equal(manager.get().revision, 5);
    await clock.advance(1_000);
    assert.throws(() => manager.get(), {kind: 'no_configuration'});
    manager.stop();
  } finally {
    clock.restore();
  }
});

test('a delta contains only the changes and applies only to its base configuration', () => {
  const before = buildConfiguration(1, 'a');
  const after = {
    ...before,
    revision: 2,
    customers: {...before.customers, ...buildConfiguration(2, 'b').customers},
  };
  const delta = diffConfigurations(before, after);
  assert.deepEqual(Object.keys(delta.tables.customers?.set ?? {}), ['b']);
  assert.deepEqual(applyConfigurationDelta(before, delta), after);
  const back = diffConfigurations(after, {...before, revision: 3});
  assert.deepEqual(back.tables.customers?.removed, ['b']);
  assert.equal(applyConfigurationDelta(before, back), undefined);
});
