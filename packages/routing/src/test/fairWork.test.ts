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

interface Seen {
  readonly request: RoutedRequest;
  readonly askedAt: number;
  ticket?: AdmissionTicket;
  grantedAt?: number;
  error?: SycamoreheadError;
  refusedAt?: number;
}

/** Two servers of four slots, with tokens each 10 ms. */
function startAdmission(): {
  context: RoutingContext;
  admission: FairShareAdmission;
} {
  const servers = [buildServer('e1'), buildServer('e2')];
  const context = buildContext(servers);
  recordSpeed(context, servers, TOKEN_MS);
  return {context, admission: new FairShareAdmission(context)};
}

async function requestLeave(
  admission: FairShareAdmission,
  request: RoutedRequest,
): Promise<Seen> {
  const seen: Seen = {request, askedAt: performance.now()};
  void admission.admit(request).then(
    ticket => {
      seen.ticket = ticket;
      seen.grantedAt = performance.now();
    },
    (error: SycamoreheadError) => {
      seen.error = error;
      seen.refusedAt = performance.now();
    },
  );
  await Promise.resolve();
  return seen;
}

/** Asks for many requests at once. */
async function sendMany(
  admission: FairShareAdmission,
  count: number,
  build: () => RoutedRequest,
): Promise<Seen[]> {
  const all: Seen[] = [];
  for (let place = 0; place < count; place++) {
    all.push(await requestLeave(admission, build()));
  }
  return all;
}

async function runPaused(run: (clock: Clock) => Promise<void>): Promise<void> {
  const clock = FakeTimers.install();
  try {
    await run(clock);
  } finally {
    // Whatever still waits is refused, so that no promise is left pending.
    await clock.tickAsync(30_000);
    clock.uninstall();
  }
}

function listGranted(all: readonly Seen[]): Seen[] {
  return all.filter(({ticket}) => ticket);
}

function listRefused(all: readonly Seen[]): Seen[] {
  return all.filter(({error}) => error);
}

test('what cannot be answered in time is refused at once, truly, with advice', () =>
  runPaused(async clock => {
    const {admission} = startAdmission();
    const all = await sendMany(admission, 300, buildRequest);
    await clock.tickAsync(0);
    const refused = listRefused(all);
    assert.ok(refused.length > 100, `${refused.length} were refused`);
    for (const {error, askedAt, refusedAt} of refused) {
      assert.equal(error?.kind, 'overloaded');
      assert.equal(error?.ran, 'no');
      assert.ok((error?.retryAfterMs ?? 0) > 0);
      assert.equal(refusedAt, askedAt);
    }
    const granted = listGranted(all);
    assert.ok(granted.length >= SLOTS && granted.length <= 2 * SLOTS);
  }));

test('a queue full of expired work is emptied without running any of it', () =>
  runPaused(async clock => {
    const {admission} = startAdmission();
    const all = await sendMany(admission, 40, buildRequest);
    const running = listGranted(all);
    const waiting = all.filter(({ticket, error}) => !ticket && !error);
    assert.ok(waiting.length > 0);
    // Every server stalls, so that nothing ends before the deadlines of what waits.
    await clock.tickAsync(700);
    for (const {error} of waiting) assert.equal(error?.ran, 'no');
    assert.deepEqual(admission.countQueued(), {short: 0, long: 0});
    for (const {ticket} of running) ticket?.release();
    assert.equal(listGranted(all).length, running.length);
    const [next] = await sendMany(admission, 1, buildRequest);
    assert.ok(next?.ticket, 'the way is free again');
  }));

test('retry storm: repeats of refused requests do not keep others out', () =>
  runPaused(async clock => {
    const {admission, context} = startAdmission();
    const storm = buildCustomer('storm');
    const calm = buildCustomer('calm');
    const calmSeen: Seen[] = [];
    for (let round = 0; round < 100; round++) {
      const stormed = await sendMany(admission, 20, () =>
        buildRequest({customer: storm}),
      );
      // A quarter of what the servers do, and so within its share.
      if (round % 2 === 0) {
        calmSeen.push(
          await requestLeave(admission, buildRequest({customer: calm})),
        );
      }
      for (const seen of [...stormed, ...calmSeen.slice(-1)]) {
        void endLater(seen, clock);
      }
      await clock.tickAsync(20);
    }
    assert.equal(listRefused(calmSeen).length, 0);
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

/** Ends a request the time of its work after it was granted. */
async function endLater(seen: Seen, clock: Clock): Promise<void> {
  while (!seen.ticket && !seen.error) {
    await new Promise(resolve => clock.setTimeout(resolve, 5));
  }
  if (!seen.ticket) return;
  await new Promise(resolve => clock.setTimeout(resolve, 8 * TOKEN_MS));
  seen.ticket.release();
}

test('unused share is lent, and returned as soon as its owner asks', () =>
  runPaused(async clock => {
    const {admission} = startAdmission();
    const large = buildCustomer('large');
    const small = buildCustomer('small');
    const flood = await sendMany(admission, 60, () =>
      buildRequest({customer: large}),
    );
    assert.ok(listGranted(flood).length >= SLOTS, 'all slots are lent');
    const [asked] = await sendMany(admission, 1, () =>
      buildRequest({customer: small}),
    );
    assert.equal(asked?.error, undefined);
    for (const {ticket} of listGranted(flood).slice(0, 6)) ticket?.release();
    await clock.tickAsync(60);
    for (const {ticket} of listGranted(flood)) ticket?.release();
    await clock.tickAsync(60);
    assert.ok(asked?.ticket, 'the owner of a share is served');
  }));

test('one giant prompt is long work: short work of others passes it', () =>
  runPaused(async () => {
    const {admission, context} = startAdmission();
    const giant = buildRequest({
      customer: buildCustomer('giant'),
      promptTokens: 100_000,
      deadlineAt: performance.now() + 60_000,
    });
    assert.equal(context.estimator.estimate(giant).isLong, true);
    const giants = await sendMany(admission, 30, () => ({
      ...giant,
      requestId: `giant-${Math.random()}`,
    }));
    assert.ok(listGranted(giants).length < SLOTS, 'slots are kept');
    const short = await sendMany(admission, 1, buildRequest);
    assert.equal(listGranted(short).length, 1);
  }));

test('limits hold over the whole deployment, by what is asked of each entry', () =>
  runPaused(async clock => {
    const {admission, context} = startAdmission();
    const customer = buildCustomer('limited', {
      limits: {requestsPerSecond: 40, tokensPerSecond: 1e6},
    });
    let granted = 0;
    for (let tick = 0; tick < 500; tick++) {
      // The peer is asked three times as much as this entry.
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
      const [seen] = await sendMany(admission, 1, () =>
        buildRequest({customer}),
      );
      if (seen?.ticket) granted += 1;
      else assert.equal(seen?.error?.kind, 'rate_limited');
      seen?.ticket?.release();
      await clock.tickAsync(10);
    }
    // A quarter of 40 a second for 5 s, and one burst of a second's worth.
    assert.ok(granted >= 45 && granted <= 65, `${granted} were granted`);
  }));

test('fair rates: never above the capacity, nobody below its contended share', () => {
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
          list.map((entry, place) => [String(place), entry]),
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
