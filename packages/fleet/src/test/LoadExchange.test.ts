import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import {PrefillRates} from '@sycamorehead/routing';
import type {RolloutEvidence} from '@sycamorehead/schema';
import {MAX_FRAME_BYTES} from '@sycamorehead/wire';
import type {ExchangeRequest, LoadTable} from '../lib/fleetMessages.js';
import {LoadExchange} from '../lib/LoadExchange.js';
import {computeDigestInterval} from '../lib/computeDigestInterval.js';

let clock: ReturnType<typeof fakeTimers.install>;

beforeEach(() => {
  clock = fakeTimers.install({toFake: ['performance']});
});

afterEach(() => {
  clock.uninstall();
});

function buildReport(
  entry: string,
  load: LoadTable,
  overrides: Partial<ExchangeRequest> = {},
): ExchangeRequest {
  return {entry, load, evidence: [], ...overrides};
}

function buildEvidence(answers: number, failures: number): RolloutEvidence {
  const counts = {answers, failures};
  return {service: 'drafts', number: 1, counts: {'drafts s1|new': counts}};
}

function countAnswers(exchange: LoadExchange): number {
  return exchange
    .listEvidence('drafts', 1)
    .flatMap(({servers}) => [...servers.values()])
    .reduce((sum, {answers}) => sum + answers, 0);
}

/** Builds control instances that know each other. */
function buildControls(...names: string[]): LoadExchange[] {
  return names.map(name => new LoadExchange(name, () => names.length));
}

function exchangeDigests(...controls: LoadExchange[]): void {
  const digests = controls.map(control => control.describeDigest());
  controls.forEach((control, index) => {
    digests.forEach((digest, other) => {
      if (other !== index) control.acceptDigest(digest);
    });
  });
}

test('an entry learns the load of entries that report to other instances, without its own', () => {
  const [first, second] = buildControls('c1', 'c2');
  assert.ok(first && second);
  first.exchange(buildReport('e1', {s1: [2, 100]}));
  first.exchange(buildReport('e2', {s1: [1, 50], s2: [1, 10]}));
  second.exchange(buildReport('e3', {s1: [4, 30]}));
  exchangeDigests(first, second);
  clock.tick(60);
  const reply = first.exchange(buildReport('e1', {s1: [9, 900]}));
  assert.deepEqual(reply.load, {s1: [5, 80], s2: [1, 10]});
  assert.equal(reply.entries, 3);
  assert.equal(reply.isIsolated, false);
});

test('the sessions that entries keep fit into a frame, however many entries report', () => {
  const [first] = buildControls('c1');
  assert.ok(first);
  for (let entry = 0; entry < 300; entry += 1) {
    const kept = Array.from({length: 1_000}, (unused, index) =>
      `drafts ${entry} ${index}`.padEnd(64, 'x'),
    );
    first.exchange(buildReport(`e${entry}`, {}, {kept}));
  }
  clock.tick(60);
  const reply = first.exchange(buildReport('e0', {}));
  for (const message of [first.describeDigest(), reply]) {
    assert.ok(message.kept!.length >= 1_000);
    assert.ok(JSON.stringify(message).length < MAX_FRAME_BYTES);
  }
});

test('the load of a lost instance expires, and its entries count once when they report elsewhere', () => {
  const [first, second, third] = buildControls('c1', 'c2', 'c3');
  assert.ok(first && second && third);
  const evidence = [buildEvidence(10, 1)];
  second.exchange(buildReport('e3', {s1: [4, 30]}, {evidence}));
  exchangeDigests(first, second, third);
  assert.equal(countAnswers(first), 10);
  clock.tick(1_600);
  third.exchange(buildReport('e4', {}));
  exchangeDigests(first, third);
  const reply = first.exchange(buildReport('e1', {}));
  assert.deepEqual(reply.load, {});
  first.exchange(buildReport('e3', {s1: [4, 30]}, {evidence}));
  assert.equal(countAnswers(first), 10);
  // The lost instance returns with its old reports.
  exchangeDigests(first, second, third);
  exchangeDigests(first, second, third);
  clock.tick(60);
  assert.equal(countAnswers(first), 10);
  assert.equal(countAnswers(third), 10);
});

test('evidence of an entry outlives a pause of its reports', () => {
  const [control] = buildControls('c1');
  assert.ok(control);
  const evidence = [buildEvidence(10, 4)];
  control.exchange(buildReport('e1', {s1: [1, 1]}, {evidence}));
  clock.tick(5_000);
  assert.equal(countAnswers(control), 10);
  assert.equal(control.countInFlight(new Set(['s1'])), 0);
});

