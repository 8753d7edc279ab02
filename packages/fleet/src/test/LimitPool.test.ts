import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {LimitPool} from '../lib/LimitPool.js';

const KEY = 's1 1';

let clock: Clock;
beforeEach(() => {
  clock = FakeTimers.install({toFake: ['performance']});
  clock.tick(100_000);
});
afterEach(() => clock.uninstall());

function countPermits(pool: LimitPool, seconds: number, wanted = 9): number {
  let total = 0;
  for (let step = 0; step < seconds * 10; step += 1) {
    clock.tick(100);
    total += pool.exchange({wanted: {[KEY]: wanted}}).permits?.[KEY] ?? 0;
  }
  return total;
}

test('an instance grants its part of a limit', () => {
  const pool = new LimitPool(() => 0.5);
  pool.exchange({limits: {[KEY]: [4, 0]}});
  const permits = countPermits(pool, 10);
  assert.ok(permits >= 19 && permits <= 21, `${permits} permits`);
});

test('permits that nobody wants are not saved up', () => {
  const pool = new LimitPool(() => 1);
  pool.exchange({limits: {[KEY]: [2, 0]}});
  countPermits(pool, 1);
  clock.tick(30_000);
  const {permits} = pool.exchange({wanted: {[KEY]: 50}});
  assert.equal(permits?.[KEY], 1);
});

test('an instance that hears too few others grants nothing', () => {
  const pool = new LimitPool(() => 0);
  pool.exchange({limits: {[KEY]: [4, 0]}});
  assert.equal(countPermits(pool, 5), 0);
});

test('a server without a limit needs no permits', () => {
  const pool = new LimitPool(() => 1);
  assert.deepEqual(pool.exchange({wanted: {[KEY]: 1}}), {permits: {}});
});

test('the newest of what the entries of several instances heard is told', () => {
  const one = new LimitPool(() => 0.5);
  const other = new LimitPool(() => 0.5);
  one.exchange({limits: {[KEY]: [4, 100]}});
  other.acceptDigest(one.describeDigest());
  assert.deepEqual(other.buildTable(), {[KEY]: [4, 100]});
  other.exchange({limits: {[KEY]: [null, 20]}});
  one.acceptDigest(other.describeDigest());
  assert.deepEqual(one.buildTable(), {[KEY]: [null, 20]});
});

test('what another instance has passed on is not passed on again', () => {
  const pool = new LimitPool(() => 1);
  pool.acceptDigest({limits: {[KEY]: [4, 100]}});
  assert.deepEqual(pool.describeDigest(), {});
});

test('hearsay counts only where nothing is known', () => {
  const pool = new LimitPool(() => 1);
  pool.exchange({hearsay: {[KEY]: [4, 5_000]}});
  assert.deepEqual(pool.buildTable(), {[KEY]: [4, 5_000]});
  pool.exchange({hearsay: {[KEY]: [9, 10]}});
  assert.deepEqual(pool.buildTable(), {[KEY]: [4, 5_000]});
});

test('that a limit has ended is told for a while', () => {
  const pool = new LimitPool(() => 1);
  pool.exchange({limits: {[KEY]: [null, 0]}});
  clock.tick(9_000);
  assert.deepEqual(pool.buildTable(), {[KEY]: [null, 9_000]});
  clock.tick(2_000);
  assert.deepEqual(pool.buildTable(), {});
});

test('a report of thousands of incarnations is bounded', () => {
  const pool = new LimitPool(() => 1);
  const rows = Array.from(
    {length: 5_000},
    (_, index) => [`s${index} 1`, [1, 0]] as const,
  );
  pool.exchange({
    limits: Object.fromEntries(rows),
    wanted: Object.fromEntries(rows.map(([key]) => [key, 1])),
  });
  assert.equal(Object.keys(pool.buildTable()).length, 2_000);
});
