import {test} from 'node:test';
import fc from 'fast-check';
import {ScenarioRun} from './ScenarioRun.js';
import {checkInvariants} from './checkInvariants.js';
import {Round, scenarios} from './scenario.js';

/** Number of random scenarios; SYC_PROPERTY_RUNS sets a higher one than CI uses. */
const RUNS = Number(process.env.SYC_PROPERTY_RUNS ?? 8);
/** Seed of the scenarios; SYC_PROPERTY_SEED sets another one than CI uses. */
const SEED = Number(process.env.SYC_PROPERTY_SEED ?? 5);

async function runScenario(rounds: readonly Round[]): Promise<void> {
  const run = new ScenarioRun();
  await run.start();
  try {
    for (const round of rounds) await run.runRound(round);
    await run.settle();
    await checkInvariants(run);
  } finally {
    await run.stop();
  }
}

/** Scenarios that failed in earlier runs. */
const REGRESSION_SCENARIOS: ReadonlyArray<
  readonly [title: string, rounds: readonly Round[]]
> = [];

for (const [title, rounds] of REGRESSION_SCENARIOS) {
  test(`regression scenario: ${title}`, () => runScenario(rounds));
}

test(`invariants hold in ${RUNS} random scenarios of seed ${SEED}`, () =>
  fc.assert(fc.asyncProperty(scenarios, runScenario), {
    seed: SEED,
    numRuns: RUNS,
    includeErrorInReport: true,
    endOnFailure: process.env.SYC_PROPERTY_SHRINK !== '1',
  }));
