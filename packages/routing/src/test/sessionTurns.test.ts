import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import {SycamoreheadError} from '@sycamorehead/schema';
import {PlacementQueue, WaitingWork} from '../lib/forwarding/PlacementQueue.js';
import {QueuePolicy} from '../lib/forwarding/QueuePolicy.js';

let clock: ReturnType<typeof fakeTimers.install>;

beforeEach(() => {
  clock = fakeTimers.install({
    toFake: ['performance', 'setTimeout', 'clearTimeout'],
  });
});

afterEach(() => {
  clock.uninstall();
});

function buildWork(
  session: string,
  overrides: Partial<WaitingWork<true>> = {},
): WaitingWork<true> {
  const now = performance.now();
  return {
    priority: 1,
    customer: 'c',
    session,
    kind: 'chat',
    work: 1,
    draw: 0,
    needs: '',
    size: 1,
    startBy: now + 1_000,
    abandonAt: now + 1_000,
    deadlineAt: now + 60_000,
    signal: new AbortController().signal,
    tryReserveSlot: () => undefined,
    ...overrides,
  };
}

/** Builds a queue at which the session `s` is owed a turn. */
function buildOwed() {
  const policy = new QueuePolicy(() => 0.5);
  for (let round = 0; round < 4; round += 1) {
    for (let count = 0; count < 40; count += 1) {
      policy.recordPlaced(policy.classifyRequest(buildWork('another')));
    }
    const unlucky = policy.classifyRequest(buildWork('s'));
    clock.tick(policy.refuse(unlucky, 'expired').retryAfterMs ?? 0);
  }
  return {policy, queue: new PlacementQueue(policy)};
}

function refusePointless(): never {
  throw new SycamoreheadError('overloaded', 'no server', {ran: 'no'});
}

test('a session keeps the turn that it is owed when the caller of a waiting request leaves', async () => {
  const {policy, queue} = buildOwed();
  const caller = new AbortController();
  const waiting = queue.acquire(buildWork('s', {signal: caller.signal}));
  assert.equal(policy.classifyRequest(buildWork('s')).isOwed, false);
  caller.abort();
  await assert.rejects(waiting, {kind: 'caller_gone'});
  assert.equal(policy.classifyRequest(buildWork('s')).isOwed, true);
});

test('a session keeps the turn that it is owed when waiting is pointless for its request', async () => {
  const {policy, queue} = buildOwed();
  const tryReserveSlot = refusePointless;
  await assert.rejects(queue.acquire(buildWork('s', {tryReserveSlot})));
  assert.equal(policy.classifyRequest(buildWork('s')).isOwed, true);
});

test('a session keeps the turn that it is owed when waiting becomes pointless for its request', async () => {
  const {policy, queue} = buildOwed();
  let isPointless = false;
  const waiting = queue.acquire(
    buildWork('s', {
      tryReserveSlot: () => (isPointless ? refusePointless() : undefined),
    }),
  );
  isPointless = true;
  queue.offerSlots();
  await assert.rejects(waiting, {kind: 'overloaded'});
  assert.equal(policy.classifyRequest(buildWork('s')).isOwed, true);
});

test('a request that does not wait takes no turn of its session', () => {
  const {policy, queue} = buildOwed();
  assert.equal(queue.tryAcquire(buildWork('s')), undefined);
  assert.equal(policy.classifyRequest(buildWork('s')).isOwed, true);
});
