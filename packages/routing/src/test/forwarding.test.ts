import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';

import {chooseModel, isWorthEscalating} from '../lib/forwarding/chooseModel.js';
import {choosePreferredServer} from '../lib/forwarding/choosePreferredServer.js';
import {computeHeadTimeouts} from '../lib/forwarding/computeSilenceTimeouts.js';
import {PlacementQueue} from '../lib/forwarding/PlacementQueue.js';
import {parseRetryAfter} from '../lib/forwarding/parseRetryAfter.js';
import {PrefillRates} from '../lib/forwarding/PrefillRates.js';
import {RetryBudget} from '../lib/forwarding/RetryBudget.js';
import {scoreServer} from '../lib/forwarding/scoreServer.js';

let clock: ReturnType<typeof fakeTimers.install>;

beforeEach(() => {
  clock = fakeTimers.install({
    toFake: ['performance', 'setTimeout', 'clearTimeout'],
  });
});

afterEach(() => {
  clock.uninstall();
});

test('the retry budgets of all entries together stay within the bound', () => {
  const options = {ratio: 0.5, slack: 40, windowMs: 10_000};
  const entryCount = 4;
  const budgets = Array.from(
    {length: entryCount},
    () => new RetryBudget(options),
  );
  let extras = 0;
  for (let second = 0; second < 10; second += 1) {
    for (const budget of budgets) {
      for (let round = 0; round < 5; round += 1) budget.recordRequest();
      while (budget.acquire(entryCount)) extras += 1;
    }
    clock.tick(1_000);
  }
  const requests = entryCount * 5 * 10;
  assert.ok(extras > 0);
  assert.ok(extras <= options.ratio * requests + options.slack);
});

test('the retry budget is available before any request and recovers with time', () => {
  const budget = new RetryBudget({ratio: 0, slack: 5, windowMs: 1_000});
  assert.equal(budget.acquire(1), true);
  while (budget.acquire(1));
  assert.equal(budget.hasCapacity(1), false);
  clock.tick(1_200);
  assert.equal(budget.hasCapacity(1), true);
});

function buildWork(priority: number, slot: {isFree: boolean}, waitMs = 100) {
  return {
    priority,
    abandonAt: performance.now() + waitMs,
    signal: new AbortController().signal,
    tryReserveSlot: () => {
      if (!slot.isFree) return undefined;
      slot.isFree = false;
      return priority;
    },
  };
}

test('slots are granted by priority and then in order of arrival', async () => {
  const queue = new PlacementQueue();
  const slot = {isFree: false};
  const order: number[] = [];
  const waits = [2, 0, 1].map(priority =>
    queue.acquire(buildWork(priority, slot)).then(got => order.push(got)),
  );
  for (let round = 0; round < 3; round += 1) {
    slot.isFree = true;
    queue.offerSlots();
    await Promise.resolve();
  }
  await Promise.all(waits);
  assert.deepEqual(order, [0, 1, 2]);
});

test('a request whose wait times out is refused as not run', async () => {
  const queue = new PlacementQueue();
  const wait = queue.acquire(buildWork(0, {isFree: false}));
  clock.tick(101);
  await assert.rejects(wait, {kind: 'overloaded', ran: 'no'});
  assert.equal(queue.length, 0);
});

test('an aborted request is removed from the queue', async () => {
  const queue = new PlacementQueue();
  const controller = new AbortController();
  const work = {...buildWork(0, {isFree: false}), signal: controller.signal};
  const wait = queue.acquire(work);
  controller.abort();
  await assert.rejects(wait, {kind: 'caller_gone'});
  assert.equal(queue.length, 0);
});

test('a server with pending prefill scores worse than an idle one that must prefill more', () => {
  const server = {
    load: 1,
    slots: 64,
    pendingMs: 0,
    ownMs: 150,
    isSameDataCentre: true,
    isSilent: false,
    slowness: 1,
  };
  const busy = scoreServer('estimated', {...server, pendingMs: 600, ownMs: 60});
  const idle = scoreServer('estimated', {...server, isSameDataCentre: false});
  assert.ok(idle < busy);
  const silent = scoreServer('estimated', {...server, isSilent: true});
  assert.ok(busy < silent);
});

