import assert from 'node:assert/strict';
import {test} from 'node:test';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {sampleServers} from '../lib/forwarding/sampleServers.js';
import {ForwardPolicy, scoreServer} from '../lib/forwarding/scoreServer.js';

/*
 * Replays the load of a large fleet: many entries place requests on engines by reports of load that
 * are up to 200 ms old and the same for all.
 */

const ENTRIES = 195;
const SERVERS = 69;
const DATA_CENTRES = 5;
const SLOTS = 12;
const SENDS_PER_MS = 0.5;
const RUN_MS = 900;
const REPORT_INTERVAL_MS = 200;
const DURATION_MS = 20_000;
const RANDOM_RANGE = 1_000_000;

interface Result {
  /** Requests at the chosen server when a request is placed: the 95th percentile. */
  readonly busyP95: number;
  readonly nearShare: number;
}

/** Places requests by a policy and returns how busy the chosen servers were. */
function simulateStaleLoad(policy: ForwardPolicy, seed: number): Result {
  const generator = xoroshiro128plus(seed);
  const generateShare = () =>
    unsafeUniformIntDistribution(0, RANDOM_RANGE - 1, generator) / RANDOM_RANGE;
  const servers = Array.from({length: SERVERS}, (unused, index) => ({
    index,
    dataCentre: index % DATA_CENTRES,
  }));
  const load = new Array<number>(SERVERS).fill(0);
  let reported = [...load];
  const own = Array.from({length: ENTRIES}, () => new Map<number, number>());
  const ends: Array<{at: number; server: number; entry: number}> = [];
  const seen: number[] = [];
  let near = 0;
  let due = 0;
  for (let now = 0; now < DURATION_MS; now += 1) {
    while (ends[0] && ends[0].at <= now) {
      const {server, entry} = ends.shift()!;
      load[server]! -= 1;
      own[entry]!.set(server, (own[entry]!.get(server) ?? 1) - 1);
    }
    if (now % REPORT_INTERVAL_MS === 0) reported = [...load];
    for (due += SENDS_PER_MS; due >= 1; due -= 1) {
      const entry = Math.floor(generateShare() * ENTRIES);
      const home = entry % DATA_CENTRES;
      const isNear = (server: {index: number; dataCentre: number}) =>
        server.dataCentre === home;
      const sample = sampleServers(servers, {
        policy,
        entries: ENTRIES,
        isNear,
        random: generateShare,
      });
      const scored = sample.map(server => ({
        server,
        score:
          generateShare() +
          scoreServer(policy, {
            load:
              reported[server.index]! + (own[entry]!.get(server.index) ?? 0),
            slots: SLOTS,
            pendingMs: 0,
            ownMs: 50,
            isSameDataCentre: isNear(server),
            isSilent: false,
            slowness: 1,
          }),
      }));
      scored.sort((left, right) => left.score - right.score);
      const {server} = scored[0]!;
      if (isNear(server)) near += 1;
      seen.push(load[server.index]!);
      load[server.index]! += 1;
      const mine = own[entry]!;
      mine.set(server.index, (mine.get(server.index) ?? 0) + 1);
      ends.push({at: now + RUN_MS, server: server.index, entry});
    }
  }
  seen.sort((left, right) => left - right);
  return {
    busyP95: seen[Math.floor(seen.length * 0.95)]!,
    nearShare: near / seen.length,
  };
}

for (const seed of [1, 2, 3]) {
  test(`stale reports of load draw no herd to the server that seemed idle (seed ${seed})`, () => {
    const {busyP95} = simulateStaleLoad('sampled', seed);
    assert.ok(busyP95 <= SLOTS, `${busyP95} requests`);
  });

  test(`most requests stay in their data centre (seed ${seed})`, () => {
    const {nearShare} = simulateStaleLoad('sampled', seed);
    assert.ok(nearShare > 0.6, `${nearShare}`);
  });
}

test('the policy that compares all servers overloads the one that seemed idle', () => {
  assert.ok(simulateStaleLoad('estimated', 1).busyP95 > SLOTS);
});

test('a sample of many entries contains each server at most once, that of a few entries all', () => {
  const servers = [1, 2, 3, 4, 5, 6, 7, 8];
  const buildSample = (isNear: (server: number) => boolean, entries: number) =>
    sampleServers(servers, {policy: 'sampled', entries, isNear});
  for (const isNear of [
    (server: number) => server < 3,
    () => false,
    () => true,
  ]) {
    for (let round = 0; round < 100; round += 1) {
      const sample = buildSample(isNear, 100);
      assert.equal(new Set(sample).size, 3);
    }
    assert.deepEqual(buildSample(isNear, 8), servers);
  }
  assert.equal(buildSample(() => true, 5_000).length, 3);
});
