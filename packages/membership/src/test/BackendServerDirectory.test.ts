import assert from 'node:assert/strict';
import {test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import {Announcement} from '@sycamorehead/schema';
import {BackendServerDirectory} from '../lib/BackendServerDirectory.js';

function announce(over: Partial<Announcement>): Announcement {
  return {
    id: 'engine-1',
    address: 'http://127.0.0.1:1',
    dataCentre: 'dc-1',
    kind: 'engine',
    generation: 1,
    sequence: 1,
    state: 'ready',
    versions: [{model: 'm', version: 'v1'}],
    slots: 4,
    fencing: 'checked',
    ...over,
  };
}

test('a late announcement never makes a leaving server ready again; a new generation does', () => {
  const directory = new BackendServerDirectory();
  directory.receive(announce({sequence: 5, state: 'leaving'}));
  assert.equal(directory.receive(announce({sequence: 4})), 'stale');
  assert.equal(directory.listReady().length, 0);
  assert.equal(directory.receive(announce({generation: 2})), 'changed');
  assert.equal(directory.listEngines({model: 'm', version: 'v1'}).length, 1);
});

test('a server that stops announcing gets no new work', () => {
  const clock = FakeTimers.install();
  try {
    const directory = new BackendServerDirectory();
    directory.receive(announce({}));
    clock.tick(3_400);
    assert.equal(directory.listReady().length, 1);
    clock.tick(200);
    assert.equal(directory.listReady().length, 0);
  } finally {
    clock.uninstall();
  }
});

test('an untracked server gets no work; a new one is tracked until the next update', () => {
  const directory = new BackendServerDirectory();
  const listIds = () =>
    directory.listReady().map(({announcement}) => announcement.id);
  directory.receive(announce({id: 'a'}));
  directory.receive(announce({id: 'b'}));
  directory.track(new Set(['a']));
  assert.deepEqual(listIds(), ['a']);
  directory.receive(announce({id: 'c'}));
  assert.deepEqual(listIds(), ['a', 'c']);
  directory.track(new Set(['a', 'b']));
  assert.deepEqual(listIds(), ['a', 'b']);
});

test('a full directory rejects unknown servers and evicts departed ones for them', () => {
  const clock = FakeTimers.install();
  try {
    const directory = new BackendServerDirectory();
    for (let index = 0; index < 20_000; index++) {
      directory.receive(announce({id: `s${index}`}));
    }
    assert.equal(directory.receive(announce({id: 'more'})), 'stale');
    clock.tick(9_000);
    for (let index = 1; index < 20_000; index++) {
      directory.markAlive(`s${index}`, undefined);
    }
    clock.tick(2_000);
    assert.deepEqual(directory.expire(), ['s0']);
    assert.equal(directory.receive(announce({id: 'more'})), 'changed');
    assert.equal(directory.describe('s0'), undefined);
  } finally {
    clock.uninstall();
  }
});