test('an instance that hears less than half of the others says so', () => {
  const controls = buildControls('c1', 'c2', 'c3', 'c4', 'c5');
  const [first, second, third] = controls;
  assert.ok(first && second && third);
  assert.equal(first.exchange(buildReport('e1', {})).isIsolated, true);
  exchangeDigests(first, second);
  assert.equal(first.exchange(buildReport('e1', {})).isIsolated, true);
  exchangeDigests(first, second, third);
  assert.equal(first.exchange(buildReport('e1', {})).isIsolated, false);
  clock.tick(1_600);
  assert.equal(first.exchange(buildReport('e1', {})).isIsolated, true);
});

test('requests in flight on the old version are counted over all instances', () => {
  const [first, second] = buildControls('c1', 'c2');
  assert.ok(first && second);
  first.exchange(buildReport('e1', {s1: [2, 0], s2: [7, 0]}));
  second.exchange(buildReport('e2', {s1: [3, 0]}));
  exchangeDigests(first, second);
  clock.tick(60);
  assert.equal(first.countInFlight(new Set(['s1'])), 5);
});

test('an entry learns that others receive from a server, but not from itself', () => {
  const [first, second] = buildControls('c1', 'c2');
  assert.ok(first && second);
  first.exchange(buildReport('e1', {s1: [0, 0, 1], s2: [1, 5, 1]}));
  second.exchange(buildReport('e2', {s2: [1, 5, 1]}));
  exchangeDigests(first, second);
  clock.tick(60);
  const reply = first.exchange(buildReport('e1', {}));
  assert.deepEqual(reply.load, {s2: [1, 5, 1]});
});

test('what servers hold and their pace are summed, also with reports of earlier builds', () => {
  const [first, second] = buildControls('c1', 'c2');
  assert.ok(first && second);
  first.exchange(buildReport('e1', {s1: [1, 10, 1, 900, 50, 100, -30]}));
  first.exchange(buildReport('e2', {s1: [2, 20]}));
  second.exchange(buildReport('e3', {s1: [1, 10, 0, 700, 20, 300, 90]}));
  second.exchange(buildReport('e4', {s2: [0, 0, 0, 0, 0, 40, -20]}));
  exchangeDigests(first, second);
  clock.tick(60);
  const reply = first.exchange(buildReport('e1', {}));
  assert.deepEqual(reply.load, {
    s1: [3, 30, 0, 700, 20, 300, 90],
    s2: [0, 0, 0, 0, 0, 40, -20],
  });
});

test('an entry receives the measurements of prefill of all other entries', () => {
  const [first, second] = buildControls('c1', 'c2');
  assert.ok(first && second);
  const rates = [new PrefillRates(), new PrefillRates(), new PrefillRates()];
  rates.forEach(rate => {
    for (let round = 0; round < 15; round += 1) {
      const tokens = 1_000 * (1 + (round % 5));
      rate.recordPrefill('large', tokens, 60 + tokens * 0.06);
    }
  });
  const [own, near, far] = rates.map(rate => rate.listSums());
  first.exchange(buildReport('e1', {}, {prefill: own}));
  first.exchange(buildReport('e2', {}, {prefill: near}));
  second.exchange(buildReport('e3', {}, {prefill: far}));
  exchangeDigests(first, second);
  clock.tick(60);
  const reply = first.exchange(buildReport('e1', {}, {prefill: own}));
  const weight = (own?.['large']?.weight ?? 0) * 2;
  assert.equal(reply.prefill?.['large']?.weight.toFixed(6), weight.toFixed(6));
  const fresh = new PrefillRates();
  const assumedMs = fresh.estimateMs('large', 10_000);
  fresh.setOthers(reply.prefill ?? {});
  const learnedMs = fresh.estimateMs('large', 10_000);
  assert.ok(Math.abs(learnedMs - 600) < Math.abs(assumedMs - 600) / 3);
});

test('servers that leave and kept sessions are named to the entries of other instances', () => {
  const [first, second] = buildControls('c1', 'c2');
  assert.ok(first && second);
  const kept = ['drafts session'];
  first.exchange(buildReport('e1', {}, {leaving: ['s1 7'], kept}));
  exchangeDigests(first, second);
  const reply = second.exchange(buildReport('e2', {}));
  assert.deepEqual(reply.leaving, ['s1 7']);
  assert.deepEqual(reply.kept, kept);
});

test('a reply lists servers, not entries: its size does not grow with the fleet', () => {
  const measureReply = (entries: number) => {
    const [first, second] = buildControls('c1', 'c2');
    assert.ok(first && second);
    for (let index = 0; index < entries; index += 1) {
      const control = index % 2 === 0 ? first : second;
      control.exchange(buildReport(`e${index}`, {s1: [1, 1], s2: [1, 1]}));
    }
    exchangeDigests(first, second);
    clock.tick(60);
    const reply = first.exchange(buildReport('e0', {}));
    return JSON.stringify(reply).length;
  };
  assert.ok(measureReply(1_000) < measureReply(10) + 20);
});

