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

/** Asserts that a server gets no more than a limit allows since a moment. */
function assertLimited(
  fleet: LimitFleet,
  limits: ReadonlyArray<string | undefined>,
  after: number,
): void {
  for (const [index, limit] of limits.entries()) {
    if (limit === undefined) continue;
    const most = fleet.countMost(index, WINDOW_MS, after);
    assert.ok(most <= computeAllowed(Number(limit)), `s${index} got ${most}`);
  }
}

for (const entries of [1, 7]) {
  test(`servers get no more requests than the limits that they name, ${entries} entries`, async () => {
    const limits = ['2.5', '3', undefined, undefined, undefined, undefined];
    const fleet = await startFleet({entries, limits});
    const startedAt = performance.now();
    await fleet.sendRequests(15, TOUCH_MS + WINDOW_MS + 500);
    assertLimited(fleet, limits, startedAt + TOUCH_MS);
    assert.ok(fleet.results.every(({status}) => status === 200));
  });
}

test('repeats of requests keep within a limit', async () => {
  const limits = ['2.5', undefined, undefined, undefined];
  const fleet = await startFleet({entries: 4, limits, failing: [1, 2]});
  const startedAt = performance.now();
  await fleet.sendRequests(20, TOUCH_MS + WINDOW_MS);
  assertLimited(fleet, limits, startedAt + TOUCH_MS);
});

test('what exceeds the limits of all servers is refused soon, and what they take is served', async () => {
  const limits = ['2', '2', '2', '2'];
  const fleet = await startFleet({entries: 7, limits});
  const startedAt = performance.now();
  await fleet.sendRequests(20, TOUCH_MS);
  const known = fleet.results.length;
  await fleet.sendRequests(20, WINDOW_MS);
  assertLimited(fleet, limits, startedAt + TOUCH_MS);
  const later = fleet.results.slice(known);
  const served = later.filter(({status}) => status === 200);
  assert.ok(served.length >= 8 * 4 * 0.7, `${served.length} served`);
  const refused = later.filter(({status}) => status === 503);
  assert.equal(served.length + refused.length, later.length);
  for (const {text} of refused) {
    assert.match(text, /"ran":"no"/);
    assert.match(text, /Retry-After: \d/);
  }
  // The first in the queue may wait for a permit; what is certain to exceed the limits does not.
  const immediate = refused.filter(({ms}) => ms < 50);
  assert.ok(
    immediate.length > refused.length / 2,
    `${immediate.length} at once`,
  );
});

test('a server that lifts its limit gets its share again, and no wave', async () => {
  const limits = ['2', undefined, undefined, undefined];
  const fleet = await startFleet({entries: 4, limits});
  await fleet.sendRequests(15, TOUCH_MS);
  fleet.limits[0] = undefined;
  const liftedAt = performance.now();
  await fleet.sendRequests(15, 4_000);
  const counts = fleet.arrivals.map(
    times => times.filter(at => at > liftedAt + 2_000).length,
  );
  const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
  assert.ok((counts[0] ?? 0) > mean / 2, `${counts.join(' ')}`);
  assert.ok(fleet.countMost(0, 500, liftedAt) <= 2 * (500 / 15 / 4) + 5);
});

test('a weak answer is delivered if no server can take the request for a larger model', async () => {
  const limits = ['2', '2', '2', '2'];
  const models = ['small', 'large'];
  const fleet = await startFleet({entries: 4, limits, models});
  await fleet.sendRequests(20, TOUCH_MS);
  const known = fleet.results.length;
  await fleet.sendRequests(20, WINDOW_MS);
  const later = fleet.results.slice(known);
  const dropped = later.filter(({status}) => status === 502);
  assert.equal(dropped.length, 0, `${dropped.length} of ${later.length}`);
  assert.ok(later.some(({status}) => status === 200));
});
