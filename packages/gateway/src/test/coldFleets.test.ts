import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  COLD_MS,
  PER_SECOND,
  TOLD_MS,
  assertBound,
  startFleet,
  installSimulatedClock,
} from './coldFleetReplay.js';

/** The least of what cold servers bear that they get while requests wait. */
const MIN_USED = 0.85;

installSimulatedClock();

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
