import assert from 'node:assert/strict';
import {test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import {ServerRegistry} from '../lib/ServerRegistry.js';
import {buildRegistration} from './fixtures.js';

const TIMEOUTS = {silentMs: 4_000, expiryMs: 20_000, tombstoneMs: 100_000};

function readState(registry: ServerRegistry, id = 's1') {
  return registry.find(id)?.registration.state;
}

test('a late heartbeat does not bring a leaving server back', () => {
  const registry = new ServerRegistry(TIMEOUTS);
  registry.accept(buildRegistration({sequence: 5, state: 'leaving'}));
  assert.equal(registry.accept(buildRegistration({sequence: 4})), false);
  assert.equal(registry.accept(buildRegistration({sequence: 9})), false);
  assert.equal(readState(registry), 'leaving');
});

test('a restarted server is ready under its old id, and its late registration is ignored', () => {
  const registry = new ServerRegistry(TIMEOUTS);
  registry.accept(buildRegistration({sequence: 7, state: 'gone'}));
  registry.accept(buildRegistration({startedAtMs: 2_000, sequence: 1}));
  assert.equal(readState(registry), 'ready');
  registry.accept(buildRegistration({sequence: 8, state: 'gone'}));
  assert.equal(readState(registry), 'ready');
});

test('an address belongs to the server that started there last', () => {
  const registry = new ServerRegistry(TIMEOUTS);
  registry.accept(buildRegistration());
  registry.accept(buildRegistration({id: 's2', startedAtMs: 2_000}));
  assert.equal(readState(registry), 'gone');
  assert.equal(registry.accept(buildRegistration({sequence: 9})), false);
  assert.equal(readState(registry, 's2'), 'ready');
});

test('a heartbeat that changes only the sequence number is not reported as a change', () => {
  const registry = new ServerRegistry(TIMEOUTS);
  assert.equal(registry.accept(buildRegistration()), true);
  assert.equal(registry.accept(buildRegistration({sequence: 2})), false);
  assert.equal(registry.find('s1')?.registration.sequence, 2);
});

test('a silent server is marked, then removed, and a stopped one is retained for longer', () => {
  const clock = fakeTimers.install({toFake: ['performance']});
  try {
    const registry = new ServerRegistry(TIMEOUTS);
    registry.accept(buildRegistration());
    registry.accept(
      buildRegistration({id: 's2', address: '10.0.0.2:80', state: 'gone'}),
    );
    clock.tick(5_000);
    assert.deepEqual(registry.expire(), {changed: ['s1'], dropped: []});
    assert.equal(registry.find('s1')?.isSilent, true);
    clock.tick(16_000);
    assert.deepEqual(registry.expire(), {changed: [], dropped: ['s1']});
    assert.equal(readState(registry, 's2'), 'gone');
    clock.tick(90_000);
    assert.deepEqual(registry.expire(), {changed: [], dropped: ['s2']});
  } finally {
    clock.uninstall();
  }
});

test('a coldness that begins, ends or lasts longer is reported as a change, one that passes is not', () => {
  const clock = fakeTimers.install({toFake: ['performance']});
  try {
    const registry = new ServerRegistry(TIMEOUTS, () => true);
    let sequence = 0;
    const acceptAfter = (passedMs: number, slowStartMs: number) => {
      clock.tick(passedMs);
      sequence += 1;
      return registry.accept(buildRegistration({sequence, slowStartMs}));
    };
    acceptAfter(0, 0);
    assert.equal(acceptAfter(1_000, 3_000), true);
    assert.equal(acceptAfter(1_000, 2_000), false);
    assert.equal(acceptAfter(1_000, 900), false);
    assert.equal(acceptAfter(100, 3_000), true);
    assert.equal(acceptAfter(1_000, 0), true);
    assert.equal(acceptAfter(1_000, 0), false);
  } finally {
    clock.uninstall();
  }
});

test('a coldness that is told a little longer each time is reported in the end', () => {
  const clock = fakeTimers.install({toFake: ['performance']});
  try {
    const registry = new ServerRegistry(TIMEOUTS, () => true);
    registry.accept(buildRegistration({slowStartMs: 3_000}));
    let changes = 0;
    let slowStartMs = 3_000;
    for (let sequence = 2; sequence < 11; sequence += 1) {
      clock.tick(200);
      slowStartMs -= 190;
      const registration = buildRegistration({sequence, slowStartMs});
      if (registry.accept(registration)) changes += 1;
    }
    assert.equal(changes, 3);
  } finally {
    clock.uninstall();
  }
});

test('a coldness of servers without a warm-up is not reported', () => {
  const registry = new ServerRegistry(TIMEOUTS);
  registry.accept(buildRegistration({sequence: 1}));
  const registration = buildRegistration({sequence: 2, slowStartMs: 3_000});
  assert.equal(registry.accept(registration), false);
});

test('the age of the directory is told where servers are known to register in time', () => {
  assert.equal(new ServerRegistry(TIMEOUTS).describeAge(), undefined);
  const clock = fakeTimers.install({toFake: ['performance']});
  try {
    const registry = new ServerRegistry({...TIMEOUTS, fillMs: 1_200});
    clock.tick(300);
    assert.deepEqual(registry.describeAge(), {ageMs: 300, fillMs: 1_200});
  } finally {
    clock.uninstall();
  }
});
