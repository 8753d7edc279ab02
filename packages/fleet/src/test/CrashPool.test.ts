import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import {CrashPool} from '../lib/CrashPool.js';
import type {CrashEvidenceReport, CrashReport} from '../lib/fleetMessages.js';

let clock: ReturnType<typeof fakeTimers.install>;

beforeEach(() => {
  clock = fakeTimers.install({toFake: ['performance']});
  clock.tick(60_000);
});

afterEach(() => {
  clock.uninstall();
});

/** Longer than the time after which a crash can convict, in milliseconds. */
const SETTLING_MS = 1_100;

function buildPools(count: number): CrashPool[] {
  return Array.from({length: count}, () => new CrashPool(() => []));
}

function buildReport(
  index: number,
  ageMs: number,
  ...segments: string[]
): CrashReport {
  return {incarnation: `i-${index} 17`, ageMs, segments};
}

function listConvicted(pool: CrashPool): string[] {
  return pool.listConvicted().map(({segments}) => segments.join(','));
}

/** Lists the suspects now, lets their crashes settle and returns who is convicted then. */
function waitForVerdict(pool: CrashPool): string[] {
  pool.listSuspects();
  clock.tick(SETTLING_MS);
  return listConvicted(pool);
}

function exchangeDigests(...pools: CrashPool[]): void {
  const digests = pools.map(pool => pool.describeDigest());
  pools.forEach((pool, index) => {
    digests.forEach((digest, other) => {
      if (other !== index) pool.acceptDigest(digest);
    });
  });
}

