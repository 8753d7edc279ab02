import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  DemandTable,
  ServiceDemand,
  computeOthersDemand,
  sumDemand,
} from '../lib/forwarding/serviceDemand.js';

const SEEDS = 50;
const SERVICES = ['drafts', 'plain', 'rare'];
/** More than a table may name. */
const NAMES = 80;
const MAX_NAMES = 64;

/** Returns a function that draws whole numbers below a bound. */
function createDraw(seed: number): (below: number) => number {
  let state = seed + 1;
  return below => {
    state = (state * 48_271) % 2_147_483_647;
    return state % below;
  };
}

function buildDemand(draw: (below: number) => number): ServiceDemand {
  const customers: Record<string, number> = {};
  const outcomes: Record<string, readonly [number, number]> = {};
  for (let name = 0; name < NAMES; name += 1) {
    if (draw(3) > 0) continue;
    // Sizes differ, so that it is clear which names are the largest.
    customers[`c${name}`] = 1 + draw(500) * NAMES + name;
    const ended = 1 + draw(500) * NAMES + name;
    outcomes[`k${name}`] = [ended, draw(ended + 1)];
  }
  return {
    placesPerSecond: draw(100),
    waiting: Array.from({length: draw(6)}, () => draw(20)),
    customers,
    outcomes,
  };
}

function buildTable(draw: (below: number) => number): DemandTable {
  const named = SERVICES.filter(() => draw(4) > 0);
  return Object.fromEntries(named.map(service => [service, buildDemand(draw)]));
}

/** Sums one number of all tables, and keeps the largest names. */
function sumNames(
  tables: ReadonlyArray<Readonly<Record<string, number>>>,
): Record<string, number> {
  const sums = new Map<string, number>();
  for (const table of tables) {
    for (const [name, value] of Object.entries(table)) {
      sums.set(name, (sums.get(name) ?? 0) + value);
    }
  }
  const largest = [...sums].sort(([, one], [, other]) => other - one);
  return Object.fromEntries(largest.slice(0, MAX_NAMES));
}

function selectCounts(
  {outcomes}: ServiceDemand,
  index: 0 | 1,
): Record<string, number> {
  return Object.fromEntries(
    Object.entries(outcomes).map(([name, counts]) => [name, counts[index]]),
  );
}

function sumWaiting(demands: readonly ServiceDemand[], index: number): number {
  return demands.reduce((sum, {waiting}) => sum + (waiting[index] ?? 0), 0);
}

test('sums of demand equal those of each number by itself, of the largest names', () => {
  for (let seed = 0; seed < SEEDS; seed += 1) {
    const draw = createDraw(seed);
    const tables = Array.from({length: 1 + draw(6)}, () => buildTable(draw));
    const before = JSON.stringify(tables);
    const sums = sumDemand(tables);
    for (const service of SERVICES) {
      const demands = tables.flatMap(table => table[service] ?? []);
      const sum = sums[service];
      if (!sum) {
        assert.equal(demands.length, 0);
        continue;
      }
      const label = `seed ${seed}, ${service}`;
      assert.deepEqual(
        sum.customers,
        sumNames(demands.map(({customers}) => customers)),
        label,
      );
      const ended = sumNames(demands.map(demand => selectCounts(demand, 0)));
      assert.deepEqual(selectCounts(sum, 0), ended, label);
      for (const [name, [, served]] of Object.entries(sum.outcomes)) {
        const expected = demands.reduce(
          (total, {outcomes}) => total + (outcomes[name]?.[1] ?? 0),
          0,
        );
        assert.equal(served, expected, label);
      }
      sum.waiting.forEach((count, index) =>
        assert.equal(count, sumWaiting(demands, index), label),
      );
    }
    assert.equal(JSON.stringify(tables), before, 'reports are not changed');
  }
});

test('the demand of the others is the total without the own part, and names nothing else', () => {
  for (let seed = 0; seed < SEEDS; seed += 1) {
    const draw = createDraw(seed);
    const tables = Array.from({length: 2 + draw(4)}, () => buildTable(draw));
    const [own = {}, ...others] = tables;
    const total = sumDemand(tables);
    const before = JSON.stringify(total);
    const rest = computeOthersDemand(total, own);
    const label = `seed ${seed}`;
    assert.deepEqual(Object.keys(rest), Object.keys(total), label);
    for (const [service, left] of Object.entries(rest)) {
      const known = others.flatMap(table => table[service] ?? []);
      for (const name of Object.keys(total[service]?.customers ?? {})) {
        const expected = known.reduce(
          (sum, {customers}) => sum + (customers[name] ?? 0),
          0,
        );
        assert.equal(left.customers[name] ?? 0, expected, label);
        assert.notEqual(left.customers[name], 0, label);
      }
      for (const name of Object.keys(total[service]?.outcomes ?? {})) {
        for (const index of [0, 1] as const) {
          const expected = known.reduce(
            (sum, {outcomes}) => sum + (outcomes[name]?.[index] ?? 0),
            0,
          );
          assert.equal(left.outcomes[name]?.[index] ?? 0, expected, label);
        }
      }
      left.waiting.forEach((count, index) =>
        assert.equal(count, sumWaiting(known, index), label),
      );
    }
    assert.equal(JSON.stringify(total), before, 'the total is not changed');
  }
});
