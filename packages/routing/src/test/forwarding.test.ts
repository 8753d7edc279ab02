import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';

import {AnswerValues} from '../lib/forwarding/AnswerValues.js';
import {ConfidenceGains} from '../lib/forwarding/ConfidenceGains.js';
import {chooseModel, isWorthEscalating} from '../lib/forwarding/chooseModel.js';
import {EngineTimePrices} from '../lib/forwarding/EngineTimePrices.js';
import {choosePreferredServers} from '../lib/forwarding/choosePreferredServers.js';
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

test('a part of the retry budget is kept for failures', () => {
  const budget = new RetryBudget({ratio: 0.9, slack: 0, windowMs: 10_000});
  for (let round = 0; round < 100; round += 1) budget.recordRequest();
  while (budget.hasCapacity(1, 0.8)) budget.acquire(1);
  let left = 0;
  while (budget.acquire(1)) left += 1;
  assert.ok(left >= 10, `${left} sends are left`);
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
    customer: undefined,
    kind: 'drafts',
    work: 1,
    draw: 0,
    needs: '',
    size: 1,
    startBy: performance.now() + waitMs,
    abandonAt: performance.now() + waitMs,
    deadlineAt: performance.now() + 2 * waitMs,
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

test('a server that has kept a long part of the prompt is worth some wait, but not any', () => {
  const server = {
    load: 3,
    slots: 12,
    isSameDataCentre: true,
    isSilent: false,
    slowness: 1,
  };
  const idle = scoreServer('sampled', {...server, pendingMs: 0, ownMs: 250});
  const rateKept = (pendingMs: number) =>
    scoreServer('sampled', {...server, pendingMs, ownMs: 100});
  assert.ok(rateKept(400) < idle);
  assert.ok(rateKept(900) > idle);
});

test('every entry chooses the same preferred servers, and a lost server moves only its own keys', () => {
  const ids = ['a', 'b', 'c', 'd'];
  const keys = Array.from({length: 400}, (unused, index) => `part ${index}`);
  const before = keys.map(key => choosePreferredServers(key, ids));
  assert.deepEqual(
    before,
    keys.map(key => choosePreferredServers(key, [...ids].reverse())),
  );
  const after = keys.map(key => choosePreferredServers(key, ['a', 'b', 'c']));
  before.forEach(({first, second}, index) => {
    // The second choice takes over the keys of a lost server.
    assert.equal(after[index]?.first, first === 'd' ? second : first);
    assert.notEqual(second, first);
  });
  for (const id of ids) {
    const owned = before.filter(({first}) => first === id).length;
    assert.ok(owned > 60 && owned < 140, `${id} owns ${owned}`);
  }
});

const MODELS = [
  {name: 'small', price: 0.06, delayCost: 0, gain: 0, isLate: false},
  {name: 'middle', price: 0.44, delayCost: 0, gain: 17, isLate: false},
  {name: 'large', price: 0.85, delayCost: 0, gain: 55, isLate: false},
];
const WEAK_CHOICE = {
  models: MODELS,
  previous: 'small',
  confidence: 5,
  pressure: 0,
  answerValue: 3.8,
};

test('by thresholds, a weak answer goes to a larger model, a nearly good one to the middle model', () => {
  const chooseNext = (confidence: number, pressure = 0) =>
    chooseModel('thresholds', {...WEAK_CHOICE, confidence, pressure});
  assert.equal(chooseNext(5), 'large');
  assert.equal(chooseNext(45), 'middle');
  // On a full pool the middle model takes more of the requests that would go to the largest.
  assert.equal(chooseNext(30, 0), 'large');
  assert.equal(chooseNext(30, 1), 'middle');
});

test('a confident answer is accepted, on a full pool at a lower confidence (thresholds)', () => {
  const isWeak = (confidence: number, pressure: number) =>
    isWorthEscalating('thresholds', {...WEAK_CHOICE, confidence, pressure});
  assert.equal(isWeak(90, 0), false);
  assert.equal(isWeak(55, 0), true);
  assert.equal(isWeak(55, 1), false);
  assert.equal(isWeak(10, 1), true);
});

test('a confident answer is accepted, at a lower confidence if a larger model delays others (expected_value)', () => {
  const isWeak = (confidence: number, delayFactor: number) =>
    isWorthEscalating('expected_value', {
      ...WEAK_CHOICE,
      confidence,
      models: MODELS.map(model => ({
        ...model,
        delayCost: model.price * delayFactor,
      })),
    });
  assert.equal(isWeak(90, 0), false);
  assert.equal(isWeak(44, 0), true);
  assert.equal(isWeak(44, 2), false);
  assert.equal(isWeak(10, 2), true);
  assert.equal(isWeak(10, 4), false);
});

test('engine time has a price once the requests with the shortest target latency would be late', () => {
  const prices = new EngineTimePrices();
  assert.equal(prices.estimatePrice('drafts', 5_000), 0);
  const chat = {route: 'chats', value: 3, targetLatencyMs: 1_000};
  const review = {route: 'reviews', value: 1, targetLatencyMs: 8_000};
  prices.recordRequest('drafts', chat);
  prices.recordRequest('drafts', review);
  prices.recordSend('drafts', 100);
  const estimatePrice = (pendingMs: number) =>
    Number(prices.estimatePrice('drafts', pendingMs).toFixed(6));
  assert.equal(estimatePrice(300), 0);
  assert.equal(estimatePrice(800), 0.03);
  assert.equal(estimatePrice(6_400), 0.04);
  assert.equal(estimatePrice(Infinity), 0.04);
  assert.equal(prices.estimatePrice('notes', 6_400), 0);
});

test('an answer of the largest model never escalates, and baseline policies never do', () => {
  const choice = {...WEAK_CHOICE, previous: 'large', confidence: 1};
  assert.equal(isWorthEscalating('expected_value', choice), false);
  assert.equal(isWorthEscalating('thresholds', choice), false);
  const small = {...choice, previous: 'small'};
  assert.equal(isWorthEscalating('smallest', small), false);
});

test('the middle model is asked only where it probably suffices', () => {
  const chooseNext = (confidence: number) =>
    chooseModel('expected_value', {...WEAK_CHOICE, confidence});
  assert.equal(chooseNext(0), 'large');
  assert.equal(chooseNext(20), 'large');
  assert.equal(chooseNext(36), 'middle');
  assert.equal(chooseNext(44), 'middle');
});

test('an answer of little value is not requested again at a price above it', () => {
  const choice = {...WEAK_CHOICE, answerValue: 0.4};
  assert.equal(isWorthEscalating('expected_value', choice), false);
  const cheap = MODELS.map(model => ({...model, price: model.price / 10}));
  const isWeak = isWorthEscalating('expected_value', {
    ...choice,
    models: cheap,
  });
  assert.equal(isWeak, true);
});

test('a larger model that would answer late is asked only for a much better answer', () => {
  const models = MODELS.map(model => ({...model, isLate: true}));
  const isWeak = (confidence: number) =>
    isWorthEscalating('expected_value', {...WEAK_CHOICE, models, confidence});
  assert.equal(isWeak(50), false);
  assert.equal(isWeak(10), true);
});

test('a weak answer of the middle model goes to the largest', () => {
  const choice = {...WEAK_CHOICE, previous: 'middle', confidence: 30};
  assert.equal(isWorthEscalating('expected_value', choice), true);
  assert.equal(chooseModel('expected_value', choice), 'large');
});

test('gains in confidence are learned from pairs of answers, except from cut-off ones', () => {
  const gains = new ConfidenceGains();
  const pair = {smaller: 'small', larger: 'large'};
  const assumed = gains.estimateGain('small', 'large', true);
  for (let round = 0; round < 200; round += 1) {
    gains.record(pair, 0, 30, true);
    gains.record(pair, 60, 100, true);
  }
  assert.equal(gains.estimateGain('small', 'large', true), assumed);
  for (let round = 0; round < 400; round += 1) gains.record(pair, 30, 60, true);
  const learned = gains.estimateGain('small', 'large', true);
  assert.ok(learned > 29 && learned < 33, `${learned}`);
});

test('the value of an answer follows the size of its request and the typical one of its route', () => {
  const values = new AnswerValues(10);
  const usual = {promptTokens: 6_000, answerTokens: 400};
  for (let round = 0; round < 300; round += 1) values.record('drafts', usual);
  assert.equal(values.estimateValue('drafts', usual).toFixed(2), '4.00');
  const double = {promptTokens: 12_000, answerTokens: 800};
  assert.equal(values.estimateValue('drafts', double).toFixed(2), '6.80');
  const tiny = {promptTokens: 0, answerTokens: 0};
  assert.equal(values.estimateValue('drafts', tiny).toFixed(2), '1.20');
  const other = {promptTokens: 2_000, answerTokens: 20};
  assert.equal(values.estimateValue('labels', other).toFixed(2), '0.20');
});

test('a request that may not run again waits until its deadline', () => {
  const input = {
    isRepeatable: false,
    targetLatencyMs: 300,
    typicalMs: 80,
    pendingMs: 0,
    pressure: 1,
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

test('an active server is abandoned sooner while the engines are idle', () => {
  const input = {
    isRepeatable: true,
    targetLatencyMs: 1_000,
    typicalMs: 60,
    pendingMs: 0,
    pressure: 0,
    leftMs: 9_000,
  };
  assert.equal(computeHeadTimeouts(input).activeServerMs, 500);
  const full = computeHeadTimeouts({...input, pressure: 3});
  assert.equal(full.activeServerMs, 2_000);
});

test('prefill times are learned by model, apart from the time that every request takes', () => {
  const rates = new PrefillRates();
  const rateByModel = {small: 0.01, large: 0.05};
  const assumed = rates.estimateMs('small', 1_000);
  for (let round = 0; round < 120; round += 1) {
    const tokens = 400 + (round % 12) * 1_000;
    // Every fifth request is delayed by work that was not known.
    const delayMs = round % 5 === 0 ? 700 : 0;
    for (const [model, rate] of Object.entries(rateByModel)) {
      rates.recordPrefill(model, tokens, 60 + rate * tokens + delayMs);
    }
  }
  assert.ok(rates.estimateMs('small', 1_000) < assumed);
  for (const [model, rate] of Object.entries(rateByModel)) {
    const ratio = rates.estimateMs(model, 10_000) / (rate * 10_000);
    assert.ok(ratio > 0.7 && ratio < 1.4, `${model}: ${ratio}`);
  }
});

test('implausible prefill times are bounded', () => {
  const rates = new PrefillRates();
  for (let round = 0; round < 500; round += 1) {
    rates.recordPrefill('stuck', 10 + (round % 7), 90_000);
    rates.recordPrefill('instant', 9_000 + round, 0.001);
  }
  assert.ok(rates.estimateMs('stuck', 1_000) <= 500);
  assert.ok(rates.estimateMs('instant', 1_000) > 0);
});

test('a server that is nearly full scores worse than one with long work, an idle one barely better', () => {
  const buildServer = (load: number, pendingMs: number) => ({
    load,
    pendingMs,
    slots: 12,
    ownMs: 30,
    isSameDataCentre: true,
    isSilent: false,
    slowness: 1,
  });
  const idle = scoreServer('sampled', buildServer(1, 0));
  const half = scoreServer('sampled', buildServer(6, 0));
  const nearlyFull = scoreServer('sampled', buildServer(11, 0));
  assert.ok(half - idle < 100, `${half - idle}`);
  assert.ok(nearlyFull - half > 150, `${nearlyFull - half}`);
  assert.ok(nearlyFull > scoreServer('sampled', buildServer(4, 150)));
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
