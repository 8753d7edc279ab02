import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import {SessionShares} from '../lib/forwarding/SessionShares.js';
import {QueueReplay} from './QueueReplay.js';
import {SharedPlaces} from './SharedPlaces.js';

const CHAT = {
  name: 'chat',
  priority: 1,
  holdMs: 300,
  targetMs: 1_500,
  work: 300,
};
const PLACES = 10;
/** Time between two bursts, in milliseconds, and the requests of one: more than can be served in time. */
const BURST_MS = 2_500;
const BURST = 90;
const BURSTS = 20;
const SESSIONS = 400;
const SEEDS = [1, 2, 3];

let clock: ReturnType<typeof fakeTimers.install>;

beforeEach(() => {
  clock = fakeTimers.install({
    toFake: ['performance', 'setTimeout', 'clearTimeout'],
  });
});

afterEach(() => {
  clock.uninstall();
});

interface BurstOptions {
  readonly seed: number;
  /** Entries that get bursts at the same time; the session goes from one to the other. */
  readonly entries?: number;
  /** Whether refused callers return once, as told. */
  readonly areReturning?: boolean;
}

/** Plays bursts; each time, one more session sends its request just behind. */
async function runBursts(options: BurstOptions) {
  const {seed, entries = 1, areReturning = false} = options;
  const replays = Array.from(
    {length: entries},
    (_, index) => new QueueReplay(clock, PLACES, seed + 100 * index),
  );
  const [{random}] = replays as [QueueReplay];
  const counts = {behind: 0, others: 0};
  const send = async (
    replay: QueueReplay,
    session: string,
    label: keyof typeof counts,
    isFirst = true,
  ): Promise<void> => {
    const request = replay.send({...CHAT, session});
    while (!request.outcome)
      await new Promise(resolve => setTimeout(resolve, 100));
    if (request.outcome !== 'refused') counts[label] += 1;
    if (request.outcome !== 'refused' || !isFirst || !areReturning) return;
    await new Promise(resolve => setTimeout(resolve, request.retryAfterMs));
    const next = replays[Math.floor(random() * entries)];
    if (next) await send(next, session, label, false);
  };
  for (let burst = 0; burst < BURSTS; burst += 1) {
    for (let count = 0; count < BURST * entries; count += 1) {
      const session = `s${Math.floor(random() * SESSIONS * entries)}`;
      const replay = replays[count % entries];
      if (replay) void send(replay, session, 'others');
    }
    await clock.tickAsync(5);
    const replay = replays[Math.floor(random() * entries)];
    if (replay) void send(replay, 'behind', 'behind');
    await clock.tickAsync(BURST_MS);
  }
  await clock.tickAsync(10_000);
  const {behind, others} = counts;
  return {behind: behind / BURSTS, others: others / (BURSTS * BURST * entries)};
}

/** Part of what others are served at least, as for kinds and sizes. */
const FLOOR = 1 / 4;

test('a session whose requests always come just behind a burst at its entry is served too', async t => {
  for (const seed of SEEDS) {
    const {behind, others} = await runBursts({seed});
    const note = `seed ${seed}: ${behind}, others ${others}`;
    t.diagnostic(note);
    assert.ok(behind > others * FLOOR, note);
  }
});

test('a session behind bursts at changing entries is served once its caller returns as told', async t => {
  const {behind, others} = await runBursts({
    seed: 1,
    entries: 4,
    areReturning: true,
  });
  const note = `${behind}, others ${others}`;
  t.diagnostic(note);
  assert.ok(behind > others * FLOOR, note);
});

test('sessions at an entry that has no places of its own are served like others', async t => {
  const shared = new SharedPlaces(clock, {isExchanging: true});
  const sessions = Array.from({length: 10}, (_, index) => `s${index}`);
  await shared.run(2_000, () => shared.sendToOthers());
  await shared.run(8_000, () => {
    shared.sendToOthers();
    if (shared.random() > 0.15) return;
    const label = sessions[Math.floor(shared.random() * sessions.length)] ?? '';
    shared.send(0, {priority: 2, label, session: label});
  });
  await clock.tickAsync(2_000);
  const least = Math.min(...sessions.map(label => shared.computeServed(label)));
  const others = shared.computeServed('other');
  const note = `least ${least}, others ${others}`;
  t.diagnostic(note);
  assert.ok(least > others * FLOOR, note);
});

const REFUSAL = {servedFraction: 0.5, isOwed: false, retryAfterMs: 500};

function recordRefusals(shares: SessionShares, count: number, pauseMs: number) {
  for (let index = 0; index < count; index += 1) {
    shares.recordRefused('s', REFUSAL);
    clock.tick(pauseMs);
  }
}

test('a session is owed a turn once chance does not explain its refusals', () => {
  const shares = new SessionShares();
  recordRefusals(shares, 4, 500);
  assert.equal(shares.takeTurn('s', 10_000), false);
  recordRefusals(shares, 1, 500);
  assert.equal(shares.takeTurn('another', 10_000), false);
  assert.equal(shares.takeTurn('s', 10_000), true);
  // One of its requests has the turn; if that one is refused, the next.
  assert.equal(shares.takeTurn('s', 10_000), false);
  shares.recordRefused('s', {...REFUSAL, isOwed: true});
  assert.equal(shares.takeTurn('s', 10_000), true);
  shares.recordServed('s');
  recordRefusals(shares, 1, 500);
  assert.equal(shares.takeTurn('s', 10_000), false);
});

test('a session that repeats before it was to return gains no turn', () => {
  const shares = new SessionShares();
  recordRefusals(shares, 100, 4);
  assert.equal(shares.takeTurn('s', 10_000), false);
});

const URGENT = {
  name: 'chat',
  priority: 0,
  holdMs: 300,
  targetMs: 1_500,
  work: 300,
};

test('a session that is refused for its priority does not go before more urgent requests', async t => {
  for (const seed of [1, 2, 3]) {
    const replay = new QueueReplay(clock, 10, seed);
    const low = {...URGENT, priority: 3, session: 'low'};
    await replay.run([[URGENT, 45]], 4_000);
    await replay.run(
      [
        [URGENT, 45],
        [low, 1],
      ],
      30_000,
    );
    await clock.tickAsync(10_000);
    const isLow = ({kind}: {kind: {priority: number}}) => kind.priority === 3;
    const sent = replay.requests.filter(isLow);
    const served = sent.filter(({outcome}) => outcome !== 'refused');
    const urgent = replay.computeFraction(
      ['in time', 'late'],
      request => !isLow(request),
    );
    const note = `seed ${seed}: ${served.length} of ${sent.length}, urgent ${urgent}`;
    t.diagnostic(note);
    assert.ok(sent.length > 10 && urgent > 0.5 && urgent < 1, note);
    assert.equal(served.length, 0, note);
  }
});
