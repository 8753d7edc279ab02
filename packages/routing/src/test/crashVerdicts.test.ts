import assert from 'node:assert/strict';
import {test} from 'node:test';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {CrashSimulation, CrashSimulationOptions} from './CrashSimulation.js';

const RUNS = 60;
const DURATION_MS = 15_000;
const MAX_INTEGER = 2 ** 30;
/** Servers that may crash under a request that comes twice a second, in most of the runs. */
const USUAL_CRASHES = 5;

/** Times that such a request may reach a server later than the time allowed after its third crash. */
const MAX_LATE_ARRIVALS = 3;

const USUAL: CrashSimulationOptions = {
  servers: 6,
  crashing: 2,
  soundContents: Infinity,
  soundPerSecond: 40,
  unreportedRate: 0,
  otherCrashesPerSecond: 0,
};

/** Situations, by what is special about them. */
const SITUATIONS: Readonly<Record<string, Partial<CrashSimulationOptions>>> = {
  'two requests': {},
  'one request, three servers': {servers: 3, crashing: 1},
  'popular sound requests': {soundContents: 40},
  'one popular sound request': {soundContents: 1},
  'a tenth of what was in progress is never reported': {unreportedRate: 0.1},
  'servers that crash for other reasons, too': {otherCrashesPerSecond: 0.5},
  'twelve servers, four requests': {servers: 12, crashing: 4},
};

function simulate(overrides: Partial<CrashSimulationOptions>) {
  return Array.from({length: RUNS}, (unused, seed) => {
    const generator = xoroshiro128plus(seed + 1);
    const pickNumber = () =>
      unsafeUniformIntDistribution(0, MAX_INTEGER - 1, generator) / MAX_INTEGER;
    return new CrashSimulation({...USUAL, ...overrides}, pickNumber).run(
      DURATION_MS,
    );
  });
}

for (const [name, overrides] of Object.entries(SITUATIONS)) {
  test(`requests that crash servers are convicted, and no others: ${name}`, context => {
    const results = simulate(overrides);
    const wrong = results.filter(({wrongVerdicts}) => wrongVerdicts > 0).length;
    const crashes = results
      .flatMap(result => result.crashes)
      .sort((one, other) => one - other);
    const late = results.flatMap(({lateArrivals}) => lateArrivals);
    const usual = crashes[Math.floor(crashes.length * 0.9)];
    context.diagnostic(
      `crashes: ${usual} in 0.9 of the runs, ${crashes.at(-1)} at most; late arrivals: ${Math.max(...late)} at most`,
    );
    assert.equal(wrong, 0);
    assert.ok(results.every(({missed}) => missed === 0));
    assert.ok(Number(usual) <= USUAL_CRASHES, `${usual} crashes`);
    assert.ok(late.every(count => count <= MAX_LATE_ARRIVALS));
  });
}

test('servers that crash for other reasons convict no request', () => {
  for (const soundContents of [1, 40, Infinity]) {
    const results = simulate({
      crashing: 0,
      soundContents,
      otherCrashesPerSecond: 2,
    });
    assert.ok(results.every(({wrongVerdicts}) => wrongVerdicts === 0));
  }
});
