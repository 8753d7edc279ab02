import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';

import {chooseModel, isWorthEscalating} from '../lib/forwarding/chooseModel.js';
import {choosePreferredServer} from '../lib/forwarding/choosePreferredServer.js';
import {computeHeadTimeouts} from '../lib/forwarding/computeSilenceTimeouts.js';
import {PlacementQueue} from '../lib/forwarding/PlacementQueue.js';
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

test('the retry budget of all entries together keeps the bound in any window', () => {
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

test('the retry budget works before any request and comes back with time', () => {
  const budget = new RetryBudget({ratio: 0, slack: 5, windowMs: 1_000});
  assert.equal(budget.acquire(1), true);
  while (budget.acquire(1));
  assert.equal(budget.hasCapacity(1), false);
  clock.tick(1_200);
  assert.equal(budget.hasCapacity(1), true);
});

function buildWork(priority: number, place: {isFree: boolean}, waitMs = 100) {
  return {
    priority,
    abandonAt: performance.now() + waitMs,
    signal: new AbortController().signal,
    tryReserveSlot: () => {
      if (!place.isFree) return undefined;
      place.isFree = false;
      return priority;
    },
  };
}

test('the most urgent waits least, and equals go in order', async () => {
  const queue = new PlacementQueue();
  const place = {isFree: false};
  const order: number[] = [];
  const waits = [2, 0, 1].map(priority =>
    queue.acquire(buildWork(priority, place)).then(got => order.push(got)),
  );
  for (let round = 0; round < 3; round += 1) {
    place.isFree = true;
    queue.offerSlots();
    await Promise.resolve();
  }
  await Promise.all(waits);
  assert.deepEqual(order, [0, 1, 2]);
});

test('who has waited as long as it helps is refused, as not run', async () => {
  const queue = new PlacementQueue();
  const wait = queue.acquire(buildWork(0, {isFree: false}));
  clock.tick(101);
  await assert.rejects(wait, {kind: 'overloaded', ran: 'no'});
  assert.equal(queue.length, 0);
});

test('who leaves the queue is forgotten', async () => {
  const queue = new PlacementQueue();
  const controller = new AbortController();
  const work = {...buildWork(0, {isFree: false}), signal: controller.signal};
  const wait = queue.acquire(work);
  controller.abort();
  await assert.rejects(wait, {kind: 'caller_gone'});
  assert.equal(queue.length, 0);
});

test('a server whose reading is taken loses to an idle one that must read more', () => {
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

test('every entry chooses the same owner, and a lost server moves only its own keys', () => {
  const ids = ['a', 'b', 'c', 'd'];
  const keys = Array.from({length: 400}, (unused, index) => `part ${index}`);
  const before = keys.map(key => choosePreferredServer(key, ids));
  assert.deepEqual(
    before,
    keys.map(key => choosePreferredServer(key, [...ids].reverse())),
  );
  const after = keys.map(key => choosePreferredServer(key, ['a', 'b', 'c']));
  const moved = before.filter((owner, index) => owner !== after[index]);
  assert.ok(moved.every(owner => owner === 'd'));
  for (const id of ids) {
    const owned = before.filter(owner => owner === id).length;
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
  // On a full pool the middle model takes more of what the largest would.
  assert.equal(chooseNext(30, 0), 'large');
  assert.equal(chooseNext(30, 1), 'middle');
});

test('a confident answer is kept, and more so on a full pool', () => {
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

test('the largest answer is never asked for again, and baselines never escalate', () => {
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

test('a request that may not run again waits to its end', () => {
  const outlook = {
    isRepeatable: false,
    targetLatencyMs: 300,
    typicalMs: 80,
    pendingMs: 0,
    leftMs: 2_000,
  };
  assert.deepEqual(computeHeadTimeouts(outlook), {
    silentMs: 2_000,
    heardMs: 2_000,
  });
  const repeatable = computeHeadTimeouts({...outlook, isRepeatable: true});
  assert.equal(repeatable.silentServerMs, 240);
  assert.equal(repeatable.activeServerMs, 600);
});

test('reading times are learned by model and bounded', () => {
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
