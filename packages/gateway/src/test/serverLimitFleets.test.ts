import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {SimulatedLimitFleet} from './SimulatedLimitFleet.js';

/** Time after which all entries know a limit, in milliseconds. */
const TOUCH_MS = 3_000;
const WINDOW_MS = 4_000;
const LIMIT_PER_SECOND = 2.7;
/** The least part of a limit that is used where there is demand. */
const MIN_USED = 0.7;

let clock: Clock;
beforeEach(() => {
  clock = FakeTimers.install({
    toFake: ['performance', 'setTimeout', 'clearTimeout'],
  });
});
afterEach(() => clock.uninstall());

function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}

function createFleet(entries: number, lossRate = 0, seed = 1) {
  const fleet = new SimulatedLimitFleet({
    clock,
    entries,
    controls: 5,
    digestMs: entries > 60 ? 100 : 400,
    random: createRandom(seed),
    lossRate,
  });
  fleet.requestsPerSecond = Math.max(60, entries * 2);
  return fleet;
}

function assertLimited(
  fleet: SimulatedLimitFleet,
  after: number,
  perSecond = LIMIT_PER_SECOND,
) {
  const most = fleet.countMost(WINDOW_MS, after);
  const allowed = perSecond * (WINDOW_MS / 1_000) * 1.5 + 5;
  assert.ok(most <= allowed, `${most} in 4 s, ${allowed} allowed`);
}

for (const entries of [7, 60, 195]) {
  test(`a limit holds and is used, ${entries} entries`, () => {
    const fleet = createFleet(entries);
    fleet.run(2_000);
    const namedAt = performance.now();
    fleet.perSecond = LIMIT_PER_SECOND;
    fleet.run(30_000);
    const since = namedAt + TOUCH_MS;
    assertLimited(fleet, since);
    const used = fleet.measureRate(since) / LIMIT_PER_SECOND;
    console.log(
      entries,
      'most',
      fleet.countMost(WINDOW_MS, since),
      'used',
      used.toFixed(2),
    );
    assert.ok(used >= MIN_USED && used <= 1.1, `${used} used`);
  });
}
