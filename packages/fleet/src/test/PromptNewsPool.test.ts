import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import type {ExchangeRequest, PromptNewsTable} from '../lib/fleetMessages.js';
import {PromptNewsPool} from '../lib/PromptNewsPool.js';

let clock: ReturnType<typeof fakeTimers.install>;

beforeEach(() => {
  clock = fakeTimers.install({toFake: ['performance']});
});

afterEach(() => {
  clock.uninstall();
});

function buildReport(
  entry: string,
  prompts?: PromptNewsTable,
): ExchangeRequest {
  return {entry, load: {}, evidence: [], prompts};
}

test('each entry gets the news of the others once, also over another instance', () => {
  const [first, second] = [new PromptNewsPool(), new PromptNewsPool()];
  first.exchange(buildReport('e1', {s1: [7, 8]}));
  assert.deepEqual(first.exchange(buildReport('e2')), {s1: [7, 8]});
  assert.deepEqual(first.exchange(buildReport('e2')), {});
  assert.deepEqual(first.exchange(buildReport('e1')), {});
  second.acceptDigest(first.describeDigest());
  assert.deepEqual(second.exchange(buildReport('e3')), {s1: [7, 8]});
  assert.deepEqual(second.describeDigest().prompts, {});
});

test('news expire, and those of a flood are bounded', () => {
  const pool = new PromptNewsPool();
  pool.exchange(buildReport('e1', {s1: [7]}));
  clock.tick(1_100);
  assert.deepEqual(pool.exchange(buildReport('e2')), {});
  for (let entry = 0; entry < 500; entry += 1) {
    const hashes = Array.from({length: 300}, (_, index) => entry + index);
    pool.exchange(buildReport(`e${entry}`, {[`s${entry}`]: hashes}));
  }
  const table = pool.exchange(buildReport('last'));
  const count = Object.values(table).flat().length;
  assert.ok(count > 0 && count <= 256, `${count}`);
});

test('news that make no sense are ignored, and earlier builds send none', () => {
  const pool = new PromptNewsPool();
  const nonsense = {s1: ['x', NaN, 1.5, null, 9]} as unknown;
  pool.exchange(buildReport('e1', nonsense as PromptNewsTable));
  pool.acceptDigest({});
  assert.deepEqual(pool.exchange(buildReport('e2')), {s1: [9]});
});
