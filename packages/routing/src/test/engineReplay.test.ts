import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ReplayLoad, ReplayOutcome, runReplay} from './EngineReplay.js';

/*
 * Replays the load of a pool of engines: long prompts that share their first half, at two thirds of what
 * the engines read, placed by several entries by reports that are up to 200 ms old.
 */

const SEEDS = [1, 2, 3, 4, 5];
const TOKENS_PER_MS = 57;
const OWN_TOKENS = 6_600;

const LOAD: ReplayLoad = {
  entries: 8,
  capacity: 500_000,
  speeds: Array.from({length: 8}, () => () => TOKENS_PER_MS),
  msPerToken: 1 / TOKENS_PER_MS,
  requestsPerSecond: 38,
  subjects: 40,
  sharedTokens: 5_400,
  ownTokens: OWN_TOKENS,
  answerMs: 1_200,
  objectiveMs: 500,
  durationMs: 20_000,
};

interface Totals {
  /** Shared tokens that engines read, most of them again. */
  readonly sharedRead: number;
  readonly late: number;
}

function sumReplays(load: ReplayLoad, weighsMemory: boolean): Totals {
  const outcomes = SEEDS.flatMap(seed =>
    runReplay(load, {weighsMemory, learnsPace: false}, seed),
  );
  const sharedRead = outcomes.reduce(
    (sum, {readTokens}) => sum + Math.max(0, readTokens - OWN_TOKENS),
    0,
  );
  const late = outcomes.filter(({firstMs}) => firstMs > load.objectiveMs);
  return {sharedRead, late: late.length};
}

for (const [name, load] of Object.entries({
  'ample memory': LOAD,
  'memory that is turned over in seconds': {
    ...LOAD,
    capacity: 150_000,
    requestsPerSecond: 36,
    objectiveMs: 600,
  },
})) {
  test(`weighing kept prompts reads less again, and makes fewer first events late (${name})`, () => {
    const before = sumReplays(load, false);
    const after = sumReplays(load, true);
    const figures = JSON.stringify({before, after});
    assert.ok(after.sharedRead < before.sharedRead * 0.95, figures);
    assert.ok(after.late < before.late, figures);
  });
}

/** Counts the requests of each server that arrived in a span of time. */
function countByServer(
  outcomes: readonly ReplayOutcome[],
  fromMs: number,
  toMs: number,
): number[] {
  const counts = LOAD.speeds.map(() => 0);
  for (const {at, server} of outcomes) {
    if (at >= fromMs && at < toMs) counts[server]! += 1;
  }
  return counts;
}

/** Requests without shared segments, so that only pace and work tell servers apart. */
const UNEVEN_LOAD: ReplayLoad = {
  ...LOAD,
  subjects: 100_000,
  sharedTokens: 10,
  ownTokens: 3_000,
  requestsPerSecond: 90,
  durationMs: 12_000,
};

test('fast servers take the larger part, from many entries that each see few answers of them', () => {
  const speeds = LOAD.speeds.map((unused, index) => {
    const factor = index < 4 ? 0.7 : 1.7;
    return () => TOKENS_PER_MS * factor;
  });
  const load = {...UNEVEN_LOAD, speeds, entries: 60};
  for (const seed of SEEDS) {
    const runs = [false, true].map(learnsPace =>
      runReplay(load, {weighsMemory: false, learnsPace}, seed),
    );
    const [shareBefore, shareAfter] = runs.map(outcomes => {
      const counts = countByServer(outcomes, 2_000, 12_000);
      const fast = counts.slice(4).reduce((sum, count) => sum + count, 0);
      return fast / counts.reduce((sum, count) => sum + count, 0);
    });
    assert.ok(shareAfter! > 0.6, `${shareAfter} of the requests`);
    assert.ok(shareAfter! > shareBefore!, `${shareBefore} ${shareAfter}`);
  }
});

test('a server that turns slow loses most of its requests within a second', () => {
  const slowFrom = 5_000;
  const speeds = LOAD.speeds.map((unused, index) => (atMs: number) => {
    const isSlow = index === 3 && atMs >= slowFrom;
    return TOKENS_PER_MS * (isSlow ? 0.2 : 1);
  });
  const load = {...UNEVEN_LOAD, speeds, entries: 60};
  let before = 0;
  let after = 0;
  for (const seed of SEEDS) {
    const outcomes = runReplay(
      load,
      {weighsMemory: false, learnsPace: true},
      seed,
    );
    before += countByServer(outcomes, 3_000, slowFrom)[3]! / 2;
    after += countByServer(outcomes, slowFrom + 1_000, 8_000)[3]! / 2;
  }
  assert.ok(after < before / 2, `${before} and ${after} requests a second`);
});
