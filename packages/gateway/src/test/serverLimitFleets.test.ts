import assert from 'node:assert/strict';
import {afterEach, beforeEach, mock, test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {createRandom} from './createRandom.js';
import {SimulatedLimitFleet} from './SimulatedLimitFleet.js';

/** Time after which all entries know a limit, in milliseconds. */
const TOUCH_MS = 3_000;
const WINDOW_MS = 4_000;
const LIMIT_PER_SECOND = 2.7;
/** The least part of a limit that is used where there is demand. */
const MIN_USED = 0.7;

let clock: Clock;
beforeEach(() => {
  mock.method(Math, 'random', createRandom(7));
  clock = FakeTimers.install({
    toFake: ['performance', 'setTimeout', 'clearTimeout'],
  });
});
afterEach(() => {
  clock.uninstall();
  mock.restoreAll();
});

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

/** What goes wrong while a limit is in force. */
const TROUBLES: Readonly<Record<string, (fleet: SimulatedLimitFleet) => void>> =
  {
    'entries that restart in a series': fleet => {
      for (let index = 0; index < 30; index += 1) {
        fleet.restartEntry(index % fleet.entries.length);
        fleet.run(400);
      }
    },
    'entries that freeze and wake together': fleet => {
      for (const entry of fleet.entries) entry.isRunning = false;
      fleet.run(6_000);
      for (const entry of fleet.entries) entry.isRunning = true;
      fleet.run(6_000);
    },
    'entries that are added by dozens': fleet => {
      for (let count = 0; count < 24; count += 1) fleet.addEntry();
      fleet.run(8_000);
    },
    'control instances that restart again and again': fleet => {
      for (let count = 0; count < 10; count += 1) {
        fleet.restartControls();
        fleet.run(900);
      }
    },
    'control instances that are out of reach for a while': fleet => {
      fleet.isControlReachable = false;
      fleet.run(12_000);
      fleet.isControlReachable = true;
      fleet.run(6_000);
    },
    'a crest after a quiet time': fleet => {
      const usual = fleet.requestsPerSecond;
      fleet.requestsPerSecond = 0;
      fleet.run(15_000);
      fleet.requestsPerSecond = usual * 5;
      fleet.run(6_000);
    },
  };

for (const [name, trouble] of Object.entries(TROUBLES)) {
  for (const entries of [7, 195]) {
    test(`a limit holds with ${name}, ${entries} entries`, () => {
      const fleet = createFleet(entries);
      fleet.perSecond = LIMIT_PER_SECOND;
      fleet.run(TOUCH_MS);
      const since = performance.now();
      trouble(fleet);
      assertLimited(fleet, since);
      assert.ok(fleet.measureRate(since) > 0, 'the server got nothing');
    });
  }
}

for (const seed of [1, 2, 3]) {
  test(`a limit holds while a third of the messages are lost, seed ${seed}`, () => {
    const fleet = createFleet(60, 0.33, seed);
    fleet.perSecond = LIMIT_PER_SECOND;
    fleet.run(20_000);
    assertLimited(fleet, TOUCH_MS);
  });
}

test('half of a limit or less is used without control instances, but some of it', () => {
  const fleet = createFleet(60);
  fleet.perSecond = LIMIT_PER_SECOND;
  fleet.run(TOUCH_MS);
  fleet.isControlReachable = false;
  fleet.run(2_000);
  const since = performance.now();
  fleet.run(60_000);
  const used = fleet.measureRate(since) / LIMIT_PER_SECOND;
  assert.ok(used > 0.2 && used <= 0.6, `${used} used`);
});

test('a limit that is lowered each second holds', () => {
  const fleet = createFleet(60);
  fleet.perSecond = 6;
  fleet.run(TOUCH_MS);
  for (; fleet.perSecond > 1; fleet.perSecond -= 1) {
    const since = performance.now();
    const perSecond = fleet.perSecond;
    fleet.run(1_000);
    const count = fleet.countMost(1_000, since);
    assert.ok(count <= (perSecond + 1) * 1.5 + 5, `${count} at ${perSecond}`);
  }
});

test('a server that takes almost nothing still hears from the entries', () => {
  const fleet = createFleet(60);
  fleet.perSecond = 0;
  fleet.run(TOUCH_MS);
  const since = performance.now();
  fleet.run(60_000);
  const count = fleet.arrivals.filter(at => at >= since).length;
  assert.ok(count >= 2 && count <= 12, `${count} requests`);
});

for (const entries of [7, 195]) {
  test(`a limit that is lifted ends soon at all of ${entries} entries`, () => {
    const fleet = createFleet(entries);
    fleet.perSecond = LIMIT_PER_SECOND;
    fleet.run(8_000);
    fleet.perSecond = undefined;
    fleet.run(2_500);
    for (const {limits} of fleet.entries) {
      assert.equal(limits.isLimited({id: 's1', startedAtMs: 1}), false);
    }
  });
}

test('an entry that joins knows a limit before its first request', () => {
  const fleet = createFleet(7);
  fleet.perSecond = LIMIT_PER_SECOND;
  fleet.run(TOUCH_MS);
  fleet.addEntry();
  fleet.requestsPerSecond = 0;
  fleet.run(300);
  const joined = fleet.entries.at(-1);
  assert.equal(joined?.limits.isLimited({id: 's1', startedAtMs: 1}), true);
});
