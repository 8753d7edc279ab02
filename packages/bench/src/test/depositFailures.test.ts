import assert from 'node:assert/strict';
import {after, before, beforeEach, test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {DeliveryHarness} from './DeliveryHarness.js';
import type {LossPoint} from './controlFaults.js';

const DEPOSIT_PATH = 'orders/once';
/** Longer than the timeout after which the owner of a call counts as lost. */
const OWNER_TIMEOUT_MS = 60_000;

let harness: DeliveryHarness;
let wallClock: Clock;

before(async () => {
  // Fakes only the wall clock, which determines when the owner of a call counts as lost.
  wallClock = FakeTimers.install({toFake: ['Date'], now: Date.now()});
  harness = await new DeliveryHarness({entries: 2, replicas: 1}).start();
});

beforeEach(() => {
  for (const faults of harness.faults) faults.clear();
  const [service] = harness.services;
  service!.faults.resetsAfterRun = false;
  service!.faults.silentAfterRun = false;
});

after(async () => {
  await harness.stop();
  wallClock.uninstall();
});

async function isBilled(key: string): Promise<boolean> {
  const keys = await harness.listBilledKeys();
  return keys.includes(`services/orders/${key}`);
}

interface LossCase {
  readonly title: string;
  readonly lossPoint: LossPoint;
  /** Answer of the other entry to a call resent at once. */
  readonly resentOutcome: string;
  /** Answer of the other entry after the first one counts as lost. */
  readonly laterOutcome: string;
  readonly runCount: number;
  readonly isBilled: boolean;
}

/**
 * An entry is lost at different points of a call that must not be repeated. The entry that gets the
 * resent key must not run a call that may already have been dispatched.
 */
const LOSS_CASES: readonly LossCase[] = [
  {
    title: 'before its intent',
    lossPoint: {method: 'beginRequest', when: 'before'},
    resentOutcome: 'answered',
    laterOutcome: 'answered',
    runCount: 1,
    isBilled: true,
  },
  {
    title: 'after its intent',
    lossPoint: {method: 'beginRequest', when: 'after'},
    resentOutcome: 'in_progress unknown',
    laterOutcome: 'outcome_unknown unknown',
    runCount: 0,
    isBilled: false,
  },
  {
    title: 'after dispatch and the result',
    lossPoint: {method: 'finishRequest', when: 'before'},
    resentOutcome: 'in_progress unknown',
    laterOutcome: 'outcome_unknown unknown',
    runCount: 1,
    isBilled: false,
  },
  {
    title: 'before the answer',
    lossPoint: {method: 'finishRequest', when: 'after'},
    resentOutcome: 'answered',
    laterOutcome: 'answered',
    runCount: 1,
    isBilled: true,
  },
];

for (const loss of LOSS_CASES) {
  test(`entry lost ${loss.title} of a deposit, key resent to another entry`, async () => {
    const key = loss.title.replaceAll(' ', '-');
    const [first, second] = harness.callers;
    harness.faults[0]!.lossPoint = loss.lossPoint;
    const lost = first!.callService('POST', DEPOSIT_PATH, key);
    await harness.waitFor(() => harness.faults[0]!.isLost);
    const callOther = async () => {
      const {isComplete, kind, ran} = await second!.callService(
        'POST',
        DEPOSIT_PATH,
        key,
      );
      return isComplete ? 'answered' : `${kind} ${ran}`;
    };
    assert.equal(await callOther(), loss.resentOutcome);
    wallClock.tick(OWNER_TIMEOUT_MS);
    assert.equal(await callOther(), loss.laterOutcome);
    assert.equal(await callOther(), loss.laterOutcome);
    assert.equal(harness.countRuns(key), loss.runCount);
    assert.equal(await isBilled(key), loss.isBilled);
    harness.faults[0]!.clear();
    await lost;
  });
}

test('entry lost after dispatch, before the result', async () => {
  const [service] = harness.services;
  service!.faults.silentAfterRun = true;
  const [first, second] = harness.callers;
  const lost = first!.callService('POST', DEPOSIT_PATH, 'dispatched');
  await harness.waitFor(() => harness.countRuns('dispatched') === 1);
  harness.faults[0]!.isLost = true;
  service!.faults.silentAfterRun = false;
  const resent = await second!.callService('POST', DEPOSIT_PATH, 'dispatched');
  assert.deepEqual([resent.kind, resent.ran], ['in_progress', 'unknown']);
  wallClock.tick(OWNER_TIMEOUT_MS);
  const later = await second!.callService('POST', DEPOSIT_PATH, 'dispatched');
  assert.deepEqual([later.kind, later.ran], ['outcome_unknown', 'unknown']);
  assert.equal(harness.countRuns('dispatched'), 1);
  assert.equal(await isBilled('dispatched'), false);
  harness.faults[0]!.clear();
  await lost;
});

test('concurrent calls with one key through two entries run once', async () => {
  const calls = harness.callers.flatMap(caller =>
    [1, 2, 3].map(() => caller.callService('POST', DEPOSIT_PATH, 'twice')),
  );
  const results = await Promise.all(calls);
  const completeResults = results.filter(({isComplete}) => isComplete);
  assert.ok(completeResults.length >= 1);
  for (const {isComplete, kind} of results) {
    assert.ok(isComplete || kind === 'in_progress', kind);
  }
  assert.equal(
    new Set(completeResults.map(({text}) => text)).size,
    1,
    'complete answers differ',
  );
  assert.equal(harness.countRuns('twice'), 1);
  const keys = await harness.listBilledKeys();
  assert.equal(keys.filter(key => key.endsWith('/twice')).length, 1);
});

test('a key reused with another body, path or query is an error', async () => {
  const [first, second] = harness.callers;
  await first!.callService('POST', DEPOSIT_PATH, 'reused');
  const others = [
    second!.callService('POST', DEPOSIT_PATH, 'reused', '{"amount":2}'),
    second!.callService('POST', `${DEPOSIT_PATH}/more`, 'reused'),
    second!.callService('POST', `${DEPOSIT_PATH}?x=1`, 'reused'),
  ];
  for (const {status, kind} of await Promise.all(others)) {
    assert.deepEqual([status, kind], [422, 'idempotency_key_reused']);
  }
  assert.equal(harness.countRuns('reused'), 1);
});

test('connection reset after the call was sent: outcome unknown, never run again', async () => {
  const [service] = harness.services;
  service!.faults.resetsAfterRun = true;
  const [first, second] = harness.callers;
  const result = await first!.callService('POST', DEPOSIT_PATH, 'reset');
  assert.deepEqual([result.kind, result.ran], ['outcome_unknown', 'unknown']);
  service!.faults.resetsAfterRun = false;
  const resent = await second!.callService('POST', DEPOSIT_PATH, 'reset');
  assert.deepEqual([resent.kind, resent.ran], ['outcome_unknown', 'unknown']);
  assert.equal(harness.countRuns('reset'), 1);
  assert.equal(await isBilled('reset'), false);
});

test('a call to an unreachable replica was not run there and is sent to another replica', async () => {
  // Nothing listens on the discard port.
  const address = 'http://127.0.0.1:9';
  harness.announce({id: 'gone', address, kind: 'service', service: 'orders'});
  for (const key of ['reach-1', 'reach-2', 'reach-3']) {
    const result = await harness.callers[0]!.callService(
      'POST',
      DEPOSIT_PATH,
      key,
    );
    assert.equal(result.status, 200, result.kind);
    assert.equal(harness.countRuns(key), 1);
  }
  const state = 'leaving';
  harness.announce({
    id: 'gone',
    address,
    kind: 'service',
    service: 'orders',
    state,
  });
});

test('a refused call was not run and leaves its key free', async () => {
  const address = 'http://127.0.0.1:9';
  harness.announce({
    id: 'rota-gone',
    address,
    kind: 'service',
    service: 'rota',
  });
  const [first, second] = harness.callers;
  const result = await first!.callService('POST', 'rota/once', 'free');
  assert.equal(result.ran, 'no');
  const resent = await second!.callService('POST', 'rota/once', 'free');
  assert.equal(
    resent.ran,
    'no',
    'the refused call left a record under its key',
  );
});

for (const outage of ['unseen', 'result_lost'] as const) {
  test(`quorum lost (${outage}) while an unknown outcome is recorded: not run again`, async () => {
    const key = `quorum-${outage}`;
    const [first, second] = harness.callers;
    const [service] = harness.services;
    service!.faults.silentAfterRun = true;
    const call = first!.callService('POST', DEPOSIT_PATH, key);
    await harness.waitFor(() => harness.countRuns(key) === 1);
    // The entry abandons the call while control is unavailable, and records the outcome later.
    harness.faults[0]!.outage = outage;
    const result = await call;
    assert.deepEqual([result.kind, result.ran], ['outcome_unknown', 'unknown']);
    service!.faults.silentAfterRun = false;
    harness.faults[0]!.outage = 'none';
    await harness.waitFor(async () => {
      const resent = await second!.callService('POST', DEPOSIT_PATH, key);
      return resent.kind === 'outcome_unknown';
    });
    assert.equal(harness.countRuns(key), 1);
  });
}

test('an answer whose record cannot be committed is withheld, then replayed', async () => {
  const [first, second] = harness.callers;
  const [faults] = harness.faults;
  const apply = faults!.run.bind(faults);
  faults!.run = (method, command) => {
    if (method === 'finishRequest') faults!.outage = 'unseen';
    return apply(method, command);
  };
  const result = await first!.callService('POST', DEPOSIT_PATH, 'withheld');
  assert.deepEqual([result.kind, result.ran], ['bill_pending', 'yes']);
  assert.equal(await isBilled('withheld'), false);
  faults!.run = apply;
  faults!.outage = 'none';
  await harness.waitFor(() => isBilled('withheld'));
  const resent = await second!.callService('POST', DEPOSIT_PATH, 'withheld');
  assert.equal(resent.status, 200);
  assert.equal(resent.headers['sycamorehead-replayed'], 'true');
  assert.equal(harness.countRuns('withheld'), 1);
});

for (const outage of ['unseen', 'result_lost'] as const) {
  test(`control unavailable (${outage}) at the intent: not run, and the key stays free`, async () => {
    const key = `intent-${outage}`;
    harness.faults[0]!.outage = outage;
    const result = await harness.callers[0]!.callService(
      'POST',
      DEPOSIT_PATH,
      key,
    );
    assert.deepEqual([result.kind, result.ran], ['control_unavailable', 'no']);
    assert.equal(harness.countRuns(key), 0);
    harness.faults[0]!.outage = 'none';
    await harness.waitFor(async () => {
      const resent = await harness.callers[1]!.callService(
        'POST',
        DEPOSIT_PATH,
        key,
      );
      return resent.isComplete;
    });
    assert.equal(harness.countRuns(key), 1);
    assert.equal(await isBilled(key), true);
  });
}