/** A deterministic random generator with values from 0 to 1. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}

test('three entries with one crash each convict a segment, at whichever instance they report', () => {
  const pools = buildPools(3);
  pools.forEach((pool, index) => {
    pool.exchange({crashes: [buildReport(index, 900 - index * 300, 'bad')]});
  });
  exchangeDigests(...pools);
  clock.tick(60);
  for (const pool of pools) pool.listSuspects();
  clock.tick(SETTLING_MS);
  for (const pool of pools) assert.deepEqual(listConvicted(pool), ['bad']);
});

test('one crash that many entries observe counts once', () => {
  const [pool] = buildPools(1);
  for (let entry = 0; entry < 9; entry += 1) {
    pool?.exchange({crashes: [buildReport(1, entry * 200, 'sound')]});
  }
  assert.ok(pool);
  assert.deepEqual(waitForVerdict(pool), []);
  assert.deepEqual(pool.listSuspects(), []);
});

test('evidence adds up although messages are lost, repeated and reordered, and entries restart', () => {
  for (let seed = 1; seed <= 40; seed += 1) {
    const random = createRandom(seed);
    const pools = buildPools(5);
    const reports = [0, 1, 2, 3].map(index => ({
      index,
      report: buildReport(index, 0, 'bad', `own${index}`),
      madeAt: performance.now() + index * 150,
    }));
    for (let round = 0; round < 30; round += 1) {
      clock.tick(100);
      for (const {report, madeAt} of reports) {
        const ageMs = performance.now() - madeAt;
        // After a second the entry restarts and knows nothing of its crash any more.
        if (ageMs < 0 || ageMs > 1_000 || random() < 0.4) continue;
        const pool = pools[Math.floor(random() * pools.length)];
        pool?.exchange({crashes: [{...report, ageMs}]});
      }
      const digests = pools
        .map(pool => pool.describeDigest())
        .sort(() => random() - 0.5);
      for (const digest of [...digests, ...digests.slice(0, 2)]) {
        for (const pool of pools) {
          if (random() < 0.6) pool.acceptDigest(digest);
        }
      }
    }
    for (const pool of pools) {
      assert.deepEqual(waitForVerdict(pool), ['bad'], `seed ${seed}`);
      const [suspect] = pool.listSuspects();
      assert.equal(suspect?.crashes, 4, `seed ${seed}`);
    }
  }
});

test('a control instance that starts empty learns old crashes from the digests of the others', () => {
  const [old, restarted] = buildPools(2);
  assert.ok(old && restarted);
  for (let index = 0; index < 30; index += 1) {
    old.exchange({crashes: [buildReport(index, 0, index % 2 ? 'bad' : 'x')]});
    clock.tick(500);
  }
  clock.tick(20_000);
  for (let round = 0; round < 10; round += 1) exchangeDigests(old, restarted);
  clock.tick(60);
  assert.deepEqual(restarted.listSuspects(), old.listSuspects());
});

test('an answer that another entry has seen acquits a segment before it is convicted', () => {
  const [first, second] = buildPools(2);
  assert.ok(first && second);
  const crashes = [0, 1, 2].map(index =>
    buildReport(index, index * 300, 'common', 'bad'),
  );
  crashes.push(buildReport(3, 900, 'common'));
  const asked = first.exchange({crashes});
  assert.deepEqual(asked, ['bad', 'common']);
  clock.tick(400);
  exchangeDigests(first, second);
  const report: CrashEvidenceReport = {survivals: {common: 200}};
  second.exchange(report);
  clock.tick(400);
  exchangeDigests(first, second);
  clock.tick(SETTLING_MS);
  assert.deepEqual(listConvicted(first), ['bad']);
  assert.deepEqual(listConvicted(second), ['bad']);
});

test('a sound segment is not convicted by crashes that its entry reports before the others do', () => {
  const quarantined: string[][] = [];
  const pool = new CrashPool(() => quarantined);
  for (let index = 0; index < 4; index += 1) {
    pool.exchange({crashes: [buildReport(index, 0, 'bad', 'sound')]});
    clock.tick(300);
  }
  // All prompts with either segment had both of them so far.
  assert.deepEqual(waitForVerdict(pool), ['bad,sound']);
  quarantined.push(['bad', 'sound']);
  clock.tick(60);
  const report = (segment: string, ageMs: number) => ({
    crashes: [4, 5].map(index =>
      buildReport(index, ageMs + 200 * (5 - index), segment, `own${index}`),
    ),
  });
  pool.exchange(report('sound', 0));
  for (let elapsedMs = 0; elapsedMs < 600; elapsedMs += 100) {
    clock.tick(100);
    assert.deepEqual(listConvicted(pool), []);
  }
  pool.exchange(report('bad', 600));
  assert.deepEqual(waitForVerdict(pool), []);
});

test('the age of an answer does not drift while the instances repeat it to each other', () => {
  const pools = buildPools(2);
  const crashes = [13_000, 12_500, 12_000].map((ageMs, index) =>
    buildReport(index, ageMs, 'turned'),
  );
  pools[0]?.exchange({crashes, survivals: {turned: 25_000}});
  for (let round = 0; round < 50; round += 1) {
    clock.tick(100);
    exchangeDigests(...pools);
  }
  for (const pool of pools) assert.deepEqual(waitForVerdict(pool), ['turned']);
});

test('crashes from before the end of a quarantine do not start it again, later ones do', () => {
  let quarantined: string[][] = [['bad']];
  const pool = new CrashPool(() => quarantined);
  const report = (index: number) => buildReport(index, 0, 'bad');
  for (let index = 0; index < 3; index += 1) {
    pool.exchange({crashes: [report(index)]});
    clock.tick(300);
  }
  assert.deepEqual(waitForVerdict(pool), []);
  quarantined = [];
  assert.deepEqual(waitForVerdict(pool), []);
  clock.tick(11_000);
  for (let index = 3; index < 6; index += 1) {
    pool.exchange({crashes: [report(index)]});
    clock.tick(300);
  }
  assert.deepEqual(waitForVerdict(pool), ['bad']);
});

test('the memory of a pool is bounded, whatever is reported', () => {
  const [pool] = buildPools(1);
  assert.ok(pool);
  for (let index = 0; index < 3_000; index += 1) {
    const segments = Array.from({length: 300}, (_, part) => `${index}.${part}`);
    pool.exchange({
      crashes: [buildReport(index, 0, ...segments)],
      survivals: {[`s${index}`]: 0},
    });
  }
  const {crashes} = pool.describeDigest();
  assert.ok(crashes.length <= 512);
  assert.ok(crashes.every(({segments}) => segments.length <= 128));
});

test('a request is suspended at its third crash, before the crashes have settled', () => {
  const [pool] = buildPools(1);
  assert.ok(pool);
  const reports = [0, 1, 2].map(index =>
    buildReport(index, 900 - index * 300, 'request:bad', 'rare'),
  );
  pool.exchange({crashes: reports.slice(0, 2)});
  assert.deepEqual(pool.listSuspended(), []);
  clock.tick(100);
  pool.exchange({crashes: reports});
  assert.deepEqual(pool.listSuspended(), ['request:bad']);
  assert.deepEqual(listConvicted(pool), []);
  clock.tick(SETTLING_MS);
  assert.deepEqual(listConvicted(pool), ['request:bad']);
});

test('an answer that is reported while a request is suspended ends that', () => {
  const [pool] = buildPools(1);
  assert.ok(pool);
  const crashes = [0, 1, 2].map(index =>
    buildReport(index, 900 - index * 300, 'request:sound'),
  );
  const suspects = pool.exchange({crashes});
  assert.deepEqual(suspects, ['request:sound']);
  assert.deepEqual(pool.listSuspended(), ['request:sound']);
  clock.tick(100);
  pool.exchange({survivals: {'request:sound': 3_000}});
  assert.deepEqual(pool.listSuspended(), []);
  assert.deepEqual(waitForVerdict(pool), []);
});

test('a segment whose combination is in quarantine is suspended at the first crash without its companion', () => {
  const quarantined: string[][] = [];
  const pool = new CrashPool(() => quarantined);
  const report = (index: number, ...segments: string[]) =>
    pool.exchange({crashes: [buildReport(index, 0, ...segments)]});
  for (let index = 0; index < 3; index += 1) {
    report(index, 'bad', 'd2');
    clock.tick(300);
  }
  assert.deepEqual(waitForVerdict(pool), ['bad,d2']);
  assert.deepEqual(pool.listSuspended(), []);
  quarantined.push(['bad', 'd2']);
  clock.tick(100);
  assert.deepEqual(pool.listSuspended(), []);
  report(3, 'bad', 'd4');
  clock.tick(60);
  assert.deepEqual(pool.listSuspended(), ['bad']);
  // No verdict yet: an entry that ended before its report may have sent another segment there.
  clock.tick(SETTLING_MS);
  assert.deepEqual(listConvicted(pool), []);
  assert.deepEqual(pool.listSuspended(), []);
  report(4, 'bad', 'd5');
  clock.tick(60);
  assert.deepEqual(pool.listSuspended(), ['bad']);
  clock.tick(SETTLING_MS);
  assert.deepEqual(listConvicted(pool), ['bad']);
  assert.deepEqual(pool.listSuspended(), ['bad'], 'until it is in quarantine');
  quarantined.push(['bad']);
  clock.tick(60);
  assert.deepEqual(pool.listSuspended(), []);
});

test('a segment of a combination in quarantine that is answered is not suspended, but the other one', () => {
  const pool = new CrashPool(() => [['bad', 'sound']]);
  for (let index = 0; index < 3; index += 1) {
    pool.exchange({crashes: [buildReport(index, 0, 'bad', 'sound')]});
    clock.tick(300);
  }
  pool.exchange({survivals: {sound: 0}});
  pool.exchange({crashes: [buildReport(3, 0, 'sound', 'd4')]});
  clock.tick(60);
  assert.deepEqual(pool.listSuspended(), ['bad']);
});
