import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {ColdPermitPool} from '../lib/ColdPermitPool.js';
import {DEFAULT_COLD_BOUND, computeColdRate} from '../lib/computeColdRate.js';

const KEY = 's1 1';

let clock: Clock;
beforeEach(() => {
  clock = FakeTimers.install({toFake: ['performance']});
  clock.tick(100_000);
});
afterEach(() => clock.uninstall());

function buildPool(share: number, perSecond = 10): ColdPermitPool {
  return new ColdPermitPool({
    bound: DEFAULT_COLD_BOUND,
    findWarmup: key =>
      key === KEY ? {durationMs: 3_000, perSecond} : undefined,
    computeShare: () => share,
    countControls: () => 5,
    onGrant: () => {
      // Nothing is counted here.
    },
  });
}

function countPermits(pool: ColdPermitPool, seconds: number): number {
  let total = 0;
  for (let step = 0; step < seconds * 10; step += 1) {
    clock.tick(100);
    const {coldPermits} = pool.exchange({coldWanted: {[KEY]: 9}});
    total += coldPermits?.[KEY] ?? 0;
  }
  return total;
}

for (const perSecond of [1, 2, 10, 100, 1_000]) {
  test(`no second sees more sends than the bound, ${perSecond} a second`, () => {
    const {overshoot, slack} = DEFAULT_COLD_BOUND;
    const rate = computeColdRate(perSecond, DEFAULT_COLD_BOUND, 5);
    // Permits of a second and of the 0.3 s before it, and what each instance has saved up.
    const most = rate * 1.3 + Math.max(5, rate * 0.1);
    assert.ok(most <= perSecond * overshoot + slack, `${most} sends`);
    assert.ok(rate >= perSecond, `${rate} a second`);
  });
}

test('a bound below a request for each instance leaves a small rate', () => {
  const rate = computeColdRate(10, {overshoot: 0.1, slack: 0}, 5);
  assert.equal(rate, 1);
});

test('an instance grants its part', () => {
  const part = computeColdRate(10, DEFAULT_COLD_BOUND, 5) * 0.5 * 10;
  const permits = countPermits(buildPool(0.5), 10);
  assert.ok(permits >= part * 0.9, `${permits} of ${part} permits`);
  assert.ok(permits <= part + 1, `${permits} of ${part} permits`);
});

test('permits that nobody wants are not saved up', () => {
  const pool = buildPool(1);
  countPermits(pool, 1);
  clock.tick(30_000);
  const {coldPermits} = pool.exchange({coldWanted: {[KEY]: 50}});
  assert.equal(coldPermits?.[KEY], 1);
});

test('an instance that hears too few others grants nothing', () => {
  assert.equal(countPermits(buildPool(0), 5), 0);
});

test('an unknown server gets no permits', () => {
  const {coldPermits} = buildPool(1).exchange({coldWanted: {'s9 1': 3}});
  assert.deepEqual(coldPermits, {});
});

test('absurd numbers in a report grant nothing and end nothing', () => {
  const pool = buildPool(1);
  for (const count of [NaN, -3, 1.5, Infinity, 'x']) {
    clock.tick(1_000);
    const coldWanted = {[KEY]: count as number};
    assert.deepEqual(pool.exchange({coldWanted}).coldPermits, {});
  }
  assert.ok(countPermits(pool, 1) > 0);
});

test('a report of an earlier build gets no permits', () => {
  assert.deepEqual(buildPool(1).exchange({}), {});
});
