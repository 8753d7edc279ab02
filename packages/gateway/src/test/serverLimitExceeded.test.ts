import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {LimitFleet, LimitFleetOptions} from './LimitFleet.js';
import {stopStarted, track} from './startGateway.js';

afterEach(stopStarted);

/** Time after which all entries know a limit, in milliseconds. */
const TOUCH_MS = 3_000;
const WINDOW_MS = 4_000;

/** Returns the number of requests that a limit allows in four seconds. */
function computeAllowed(perSecond: number): number {
  return perSecond * (WINDOW_MS / 1_000) * 1.5 + 5;
}

async function startFleet(options: LimitFleetOptions): Promise<LimitFleet> {
  const fleet = track(new LimitFleet(options));
  await fleet.start();
  return fleet;
}

for (const entries of [1, 7]) {
  test(`servers get no more requests than the limits that they name, ${entries} entries`, async () => {
    const limits = ['2.5', '3', undefined, undefined, undefined, undefined];
    const fleet = await startFleet({entries, limits});
    const startedAt = performance.now();
    await fleet.sendRequests(15, TOUCH_MS + WINDOW_MS + 500);
    for (const [index, perSecond] of [2.5, 3].entries()) {
      const most = fleet.countMost(index, WINDOW_MS, startedAt + TOUCH_MS);
      assert.ok(most <= computeAllowed(perSecond), `s${index} got ${most}`);
    }
    assert.ok(fleet.results.every(({status}) => status === 200));
  });
}
