import assert from 'node:assert/strict';
import {afterEach, beforeEach, mock, test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {createRandom} from './createRandom.js';
import {SimulatedColdFleet} from './SimulatedColdFleet.js';

const ENTRIES = 61;
/** Time for which servers stay cold, in milliseconds. */
export const COLD_MS = 7_000;
/** Time after which all entries know that servers are cold, in milliseconds. */
export const TOLD_MS = 40;
/** What a cold server bears in a second. */
export const PER_SECOND = 10;
const MAX_IN_SECOND = 20;

let clock: Clock;

/** Pauses the clock, and draws from a seed, in each test of a file. */
export function installSimulatedClock(): void {
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
}

/** Builds a fleet that has been at work for a while. */
export function startFleet(
  servers: number,
  requestsPerSecond: number,
  seed = 1,
) {
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

/** Asserts that no cold server got more in a second than it bears. */
export function assertBound(
  fleet: SimulatedColdFleet,
  cold: number,
  after: number,
) {
  const most = fleet.countMost(cold, after);
  assert.ok(most <= MAX_IN_SECOND, `${most} in a second`);
  return most;
}

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

/** Plays each trouble from a seed. */
export function addTroubleTests(seed: number): void {
  for (const [name, trouble] of Object.entries(TROUBLES)) {
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