test('every entry chooses the same preferred server, and a lost server moves only its own keys', () => {
  const ids = ['a', 'b', 'c', 'd'];
  const keys = Array.from({length: 400}, (unused, index) => `part ${index}`);
  const before = keys.map(key => choosePreferredServer(key, ids));
  assert.deepEqual(
    before,
    keys.map(key => choosePreferredServer(key, [...ids].reverse())),
  );
  const after = keys.map(key => choosePreferredServer(key, ['a', 'b', 'c']));
  const moved = before.filter((server, index) => server !== after[index]);
  assert.ok(moved.every(server => server === 'd'));
  for (const id of ids) {
    const owned = before.filter(server => server === id).length;
    assert.ok(owned > 60 && owned < 140, `${id} owns ${owned}`);
  }
});

const MODELS = ['small', 'middle', 'large'];

test('a weak answer goes to a larger model, a nearly good one to the middle model', () => {
  const chooseNext = (confidence: number, pressure = 0) =>
    chooseModel('cascade', {
      models: MODELS,
      previous: 'small',
      confidence,
      pressure,
    });
  assert.equal(chooseNext(5), 'large');
  assert.equal(chooseNext(45), 'middle');
  // On a full pool the middle model takes more of the requests that would go to the largest.
  assert.equal(chooseNext(30, 0), 'large');
  assert.equal(chooseNext(30, 1), 'middle');
});

test('a confident answer is accepted, on a full pool at a lower confidence', () => {
  const isWeak = (confidence: number, pressure: number) =>
    isWorthEscalating('cascade', {
      models: MODELS,
      previous: 'small',
      confidence,
      pressure,
    });
  assert.equal(isWeak(90, 0), false);
  assert.equal(isWeak(55, 0), true);
  assert.equal(isWeak(55, 1), false);
  assert.equal(isWeak(10, 1), true);
});

test('an answer of the largest model never escalates, and baseline policies never do', () => {
  const choice = {
    models: MODELS,
    previous: 'large',
    confidence: 1,
    pressure: 0,
  };
  assert.equal(isWorthEscalating('cascade', choice), false);
  const small = {...choice, previous: 'small'};
  assert.equal(isWorthEscalating('smallest', small), false);
});

test('a request that may not run again waits until its deadline', () => {
  const input = {
    isRepeatable: false,
    targetLatencyMs: 300,
    typicalMs: 80,
    pendingMs: 0,
    leftMs: 2_000,
  };
  assert.deepEqual(computeHeadTimeouts(input), {
    silentServerMs: 2_000,
    activeServerMs: 2_000,
  });
  const repeatable = computeHeadTimeouts({...input, isRepeatable: true});
  assert.equal(repeatable.silentServerMs, 240);
  assert.equal(repeatable.activeServerMs, 600);
});

test('prefill times are learned by model and bounded', () => {
  const rates = new PrefillRates();
  const assumed = rates.estimateMs('small', 1_000);
  for (let round = 0; round < 60; round += 1) {
    rates.recordPrefill('small', 2_000, 20);
    rates.recordPrefill('large', 2_000, 200);
    rates.recordPrefill('large', 10, 90_000);
  }
  assert.ok(rates.estimateMs('small', 1_000) < assumed);
  const ratio =
    rates.estimateMs('large', 1_000) / rates.estimateMs('small', 1_000);
  assert.ok(ratio > 9 && ratio < 11);
});

const RETRY_AFTER_VALUES: ReadonlyArray<[string | undefined, unknown]> = [
  ['2', 2_000],
  [' 0.25 ', 250],
  ['0', 0],
  ['99999999999999999999', 600_000],
  ['-1', undefined],
  ['1e9', undefined],
  ['NaN', undefined],
  ['', undefined],
  [undefined, undefined],
  ['2, 3', undefined],
  ['Wed, 21 Oct 2015 07:28:00 GMT', undefined],
  ['\u0000\u00ff', undefined],
];

for (const [text, expected] of RETRY_AFTER_VALUES) {
  test(`a retry delay of ${JSON.stringify(text)} is read as ${expected} ms`, () => {
    assert.equal(parseRetryAfter(text), expected);
  });
}
