import assert from 'node:assert/strict';
import {afterEach, beforeEach, mock, test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {createRandom} from './createRandom.js';
import {SimulatedColdFleet} from './SimulatedColdFleet.js';

const ENTRIES = 61;
const COLD_MS = 7_000;
/** Time after which all entries know that servers are cold, in milliseconds. */
const TOLD_MS = 40;
/** What a cold server bears in a second, and the most that it may get. */
const PER_SECOND = 10;
const MAX_IN_SECOND = 20;
/** The least of what cold servers bear that they get while requests wait. */
const MIN_USED = 0.85;

let clock: Clock;
beforeEach(() => {
  mock.method(Math, 'random', createRandom(7));
  clock = FakeTimers.install({
    now: 1_000_000,
    toFake: ['performance', 'Date', 'setTimeout', 'clearTimeout'],
  });
});
afterEach(() => {
  clock.uninstall();
  mock.restoreAll();
});

/** Builds a fleet that has been at work for a while. */
function startFleet(servers: number, requestsPerSecond: number, seed = 1) {
  const random = createRandom(seed);
  const fleet = new SimulatedColdFleet({
    clock,
    entries: ENTRIES,
    controls: 5,
    servers,
    random,
  });
  fleet.requestsPerSecond = requestsPerSecond;
  fleet.run(2_000);
  return fleet;
}

function assertBound(fleet: SimulatedColdFleet, cold: number, after: number) {
  const most = fleet.countMost(cold, after);
  assert.ok(most <= MAX_IN_SECOND, `${most} in a second`);
  return most;
}

for (const servers of [20, 50]) {
  test(`${servers} servers that are cold together fill up as fast as they bear`, () => {
    const fleet = startFleet(servers, 0);
    const since = performance.now() + TOLD_MS;
    fleet.startColdness(servers, COLD_MS);
    fleet.run(TOLD_MS);
    fleet.requestsPerSecond = servers * 20;
    fleet.run(COLD_MS - 2 * TOLD_MS);
    const most = assertBound(fleet, servers, since);
    const used = fleet.measureRate(servers, since) / PER_SECOND;
    console.log(servers, 'most', most, 'used', used.toFixed(2));
    assert.ok(used >= MIN_USED, `${used} used`);
  });
}

test('servers that become cold at work are obeyed as soon as they say so', () => {
  const fleet = startFleet(40, 1_200);
  const since = performance.now() + TOLD_MS;
  fleet.startColdness(20, COLD_MS);
  fleet.run(COLD_MS - TOLD_MS);
  const most = assertBound(fleet, 20, since);
  const used = fleet.measureRate(20, since) / PER_SECOND;
  console.log('beside warm ones', most, used.toFixed(2));
  const warm = fleet.measureRate(40, since) * 2 - fleet.measureRate(20, since);
  assert.ok(warm > 2 * PER_SECOND, `${warm} a second at the others`);
});

/** What goes wrong while servers are cold. */
const TROUBLES: Readonly<Record<string, (fleet: SimulatedColdFleet) => void>> =
  {
    'a third of the messages lost': fleet => {
      fleet.lossRate = 0.33;
      fleet.run(6_000);
    },
    'control instances that restart in a series': fleet => {
      for (let index = 0; index < 12; index += 1) {
        fleet.restartControl(index % 5);
        fleet.run(500);
      }
    },
    'all control instances restarted again and again': fleet => {
      for (let count = 0; count < 6; count += 1) {
        for (let index = 0; index < 5; index += 1) fleet.restartControl(index);
        fleet.run(1_000);
      }
    },
    'entries that restart in a series': fleet => {
      for (let index = 0; index < ENTRIES; index += 1) {
        fleet.restartEntry(index);
        fleet.run(100);
      }
    },
    'half of the entries cut off from control': fleet => {
      for (const entry of fleet.entries.slice(0, ENTRIES / 2)) {
        entry.isLinked = false;
      }
      fleet.run(3_000);
      for (const entry of fleet.entries) entry.isLinked = true;
      fleet.run(3_000);
    },
    'entries that freeze with their permits and wake together': fleet => {
      for (const frozenMs of [100, 200, 400, 1_500]) {
        const frozen = fleet.entries.slice(0, ENTRIES / 2);
        for (const entry of frozen) entry.isRunning = false;
        fleet.run(frozenMs);
        for (const entry of frozen) entry.isRunning = true;
        fleet.run(800);
      }
    },
  };

for (const [name, trouble] of Object.entries(TROUBLES)) {
  for (const seed of [1, 2]) {
    test(`the bound of cold servers holds with ${name}, seed ${seed}`, () => {
      const servers = 20;
      const fleet = startFleet(servers, servers * 20, seed);
      const since = performance.now() + TOLD_MS;
      fleet.startColdness(servers, COLD_MS);
      trouble(fleet);
      const most = assertBound(fleet, servers, since);
      const rate = fleet.measureRate(servers, since);
      console.log(name, seed, 'most', most, 'a second', rate.toFixed(1));
      assert.ok(rate > PER_SECOND / 10, `${rate} a second`);
    });
  }
}

test('the bound of cold servers holds when all entries return together', () => {
  const servers = 5;
  const fleet = startFleet(servers, 0);
  // Without entries, digests are rare.
  fleet.digestMs = 400;
  for (const entry of fleet.entries) entry.isLinked = false;
  fleet.run(40_000);
  for (const entry of fleet.entries) entry.isLinked = true;
  const since = performance.now() + TOLD_MS;
  fleet.startColdness(servers, COLD_MS);
  fleet.run(TOLD_MS);
  fleet.requestsPerSecond = 1_500;
  fleet.run(COLD_MS - TOLD_MS);
  const most = assertBound(fleet, servers, since);
  const used = fleet.measureRate(servers, since) / PER_SECOND;
  console.log('returned together', most, used.toFixed(2));
  assert.ok(used >= 0.5, `${used} used`);
});
