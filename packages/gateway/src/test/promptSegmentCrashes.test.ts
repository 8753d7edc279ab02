import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  CRASHING_SEGMENT,
  PromptFleet,
  PromptFleetOptions,
} from './PromptFleet.js';
import {stopStarted, track} from './startGateway.js';

afterEach(stopStarted);

/** Time after the fifth crash from which requests with the segment are no longer sent on. */
const TOUCH_MS = 3_000;
/** Time after which an entry has reported a crash in as many exchanges as it does, in milliseconds. */
const REPORTED_MS = 2_500;
/** Number of crashes after which the segment must be known. */
const CRASHES = 5;
/** Time for which sound requests are measured at least, in milliseconds. */
const MEASURED_MS = 1_000;
/** Requests with the segment that may still reach servers after that time. */
const MAX_ARRIVALS = 3;

/** Fleets, by what is special about them. */
const FLEETS: Readonly<Record<string, PromptFleetOptions>> = {
  'one entry': {entries: 1, servers: 6},
  'four entries': {entries: 4, servers: 6},
  'four entries that lose a third of their messages': {
    entries: 4,
    servers: 6,
    lossRate: 0.33,
  },
  'four entries that lose messages, and a segment that it comes with at first':
    {
      entries: 4,
      servers: 6,
      lossRate: 0.33,
      companionMs: 1_500,
    },
  'an entry that restarts all the time': {
    entries: 4,
    servers: 6,
    restartMs: 400,
  },
};

for (const [name, options] of Object.entries(FLEETS)) {
  test(`a prompt segment that crashes servers is no longer sent to them, ${name}`, async () => {
    const fleet = track(new PromptFleet(options));
    await fleet.start();
    const sendRequests = (durationMs: number) =>
      Promise.all([
        fleet.sendRequests(false, 25, durationMs),
        fleet.sendRequests(true, 160, durationMs),
      ]);
    const sentUntil = performance.now() + 8_000;
    await sendRequests(8_000);
    const {crashTimes} = fleet;
    // Fewer may suffice for the verdict.
    const fifth = crashTimes[CRASHES - 1] ?? crashTimes.at(-1);
    assert.ok(fifth !== undefined, 'no crash');
    // The fifth crash may come late on a busy machine.
    const measuredFrom = fifth + 2 * TOUCH_MS;
    if (measuredFrom + MEASURED_MS > sentUntil) {
      const leftMs = measuredFrom - performance.now();
      await sendRequests(Math.max(0, leftMs) + MEASURED_MS);
    }
    const arrivals = fleet.countCrashingArrivals(fifth + TOUCH_MS);
    const {combinations} = fleet.controls.state;
    const verdicts = `in quarantine: ${combinations.join(' ')}`;
    assert.ok(arrivals <= MAX_ARRIVALS, `${arrivals} arrivals, ${verdicts}`);
    const share = fleet.measureSoundShare(measuredFrom);
    assert.ok(share >= 0.95, `share ${share}, ${verdicts}`);
    assert.deepEqual(combinations.at(-1), [CRASHING_SEGMENT]);
    // Segments that were only ever in progress together with it may be named with it first.
    assert.ok(combinations.every(ids => ids.includes(CRASHING_SEGMENT)));
  });
}

test('crashes were forgotten when all control instances had restarted: they count together with later ones', async () => {
  const fleet = track(new PromptFleet({entries: 3, servers: 6}));
  await fleet.start();
  const traffic = fleet.sendRequests(false, 25, 7_000);
  await fleet.sendRequests(true, 300, 550);
  const before = fleet.crashTimes.length;
  await sleep(REPORTED_MS);
  fleet.controls.restart();
  assert.deepEqual(fleet.controls.state.combinations, []);
  await fleet.sendRequests(true, 300, 550);
  await traffic;
  const crashes = `${before} crashes before, ${fleet.crashTimes.length} in all`;
  assert.deepEqual(
    fleet.controls.state.combinations,
    [[CRASHING_SEGMENT]],
    crashes,
  );
});

test('a quarantine that was released came back: crashes from before do not count again after a restart', async () => {
  const fleet = track(new PromptFleet({entries: 3, servers: 6}));
  await fleet.start();
  const traffic = fleet.sendRequests(false, 25, 7_500);
  await fleet.sendRequests(true, 160, 3_000);
  const {combinations} = fleet.controls.state;
  assert.deepEqual(combinations.at(-1), [CRASHING_SEGMENT]);
  fleet.controls.release();
  fleet.controls.restart();
  await traffic;
  assert.deepEqual(fleet.controls.state.combinations, []);
});

test('servers that crash at random put no prompt segment into quarantine', async () => {
  const fleet = track(new PromptFleet({entries: 4, servers: 6}));
  await fleet.start();
  const traffic = fleet.sendRequests(false, 10, 6_000);
  for (let index = 0; index < 14; index += 1) {
    await sleep(400);
    fleet.restartServer(index);
    if (index % 4 === 0) fleet.restartServer(index + 1);
  }
  await traffic;
  assert.ok(fleet.crashes.length >= 14, `${fleet.crashes.length}`);
  assert.deepEqual(fleet.controls.state.combinations, []);
  const share = fleet.measureSoundShare(0);
  assert.ok(share >= 0.95, `share ${share}`);
});

test('an entry that joins later refuses the segment without a crash', async () => {
  const fleet = track(new PromptFleet({entries: 3, servers: 6}));
  await fleet.start();
  await Promise.all([
    fleet.sendRequests(false, 40, 3_000),
    fleet.sendRequests(true, 160, 3_000),
  ]);
  const crashes = fleet.crashTimes.length;
  const entry = await fleet.addEntry();
  for (let count = 0; count < 5; count += 1) {
    await fleet.sendRequest(true, entry);
    await fleet.sendRequest(false, entry);
  }
  assert.equal(fleet.crashTimes.length, crashes);
  const statuses = fleet.results.slice(-10).map(({status}) => status);
  assert.deepEqual(
    statuses,
    Array.from({length: 10}, (_, index) => (index % 2 === 0 ? 503 : 200)),
  );
});
