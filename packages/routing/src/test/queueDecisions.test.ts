import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import {computeUrgency} from '../lib/forwarding/computeUrgency.js';
import {estimateQueueWait} from '../lib/forwarding/estimateQueueWait.js';
import {FairShares} from '../lib/forwarding/FairShares.js';
import {ReturnSchedule} from '../lib/forwarding/ReturnSchedule.js';
import {
  NO_DEMAND,
  computeOthersDemand,
  sumDemand,
} from '../lib/forwarding/serviceDemand.js';
import {YieldWindows} from '../lib/forwarding/YieldWindows.js';

let clock: ReturnType<typeof fakeTimers.install>;

beforeEach(() => {
  clock = fakeTimers.install({toFake: ['performance']});
});

afterEach(() => {
  clock.uninstall();
});

test('a late request goes behind one a little less urgent, and before one much less urgent', () => {
  const rate = (priority: number, isLate = false, isExcess = false) =>
    computeUrgency({priority, isLate, isExcess, isStarved: false});
  assert.ok(rate(0, true) > rate(1));
  assert.ok(rate(0, true) < rate(2));
  assert.ok(rate(0, false, true) > rate(9, true));
});

test('nothing is refused as long as either estimate says that it can be served', () => {
  const slow = {ahead: 9, placesPerSecond: 1};
  const fast = {ahead: 9, placesPerSecond: 90};
  const unknown = {ahead: 9, placesPerSecond: 0};
  const estimate = (own: typeof slow, pooled: typeof slow) =>
    estimateQueueWait({own, pooled, overtakenFraction: 0});
  assert.equal(estimate(slow, fast), 100);
  assert.equal(estimate(fast, slow), 100);
  assert.equal(estimate(unknown, unknown), undefined);
});

test('an entry that is cut off from control calls no demand excess', () => {
  const shares = new FairShares();
  const run = (ms: number, others: Record<string, number> | undefined) => {
    for (let at = 0; at < ms; at += 100) {
      shares.recordRequest('large', 1);
      shares.recordRequest('small', 0.2);
      shares.setOthers(others ?? {});
      if (others) shares.updateUsual();
      clock.tick(100);
    }
  };
  run(30_000, {large: 1_000, small: 200});
  run(120_000, undefined);
  assert.equal(shares.computeAllowed('large'), 1);
  // Nor once it hears of the others again.
  run(1_000, {large: 1_000, small: 200});
  assert.equal(shares.computeAllowed('large'), 1);
  run(1_000, {large: 7_000, small: 200});
  assert.ok(shares.computeAllowed('large') < 0.7);
  assert.equal(shares.computeAllowed('small'), 1);
});

test('an entry that never heard of the demand elsewhere calls none excess', () => {
  const shares = new FairShares();
  for (let at = 0; at < 60_000; at += 100) {
    shares.recordRequest('large', 1);
    clock.tick(100);
  }
  assert.equal(shares.computeAllowed('large'), 1);
  // Nor does it at once when it begins to hear of it.
  shares.updateUsual();
  shares.setOthers({large: 1_000});
  assert.equal(shares.computeAllowed('large'), 1);
});

for (const [label, others] of [
  ['alone', {}],
  ['beside others', {other: 1, another: 1}],
] as const) {
  test(`a few requests, ${label}, are no excess`, () => {
    const shares = new FairShares();
    let excess = 0;
    for (let at = 0; at < 300_000; at += 100) {
      shares.setOthers(others);
      shares.updateUsual();
      if (at % 3_000 === 0) {
        shares.recordRequest('light', 1);
        if (shares.computeAllowed('light') < 1) excess += 1;
      }
      clock.tick(100);
    }
    assert.equal(excess, 0);
  });
}

test('callers refused together return apart, and within the time that they heed', () => {
  const returns = new ReturnSchedule(() => 0.5);
  const delays = Array.from({length: 40}, () =>
    returns.reserveDelay({waitMs: 500, leftMs: 9_000, placesPerSecond: 20}),
  );
  // A quarter of 20 places a second.
  assert.deepEqual(delays.slice(0, 3), [600, 800, 1_000]);
  assert.ok(delays.every(delay => delay > 0 && delay <= 3_000));
});

test('callers whose time is up return apart too', () => {
  const returns = new ReturnSchedule();
  for (const leftMs of [0, 40, -500]) {
    const reserve = () =>
      returns.reserveDelay({waitMs: 500, leftMs, placesPerSecond: 20});
    const delays = Array.from({length: 40}, reserve);
    assert.ok(Math.min(...delays) >= 100, `${delays}`);
    assert.ok(Math.max(...delays) <= 250, `${delays}`);
    assert.equal(new Set(delays).size, delays.length);
  }
});

test('free places are left to more urgent requests elsewhere half of the time at most', () => {
  const windows = new YieldWindows(() => 0);
  const input = {urgencyClass: 2, othersWaiting: [0, 5], placesPerSecond: 100};
  let yielded = 0;
  for (let ms = 0; ms < 3_000; ms += 10) {
    if (windows.checkYield(input)) yielded += 10;
    clock.tick(10);
  }
  assert.ok(yielded > 0 && yielded <= 1_500, `${yielded} ms`);
  const less = {...input, othersWaiting: [0, 0, 5]};
  assert.equal(new YieldWindows(() => 0).checkYield(less), false);
});

test('what entries tell of their demand sums up, without the own part, and is bounded', () => {
  const own = {
    ...NO_DEMAND,
    placesPerSecond: 2,
    waiting: [1],
    customers: {clinic: 5},
  };
  const other = {
    placesPerSecond: 3,
    waiting: [0, 4],
    customers: {clinic: 1, shop: 2},
    outcomes: {drafts: [4, 2] as const},
  };
  const total = sumDemand([{drafts: own}, {drafts: other}, {}]);
  assert.deepEqual(total.drafts?.waiting, [1, 4]);
  assert.deepEqual(computeOthersDemand(total, {drafts: own}).drafts, other);
  const many = Object.fromEntries(
    Array.from({length: 500}, (_, index) => [`c${index}`, index]),
  );
  const bounded = sumDemand([{drafts: {...own, customers: many}}]);
  assert.equal(Object.keys(bounded.drafts?.customers ?? {}).length, 64);
});
