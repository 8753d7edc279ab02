import {test} from 'node:test';
import {FUZZ_TARGETS} from '../lib/fuzz/fuzzTargets.js';

const SEED = 20;
const CASES = 200;
const NO_LIMIT_MS = 2 ** 30;

// A target throws if a case crashes it, hangs it, or is answered with an unlisted error kind.
for (const [name, fuzz] of Object.entries(FUZZ_TARGETS)) {
  test(`fuzz ${name}: ${CASES} cases of seed ${SEED}`, () =>
    fuzz({seed: SEED, cases: CASES, budgetMs: NO_LIMIT_MS}));
}
