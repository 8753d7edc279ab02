import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {LoadTable, ServerLoad} from '../lib/fleetMessages.js';
import {
  LoadSums,
  addLoad,
  buildLoadTable,
  buildServerLoad,
  computeOthersLoad,
} from '../lib/serverLoad.js';

const SEEDS = 50;
const SERVERS = 12;
const NUMBERS = 7;

/** Returns a function that draws whole numbers below a bound. */
function createDraw(seed: number): (below: number) => number {
  let state = seed + 1;
  return below => {
    state = (state * 48_271) % 2_147_483_647;
    return state % below;
  };
}

/** Builds a table as entries send it: of any length, with zeros, and without some of the servers. */
function buildTable(draw: (below: number) => number): LoadTable {
  const table: Record<string, ServerLoad> = {};
  for (let server = 0; server < SERVERS; server += 1) {
    if (draw(3) === 0) continue;
    const length = 2 + draw(NUMBERS - 1);
    const numbers = Array.from({length}, (_, index) => {
      if (draw(3) === 0) return 0;
      return index === NUMBERS - 1 ? draw(200) - 100 : draw(1_000);
    });
    table[`s${server}`] = buildServerLoad(numbers);
  }
  return table;
}

/** Computes each number by itself, with the numbers that a table leaves out as 0. */
function computeExpected(
  tables: readonly LoadTable[],
  own: LoadTable,
): Record<string, readonly number[]> {
  const expected: Record<string, readonly number[]> = {};
  for (let server = 0; server < SERVERS; server += 1) {
    const id = `s${server}`;
    const numbers = Array.from({length: NUMBERS}, (_, index) => {
      const values = tables.map(table => table[id]?.[index] ?? 0);
      const total = values.reduce((sum, value) => sum + value, 0);
      return total - (own[id]?.[index] ?? 0);
    });
    const [inFlight = 0, , active = 0, , , answers = 0] = numbers;
    if (inFlight > 0 || active > 0 || answers > 0) expected[id] = numbers;
  }
  return expected;
}

function fillNumbers(load: LoadTable): Record<string, readonly number[]> {
  return Object.fromEntries(
    Object.entries(load).map(([id, numbers]) => [
      id,
      Array.from({length: NUMBERS}, (_, index) => numbers[index] ?? 0),
    ]),
  );
}

test('sums of load, and what is left without an entry, equal those of each number by itself', () => {
  for (let seed = 0; seed < SEEDS; seed += 1) {
    const draw = createDraw(seed);
    const tables = Array.from({length: 1 + draw(6)}, () => buildTable(draw));
    const [own = {}] = tables;
    const before = JSON.stringify(tables);
    const sums: LoadSums = new Map();
    for (const load of tables) addLoad(sums, {load});
    for (const part of [own, {}]) {
      const rest = computeOthersLoad(sums, {load: part});
      assert.deepEqual(
        fillNumbers(rest),
        computeExpected(tables, part),
        `seed ${seed}`,
      );
    }
    const total = fillNumbers(buildLoadTable(sums));
    for (const [id, numbers] of Object.entries(computeExpected(tables, {}))) {
      assert.deepEqual(total[id], numbers, `seed ${seed}`);
    }
    assert.equal(JSON.stringify(tables), before, 'reports are not changed');
  }
});
