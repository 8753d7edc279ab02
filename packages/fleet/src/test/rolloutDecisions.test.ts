import assert from 'node:assert/strict';
import {test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import {
  RolloutSimulation,
  SimulatedTrouble,
  SimulatedVersion,
  SimulationOptions,
  SimulationResult,
} from './RolloutSimulation.js';

const SEEDS = 40;
/** Share of good versions that may be rolled back beside troubles. */
const MAX_FALSE_ROLLBACKS = 0.05;

/** Servers that turn slow, and servers that fail and hang, one after the other. */
const TROUBLES: readonly SimulatedTrouble[] = [
  {fromMs: 1_000, toMs: 7_000, servers: 0.2, slowFactor: 5},
  {fromMs: 4_000, toMs: 10_000, servers: 0.15, failing: 0.4},
  {fromMs: 8_000, toMs: 14_000, servers: 0.15, slowFactor: 7},
];

const BAD_VERSIONS: Readonly<Record<string, SimulatedVersion>> = {
  'that fails on a third of its requests': {failing: 0.35},
  'that fails on half of the requests of one route': {
    failing: 0.5,
    route: 'briefs',
  },
  'with half of its answers eight times slower': {
    slow: {share: 0.5, factor: 8},
  },
  'with a third of its answers eight times slower': {
    slow: {share: 0.35, factor: 8},
  },
  'with all its answers three times slower': {slow: {share: 1, factor: 3}},
  'with half of the answers of one route eight times slower': {
    slow: {share: 0.5, factor: 8},
    route: 'proofs',
  },
  'that fails on half of its requests after three seconds': {
    failing: 0.5,
    fromMs: 3_000,
  },
};

function simulate(
  options: Omit<SimulationOptions, 'seed'>,
): readonly (SimulationResult & {seed: number})[] {
  const results: (SimulationResult & {seed: number})[] = [];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const clock = fakeTimers.install({toFake: ['performance']});
    try {
      const run = new RolloutSimulation({...options, seed}, clock);
      results.push({seed, ...run.run()});
    } finally {
      clock.uninstall();
    }
  }
  return results;
}

function describe(results: readonly object[]): string {
  return `${results.length}: ${JSON.stringify(results.slice(0, 3))}`;
}

for (const [name, version] of Object.entries(BAD_VERSIONS)) {
  for (const [surroundings, troubles] of [
    ['', []],
    [', beside servers in trouble', TROUBLES],
  ] as const) {
    test(`a bad version was completed: one ${name} is rolled back within its exposure${surroundings}`, () => {
      const exposed = simulate({version, troubles}).filter(
        ({phase, exposed, allowed}) =>
          phase !== 'rolled_back' || exposed > allowed,
      );
      assert.equal(exposed.length, 0, describe(exposed));
    });
  }
}

test('a bad version was completed: one of which no evidence arrives gets no more than its exposure', () => {
  const exposed = simulate({
    version: {failing: 0.5},
    unreportedEntries: 1,
  }).filter(({phase, exposed, allowed}) => {
    return phase !== 'rolled_back' || exposed > allowed;
  });
  assert.equal(exposed.length, 0, describe(exposed));
});

test('a good version is completed in time', () => {
  const failed = simulate({version: {}}).filter(
    ({phase}) => phase !== 'completed',
  );
  assert.equal(failed.length, 0, describe(failed));
});

test('a good version is completed in time beside servers in trouble', () => {
  const failed = simulate({version: {}, troubles: TROUBLES}).filter(
    ({phase}) => phase !== 'completed',
  );
  assert.ok(failed.length <= MAX_FALSE_ROLLBACKS * SEEDS, describe(failed));
});
