import assert from 'node:assert/strict';
import {test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import fc from 'fast-check';
import {SycamoreheadError} from '@sycamorehead/schema';
import {computeFairRates} from '../lib/computeFairRates.js';
import {FairShareAdmission} from '../lib/FairShareAdmission.js';
import type {RoutingContext} from '../lib/RoutingContext.js';
import type {AdmissionTicket, RoutedRequest} from '../lib/routingTypes.js';
import {
  buildContext,
  buildCustomer,
  buildRequest,
  buildServer,
  recordSpeed,
} from './fixtures.js';

const TOKEN_MS = 10;
const SLOTS = 8;

type Clock = ReturnType<typeof FakeTimers.install>;

interface AdmissionResult {
  readonly request: RoutedRequest;
  readonly requestedAt: number;
  ticket?: AdmissionTicket;
  grantedAt?: number;
  error?: SycamoreheadError;
  refusedAt?: number;
}

/** Starts admission over two servers of four slots with 10 ms per token. */
function startAdmission(): {
  context: RoutingContext;
  admission: FairShareAdmission;
} {
  const servers = [buildServer('e1'), buildServer('e2')];
  const context = buildContext(servers);
  recordSpeed(context, servers, TOKEN_MS);
  return {context, admission: new FairShareAdmission(context)};
}

async function requestAdmission(
  admission: FairShareAdmission,
  request: RoutedRequest,
): Promise<AdmissionResult> {
  const result: AdmissionResult = {request, requestedAt: performance.now()};
  void admission.admit(request).then(
    ticket => {
      result.ticket = ticket;
      result.grantedAt = performance.now();
    },
    (error: SycamoreheadError) => {
      result.error = error;
      result.refusedAt = performance.now();
    },
  );
  await Promise.resolve();
  return result;
}

/** Requests the admission of many requests at once. */
async function requestMany(
  admission: FairShareAdmission,
  count: number,
  build: () => RoutedRequest,
): Promise<AdmissionResult[]> {
  const all: AdmissionResult[] = [];
  for (let index = 0; index < count; index++) {
    all.push(await requestAdmission(admission, build()));
  }
  return all;
}

async function runWithFakeClock(
  run: (clock: Clock) => Promise<void>,
): Promise<void> {
  const clock = FakeTimers.install();
  try {
    await run(clock);
  } finally {
    // Requests that still wait are refused, so that no promise is left pending.
    await clock.tickAsync(30_000);
    clock.uninstall();
  }
}

function listGranted(all: readonly AdmissionResult[]): AdmissionResult[] {
  return all.filter(({ticket}) => ticket);
}

function listRefused(all: readonly AdmissionResult[]): AdmissionResult[] {
  return all.filter(({error}) => error);
}

test('a request that cannot meet its deadline is refused immediately, as not run and with a retry delay', () =>
  runWithFakeClock(async clock => {
    const {admission} = startAdmission();
    const all = await requestMany(admission, 300, buildRequest);
    await clock.tickAsync(0);
    const refused = listRefused(all);
    assert.ok(refused.length > 100, `${refused.length} were refused`);
    for (const {error, requestedAt, refusedAt} of refused) {
      assert.equal(error?.kind, 'overloaded');
      assert.equal(error?.ran, 'no');
      assert.ok((error?.retryAfterMs ?? 0) > 0);
      assert.equal(refusedAt, requestedAt);
    }
    const granted = listGranted(all);
    assert.ok(granted.length >= SLOTS && granted.length <= 2 * SLOTS);
  }));

test('a queue full of expired work is emptied without running any of it', () =>
  runWithFakeClock(async clock => {
    const {admission} = startAdmission();
    const all = await requestMany(admission, 40, buildRequest);
    const running = listGranted(all);
    const waiting = all.filter(({ticket, error}) => !ticket && !error);
    assert.ok(waiting.length > 0);
    // Every server stalls, so that nothing ends before the deadlines of what waits.
    await clock.tickAsync(700);
    for (const {error} of waiting) assert.equal(error?.ran, 'no');
    assert.deepEqual(admission.countQueued(), {short: 0, long: 0});
    for (const {ticket} of running) ticket?.release();
    assert.equal(listGranted(all).length, running.length);
    const [next] = await requestMany(admission, 1, buildRequest);
    assert.ok(next?.ticket, 'new requests are admitted again');
  }));

test('a retry storm of one customer does not block the requests of another', () =>
  runWithFakeClock(async clock => {
    const {admission, context} = startAdmission();
    const storm = buildCustomer('storm');
    const calm = buildCustomer('calm');
    const calmResults: AdmissionResult[] = [];
    for (let round = 0; round < 100; round++) {
      const stormed = await requestMany(admission, 20, () =>
        buildRequest({customer: storm}),
      );
      // This is a quarter of the servers' capacity and so within the customer's share.
      if (round % 2 === 0) {
        calmResults.push(
          await requestAdmission(admission, buildRequest({customer: calm})),
        );
      }
      for (const result of [...stormed, ...calmResults.slice(-1)]) {
        void releaseLater(result, clock);
      }
      await clock.tickAsync(20);
    }
    assert.equal(listRefused(calmResults).length, 0);
    assert.equal(
      context.retryBudget.take(1),
      false,
      'no repeats under overload',
    );
    assert.equal(
      context.hedgeBudget.take(1),
      false,
      'no hedges under overload',
    );
  }));

/** Releases an admitted request after the time that its work takes. */
async function releaseLater(
  result: AdmissionResult,
  clock: Clock,
): Promise<void> {
  while (!result.ticket && !result.error) {
    await new Promise(resolve => clock.setTimeout(resolve, 5));
  }
  if (!result.ticket) return;
  await new Promise(resolve => clock.setTimeout(resolve, 8 * TOKEN_MS));
  result.ticket.release();
}

test('an unused share is lent, and returned as soon as its customer needs it', () =>
  runWithFakeClock(async clock => {
    const {admission} = startAdmission();
    const large = buildCustomer('large');
    const small = buildCustomer('small');
    const flood = await requestMany(admission, 60, () =>
      buildRequest({customer: large}),
    );
    assert.ok(listGranted(flood).length >= SLOTS, 'all slots are lent');
    const [smallResult] = await requestMany(admission, 1, () =>
      buildRequest({customer: small}),
    );
    assert.equal(smallResult?.error, undefined);
    for (const {ticket} of listGranted(flood).slice(0, 6)) ticket?.release();
    await clock.tickAsync(60);
    for (const {ticket} of listGranted(flood)) ticket?.release();
    await clock.tickAsync(60);
    assert.ok(smallResult?.ticket, 'the customer of the share is served');
  }));

test('giant prompts are long work and do not block short work of others', () =>
  runWithFakeClock(async () => {
    const {admission, context} = startAdmission();
    const giant = buildRequest({
      customer: buildCustomer('giant'),
      promptTokens: 100_000,
      deadlineAt: performance.now() + 60_000,
    });
    assert.equal(context.estimator.estimate(giant).isLong, true);
    const giants = await requestMany(admission, 30, () => ({
      ...giant,
      requestId: `giant-${Math.random()}`,
    }));
    assert.ok(listGranted(giants).length < SLOTS, 'slots are reserved');
    const short = await requestMany(admission, 1, buildRequest);
    assert.equal(listGranted(short).length, 1);
  }));

test('limits hold over the whole deployment, in proportion to the demand at each entry', () =>
  runWithFakeClock(async clock => {
    const {admission, context} = startAdmission();
    const customer = buildCustomer('limited', {
      limits: {requestsPerSecond: 40, tokensPerSecond: 1e6},
    });
    let granted = 0;
    for (let tick = 0; tick < 500; tick++) {
      // The peer has three times the demand of this entry.
      const {requests, tokens} = context.meter.read('limited');
      context.peers.receive({
        entry: 'peer',
        sequence: tick,
        queued: {short: 0, long: 0},
        servers: [],
        customers: [
          {
            customer: 'limited',
            requests: 3 * requests,
            tokens: 3 * tokens,
            units: 0,
          },
        ],
      });
      const [result] = await requestMany(admission, 1, () =>
        buildRequest({customer}),
      );
      if (result?.ticket) granted += 1;
      else assert.equal(result?.error?.kind, 'rate_limited');
      result?.ticket?.release();
      await clock.tickAsync(10);
    }
    // A quarter of 40 a second for 5 s, and one burst of a second's worth.
    assert.ok(granted >= 45 && granted <= 65, `${granted} were granted`);
  }));

test('fair rates sum to the capacity and are never below the contended share of a customer', () => {
  const demand = fc.record({
    rate: fc.double({min: 0, max: 100, noNaN: true}),
    weight: fc.double({min: 0.1, max: 10, noNaN: true}),
  });
  fc.assert(
    fc.property(
      fc.array(demand, {minLength: 1, maxLength: 12}),
      fc.double({min: 0.1, max: 200, noNaN: true}),
      (list, capacity) => {
        const demands = new Map(
          list.map((entry, index) => [String(index), entry]),
        );
        const rates = computeFairRates(capacity, demands);
        const total = [...rates.values()].reduce((sum, rate) => sum + rate, 0);
        const weights = list.reduce((sum, {weight}) => sum + weight, 0);
        assert.ok(Math.abs(total - capacity) < 1e-6 * (1 + capacity));
        for (const [name, {rate, weight}] of demands) {
          const share = Math.min(rate, (capacity * weight) / weights);
          assert.ok((rates.get(name) ?? 0) >= share - 1e-6);
        }
      },
    ),
  );
});
