import {test} from 'node:test';
import fc from 'fast-check';
import {FAULT_STEPS, FaultScenario, GroupSize} from './FaultScenario.js';
import {runPaused} from './runPaused.js';

/** Number of runs by the size of the group. To run more: `SYC_SEEDS=5000 SYC_SEED=7 npm test randomFaults`. */
const RUNS: Readonly<Record<GroupSize, number>> = {
  3: Number(process.env.SYC_SEEDS ?? 300),
  5: Number(process.env.SYC_SEEDS ?? 100),
};
const SEED = Number(process.env.SYC_SEED ?? 1);

const step = fc.record({
  // Steps that advance time or send work are more frequent, so that faults hit pending work.
  type: fc.oneof(
    fc.constantFrom('advance' as const, 'propose' as const, 'read' as const),
    fc.constantFrom(...FAULT_STEPS),
  ),
  target: fc.nat(11),
  amount: fc.nat(99),
});

for (const size of [3, 5] as const) {
  test(
    `random faults: ${RUNS[size]} runs of a group of ${size} from seed ${SEED}`,
    {timeout: 3_600_000},
    () =>
      fc.assert(
        fc.asyncProperty(
          fc.nat(),
          fc.array(step, {minLength: 15, maxLength: 60}),
          (seed, steps) =>
            runPaused(seed, (clock, random) =>
              new FaultScenario(clock, random, size).run(steps),
            ),
        ),
        {
          numRuns: RUNS[size],
          seed: SEED,
          endOnFailure: true,
          includeErrorInReport: true,
        },
      ),
  );
}