test('digests are rarer in a small fleet', () => {
  const intervals = [0, 8, 60, 195, 1_482].map(computeDigestInterval);
  assert.deepEqual(intervals, [400, 400, 200, 100, 100]);
  const [first, second] = buildControls('c1', 'c2');
  assert.ok(first && second);
  first.exchange(buildReport('e1', {}));
  second.exchange(buildReport('e2', {}));
  exchangeDigests(first, second);
  clock.tick(60);
  assert.equal(first.countEntries(), 2);
});

test('two instances that do not hear each other do not both count as all there are', () => {
  const [left, right, middle] = ['c1', 'c2', 'c3'].map(
    name => new LoadExchange(name, () => 3),
  ) as [LoadExchange, LoadExchange, LoadExchange];
  const all = [left, right, middle];
  const exchangeAll = (isCut: boolean) => {
    clock.tick(100);
    all.forEach((exchange, index) => {
      exchange.exchange(buildReport(`e${index}`, {}));
      exchange.exchange(buildReport(`f${index}`, {}));
    });
    for (const sender of all) {
      for (const receiver of all) {
        const isMiddle = sender === middle || receiver === middle;
        if (sender === receiver || (isCut && !isMiddle)) continue;
        receiver.acceptDigest(sender.describeDigest());
      }
    }
  };
  const sumShares = () =>
    all.reduce((sum, exchange) => sum + exchange.computeFirmShare(), 0);
  for (let round = 0; round < 7; round += 1) {
    exchangeAll(false);
    assert.ok(sumShares() <= 1 + 1e-9, `${sumShares()} in all, new entries`);
  }
  clock.tick(60);
  assert.ok(Math.abs(sumShares() - 1) < 1e-9, `${sumShares()} in all`);
  for (let round = 0; round < 100; round += 1) {
    exchangeAll(true);
    assert.ok(sumShares() <= 1 + 1e-9, `${sumShares()} in all, cut`);
  }
});

/** Which control instances hear which, by their indexes. */
type Hearing = (sender: number, receiver: number) => boolean;

/** Cuts between five control instances after which each of several still hears most others. */
const CUTS: Readonly<Record<string, Hearing>> = {
  'a ring': (sender, receiver) => [1, 4].includes((receiver - sender + 5) % 5),
  'a ring and one link': (sender, receiver) =>
    [1, 4].includes((receiver - sender + 5) % 5) || sender + receiver === 2,
  'a star': (sender, receiver) => sender === 0 || receiver === 0,
  'a group of three and one of two with one link': (sender, receiver) =>
    sender < 3 === receiver < 3 || sender + receiver === 5,
  'one that is not heard': sender => sender !== 0,
  'one that is heard by one': (sender, receiver) =>
    sender !== 0 || receiver === 1,
  'a ring in one direction': (sender, receiver) =>
    [1, 2].includes((receiver - sender + 5) % 5),
};

for (const [name, isHeard] of Object.entries(CUTS)) {
  for (const counts of [
    [2, 2, 2, 2, 2],
    [9, 1, 0, 6, 2],
  ]) {
    test(`shares of five instances add up to one at most for good: ${name}, entries ${counts.join(' ')}`, () => {
      const all = buildControls('c1', 'c2', 'c3', 'c4', 'c5');
      const exchangeAll = (isCut: boolean) => {
        clock.tick(100);
        all.forEach((exchange, index) => {
          for (let entry = 0; entry < (counts[index] ?? 0); entry += 1) {
            exchange.exchange(buildReport(`e${index}.${entry}`, {}));
          }
        });
        all.forEach((sender, from) => {
          all.forEach((receiver, to) => {
            if (sender === receiver || (isCut && !isHeard(from, to))) return;
            receiver.acceptDigest(sender.describeDigest());
          });
        });
      };
      const sumShares = () =>
        all.reduce((sum, exchange) => sum + exchange.computeFirmShare(), 0);
      for (let round = 0; round < 20; round += 1) exchangeAll(false);
      clock.tick(60);
      assert.ok(Math.abs(sumShares() - 1) < 1e-9, `${sumShares()} in all`);
      // Longer than the most entries of late are remembered.
      for (let round = 0; round < 500; round += 1) {
        exchangeAll(true);
        assert.ok(sumShares() <= 1 + 1e-9, `${sumShares()} in all, cut`);
      }
    });
  }
}

test('an instance whose neighbours hear most others goes on with its part where five are cut to a ring', () => {
  const all = buildControls('c1', 'c2', 'c3', 'c4', 'c5');
  for (let round = 0; round < 500; round += 1) {
    clock.tick(100);
    all.forEach((exchange, index) =>
      exchange.exchange(buildReport(`e${index}`, {})),
    );
    all.forEach((sender, from) => {
      for (const step of [1, 4]) {
        all[(from + step) % 5]?.acceptDigest(sender.describeDigest());
      }
    });
  }
  clock.tick(60);
  for (const exchange of all) {
    assert.ok(Math.abs(exchange.computeFirmShare() - 1 / 5) < 1e-9);
  }
});
