import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import {QueueReplay, ReplayedKind, ReplayedRequest} from './QueueReplay.js';

const CHAT = {
  name: 'chat',
  priority: 0,
  holdMs: 300,
  targetMs: 1_500,
  work: 300,
};
const REVIEW = {
  name: 'review',
  priority: 1,
  holdMs: 600,
  targetMs: 8_000,
  work: 3_400,
};
const TAG = {name: 'tag', priority: 2, holdMs: 100, targetMs: 2_000, work: 600};
const PLACES = 10;
/** Requests a second that fill ten places. */
const FULL: ReadonlyArray<readonly [ReplayedKind, number]> = [
  [CHAT, 14],
  [REVIEW, 7],
  [TAG, 15],
];
const SEEDS = [1, 2, 3, 4, 5];
const SERVED = ['in time', 'late'] as const;

let clock: ReturnType<typeof fakeTimers.install>;

beforeEach(() => {
  clock = fakeTimers.install({
    toFake: ['performance', 'setTimeout', 'clearTimeout'],
  });
});

afterEach(() => {
  clock.uninstall();
});

function buildLoad(factor: number) {
  return FULL.map(([kind, rate]) => [kind, rate * factor] as const);
}

const isKind = (kind: ReplayedKind) => (request: ReplayedRequest) =>
  request.kind === kind;

test('a request that needs a version without places holds up none behind it', async () => {
  const replay = new QueueReplay(clock, {old: 0, new: 0});
  const needsOld = replay.send({...CHAT, needs: 'old'});
  const needsNew = replay.send({...TAG, needs: 'new'});
  replay.release('new');
  await clock.tickAsync(1);
  assert.equal(needsNew.outcome, 'in time');
  assert.equal(needsOld.outcome, undefined);
  // Nor does it hold up one that comes later.
  const later = replay.send({...TAG, needs: 'new'});
  replay.release('new');
  await clock.tickAsync(1);
  assert.equal(later.outcome, 'in time');
});

test('a request that can be in time goes before a little more urgent one that is late anyway', async () => {
  const replay = new QueueReplay(clock, 0);
  const late = replay.send({...CHAT, startMs: -1});
  const inTime = replay.send(REVIEW);
  const leastUrgent = replay.send(TAG);
  await clock.tickAsync(1);
  replay.release();
  await clock.tickAsync(1);
  assert.equal(inTime.outcome, 'in time');
  // The late one is still served, before much less urgent ones.
  replay.release();
  await clock.tickAsync(1);
  assert.notEqual(late.outcome, undefined);
  assert.equal(leastUrgent.outcome, undefined);
});

test('1.7 times the possible load for 6 s: no kind starves, the urgent are served most, places are used', async t => {
  for (const seed of SEEDS) {
    const replay = new QueueReplay(clock, PLACES, seed);
    await replay.run(buildLoad(0.8), 10_000);
    const start = performance.now();
    await replay.run(buildLoad(1.7), 6_000);
    const end = performance.now();
    await replay.run(buildLoad(0.8), 10_000);
    const isInBurst = ({sentAt}: ReplayedRequest) =>
      sentAt >= start && sentAt < end;
    const computeServed = (kind: ReplayedKind) =>
      replay.computeFraction(
        SERVED,
        request => request.kind === kind && isInBurst(request),
      );
    const all = replay.computeFraction(SERVED, isInBurst);
    const fractions = [CHAT, REVIEW, TAG].map(computeServed);
    const [chat = 0, review = 0, tag = 0] = fractions;
    const note = `seed ${seed}: ${fractions.join(' ')} of ${all}, idle ${replay.idleMs}`;
    t.diagnostic(note);
    for (const fraction of fractions) assert.ok(fraction > all / 4, note);
    assert.ok(chat >= review - 0.05 && review >= tag - 0.05, note);
    assert.equal(replay.idleMs, 0, note);
  }
});

test('what is refused under 1.7 times the possible load is refused soon, and returns over time', async t => {
  const replay = new QueueReplay(clock, PLACES);
  await replay.run(buildLoad(0.8), 10_000);
  await replay.run(buildLoad(1.7), 6_000);
  const refused = replay.requests.filter(({outcome}) => outcome === 'refused');
  const atOnce = refused.filter(
    ({sentAt, endedAt = 0}) => endedAt - sentAt < 1,
  );
  const note = `${atOnce.length} of ${refused.length} at once`;
  t.diagnostic(note);
  assert.ok(refused.length > 50, note);
  assert.ok(atOnce.length >= refused.length / 2, note);
  const returns = refused.map(
    ({endedAt = 0, retryAfterMs = 0}) => endedAt + retryAfterMs,
  );
  const most = Math.max(
    ...returns.map(
      from => returns.filter(at => at >= from && at < from + 100).length,
    ),
  );
  assert.ok(most <= refused.length / 10, `${most} return within 100 ms`);
  for (const {kind, sentAt, endedAt = 0, retryAfterMs = 0} of refused) {
    // Callers heed a third of the time that they have left.
    const leftMs = 5 * kind.targetMs - (endedAt - sentAt);
    assert.ok(retryAfterMs > 0 && retryAfterMs <= leftMs / 3);
  }
});

