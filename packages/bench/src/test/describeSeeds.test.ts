import assert from 'node:assert/strict';
import {test} from 'node:test';
import {describeSeeds} from '../lib/describeSeeds.js';

test('the worst value is the lowest for a lower bound and the highest for an upper bound', () => {
  const build = (seed: number, low: number, high: number) => ({
    experiment: 'x',
    seed,
    baseline: {},
    candidate: {},
    targets: [
      {name: 'a', target: '≥ 2', value: low, met: low >= 2},
      {name: 'b', target: '≤ 5', value: high, met: high <= 5},
    ],
  });
  const summary = describeSeeds([
    build(1, 3, 4),
    build(2, 1, 9),
    build(3, 2, 5),
  ]);
  assert.deepEqual(summary.seeds, [1, 2, 3]);
  assert.deepEqual(
    summary.targets.map(({median, worst, met}) => [median, worst, met]),
    [
      [2, 1, 2],
      [5, 9, 2],
    ],
  );
});
