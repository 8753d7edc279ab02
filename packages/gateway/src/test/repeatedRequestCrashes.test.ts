import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {RepeatFleet, RepeatFleetOptions} from './RepeatFleet.js';
import {stopStarted, track} from './startGateway.js';

afterEach(stopStarted);

/** Time after the third crash from which a request is no longer sent on, in milliseconds. */
const TOUCH_MS = 3_000;
/** Number of crashes after which the request must be known. */
const CRASHES = 3;
/** Number of times that the request may still reach a server after that time. */
const MAX_ARRIVALS = 3;
/** Share of the sound requests that are served once the request is known. */
const SOUND_SHARE = 0.97;
/** Duration of the traffic, in milliseconds. */
const DURATION_MS = 8_000;

/** Fleets, by what is special about them. */
const FLEETS: Readonly<Record<string, RepeatFleetOptions>> = {
  'a safe request, three servers': {
    kind: 'safe',
    crashing: 1,
    entries: 4,
    servers: 3,
  },
  'two safe requests': {kind: 'safe', crashing: 2, entries: 7, servers: 6},
  'two safe requests beside popular ones': {
    kind: 'safe',
    crashing: 2,
    entries: 7,
    servers: 6,
    soundContents: 40,
  },
  'two unsafe requests': {kind: 'unsafe', crashing: 2, entries: 7, servers: 6},
  'two prompts whose segments others share': {
    kind: 'prompt',
    crashing: 2,
    entries: 7,
    servers: 6,
  },
  'two safe requests, entries that lose a third of their messages': {
    kind: 'safe',
    crashing: 2,
    entries: 4,
    servers: 6,
    lossRate: 0.33,
  },
  'two safe requests, thirty entries and twelve servers': {
    kind: 'safe',
    crashing: 2,
    entries: 30,
    servers: 12,
    controls: 5,
  },
  'a safe request, an entry that restarts all the time': {
    kind: 'safe',
    crashing: 1,
    entries: 4,
    servers: 6,
    restartMs: 400,
  },
};

for (const [name, options] of Object.entries(FLEETS)) {
  test(`a request that crashes servers is no longer sent to them, ${name}`, async () => {
    const fleet = track(new RepeatFleet(options));
    await fleet.start();
    const startedAt = performance.now();
    await fleet.sendTraffic(DURATION_MS);
    const {combinations} = fleet.controls.state;
    const verdicts = `in quarantine: ${combinations.join(' ')}`;
    let knownAt = 0;
    for (const cause of fleet.causes) {
      const crashes = fleet.listCrashTimes(cause);
      // One that was on the servers that another crashed is known after fewer of its own.
      const third = crashes.slice(0, CRASHES).at(-1) ?? startedAt;
      knownAt = Math.max(knownAt, third + TOUCH_MS);
      const arrivals = fleet.countArrivals(cause, third + TOUCH_MS);
      assert.ok(
        arrivals <= MAX_ARRIVALS,
        `${cause}: ${arrivals} late arrivals, ${crashes.length} crashes, ${verdicts}`,
      );
    }
    const share = fleet.measureSoundShare(knownAt);
    assert.ok(share >= SOUND_SHARE, `share ${share}, ${verdicts}`);
    assert.equal(combinations.length, fleet.causes.length, verdicts);
  });
}

test('servers that crash at random put no request into quarantine that is sent again', async () => {
  const fleet = track(
    new RepeatFleet({
      kind: 'safe',
      crashing: 0,
      entries: 4,
      servers: 6,
      soundContents: 40,
    }),
  );
  await fleet.start();
  const traffic = fleet.sendTraffic(DURATION_MS);
  for (let index = 0; index < 14; index += 1) {
    await sleep(500);
    fleet.restartServer(index);
    if (index % 4 === 0) fleet.restartServer(index + 1);
  }
  await traffic;
  assert.deepEqual(fleet.controls.state.combinations, []);
  const share = fleet.measureSoundShare(0);
  assert.ok(share >= 0.95, `share ${share}`);
});