test('one customer that sends seven times its usual pays for its burst itself', async t => {
  const customers = Array.from({length: 9}, (_, index) => `c${index}`);
  const large = 'large';
  let others = 0;
  let own = 0;
  for (const seed of SEEDS) {
    const replay = new QueueReplay(clock, PLACES, seed);
    const sampleCustomer = (largeFraction: number) => () => ({
      customer:
        replay.random() < largeFraction
          ? large
          : customers[Math.floor(replay.random() * customers.length)],
    });
    // The large one usually sends three tenths of all: 0.24 of what is possible.
    await replay.run(buildLoad(0.8), 40_000, sampleCustomer(0.3));
    const start = performance.now();
    await replay.run(
      buildLoad(0.56 + 1.68),
      6_000,
      sampleCustomer(1.68 / 2.24),
    );
    const count = (isLarge: boolean) =>
      replay.computeFraction(
        ['in time'],
        ({sentAt, customer}) =>
          sentAt >= start && (customer === large) === isLarge,
      );
    others += count(false) / SEEDS.length;
    own += count(true) / SEEDS.length;
  }
  const note = `others ${others}, the large one ${own}`;
  t.diagnostic(note);
  assert.ok(others > 0.8, note);
  // It still gets what it usually sends, a seventh.
  assert.ok(own > 1 / 7, note);
});

test('the largest requests of a kind are served at least half as often as the kind', async t => {
  const replay = new QueueReplay(clock, PLACES);
  const sampleWork = () => ({work: Math.round(100 * 20 ** replay.random())});
  await replay.run(buildLoad(1.7), 20_000, sampleWork);
  for (const kind of [CHAT, REVIEW, TAG]) {
    const sizes = replay.requests
      .filter(isKind(kind))
      .map(({work}) => work)
      .sort((a, b) => a - b);
    const bound = sizes[Math.floor(sizes.length * 0.9)] ?? 0;
    const lower = sizes[Math.floor(sizes.length * 0.7)] ?? 0;
    const ofKind = replay.computeFraction(SERVED, isKind(kind));
    const largest = replay.computeFraction(
      SERVED,
      request => request.kind === kind && request.work >= bound,
    );
    const large = replay.computeFraction(
      SERVED,
      request =>
        request.kind === kind && request.work >= lower && request.work < bound,
    );
    const note = `${kind.name}: ${largest} ${large} of ${ofKind}`;
    t.diagnostic(note);
    assert.ok(largest > ofKind / 2 && large > ofKind / 2, note);
  }
});

test('a wave of short urgent requests does not push out the long ones beside it', async t => {
  const replay = new QueueReplay(clock, PLACES);
  const short = {...CHAT, holdMs: 50, work: 20};
  const long = {
    ...REVIEW,
    name: 'report',
    holdMs: 1_000,
    targetMs: 3_000,
    work: 5_000,
  };
  const rates = [
    [short, 300],
    [long, 5],
  ] as const;
  await replay.run(rates, 6_000);
  const fractions = [short, long].map(kind =>
    replay.computeFraction(SERVED, isKind(kind)),
  );
  t.diagnostic(`short and long ${fractions.join(' ')}`);
  const all = replay.computeFraction(SERVED);
  for (const fraction of fractions) {
    assert.ok(fraction > all / 4, fractions.join(' '));
  }
});

test('a request is held for its whole wait only where places come free', async () => {
  const kind = {...REVIEW, reviewMs: 3_200, targetMs: 7_000};
  const stalled = new QueueReplay(clock, 0).send(kind);
  const replay = new QueueReplay(clock, 0);
  const served = replay.send({...kind, needs: 'large'});
  for (let ms = 0; ms < 6_000; ms += 200) {
    replay.send(CHAT);
    replay.release();
    await clock.tickAsync(200);
  }
  assert.equal(stalled.outcome, 'refused');
  assert.ok((stalled.endedAt ?? 0) - stalled.sentAt < 3_400);
  assert.equal(served.outcome, undefined);
});

test('requests that no server can take do not count as ahead of others', async () => {
  const replay = new QueueReplay(clock, {'': 0, none: 0});
  for (let count = 0; count < 40; count += 1) {
    replay.send({...CHAT, needs: 'none', targetMs: 60_000});
  }
  const sent = [];
  for (let ms = 0; ms < 4_000; ms += 200) {
    sent.push(replay.send({...TAG, holdMs: 60_000}));
    await clock.tickAsync(200);
    replay.release();
    replay.queue.updateOthers(undefined);
  }
  await clock.tickAsync(1);
  const outcomes = new Set(sent.map(({outcome}) => outcome));
  assert.deepEqual([...outcomes], ['in time']);
});
