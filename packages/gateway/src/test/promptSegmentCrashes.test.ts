import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {CrashFleet} from './CrashFleet.js';
import {stopStarted, track} from './startGateway.js';

afterEach(stopStarted);

/** Time after the fifth crash from which requests with the segment are no longer sent on. */
const TOUCH_MS = 3_000;
/** Number of crashes after which the segment must be known. */
const CRASHES = 5;
/** Requests with the segment that may still reach servers after that time. */
const MAX_ARRIVALS = 3;

for (const entries of [1, 4]) {
  test(`a prompt segment that crashes servers is no longer sent to them, ${entries} entries`, async () => {
    const fleet = track(new CrashFleet({entries, servers: 6}));
    await fleet.start();
    await Promise.all([
      fleet.sendRequests(false, 25, 8_000),
      fleet.sendRequests(true, 150, 8_000),
    ]);
    const fifth = fleet.crashTimes[CRASHES - 1] ?? Infinity;
    const arrivals = fleet.countCrashingArrivals(fifth + TOUCH_MS);
    assert.ok(arrivals <= MAX_ARRIVALS, `${arrivals} arrivals`);
    const share = fleet.measureSoundShare(fifth + 2 * TOUCH_MS);
    assert.ok(share >= 0.95, `share ${share}`);
  });
}
