import {test} from 'node:test';
import fc from 'fast-check';
import {PausedClock} from '@sycamorehead/consensus/testing';
import {SeededRandom} from '../lib/load/arrivals.js';
import {
  CONFIGURATION_STEP_TYPES,
  ConfigurationScenario,
} from './ConfigurationScenario.js';

/** Number of cases; for more run `SYC_SEEDS=5000 SYC_SEED=7 npm test configurationFaults`. */
const RUNS = Number(process.env.SYC_SEEDS ?? 300);
/** Seed from which the cases are generated. */
const SEED = Number(process.env.SYC_SEED ?? 1);

const step = fc.record({
  type: fc.oneof(
    fc.constantFrom('advance' as const, 'publish' as const, 'read' as const),
    fc.constantFrom(...CONFIGURATION_STEP_TYPES),
  ),
  target: fc.nat(11),
  amount: fc.nat(99),
});

test(
  `configuration under random faults: ${RUNS} runs from seed ${SEED}`,
  {timeout: 3_600_000},
  () =>
    fc.assert(
      fc.asyncProperty(
        fc.nat(),
        fc.array(step, {minLength: 15, maxLength: 50}),
        async (seed, steps) => {
          const random = new SeededRandom(seed);
          const clock = new PausedClock();
          try {
            await new ConfigurationScenario(clock, () =>
              random.sampleUniform(),
            ).run(steps);
          } finally {
            clock.restore();
          }
        },
      ),
      {
        numRuns: RUNS,
        seed: SEED,
        endOnFailure: true,
        includeErrorInReport: true,
      },
    ),
);
