import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import {buildKeptPrompt} from '../lib/forwarding/KeptPrompts.js';
import {scoreServer} from '../lib/forwarding/scoreServer.js';
import {
  ServerMemory,
  countNeededTokens,
} from '../lib/forwarding/ServerMemory.js';
import {ServerPace, updateTypicalPace} from '../lib/forwarding/ServerPace.js';

const CAPACITY = 100_000;
const LONG_AGE_MS = 60_000;
const PROMPT = buildKeptPrompt('small', [
  {id: 'system', tokens: 800},
  {id: 'subject', tokens: 5_000},
  {id: 'own', tokens: 6_000},
]);
/** Another request on the same subject. */
const SIBLING = buildKeptPrompt('small', [
  {id: 'system', tokens: 800},
  {id: 'subject', tokens: 5_000},
  {id: 'other', tokens: 6_000},
]);

let clock: ReturnType<typeof fakeTimers.install>;

beforeEach(() => {
  clock = fakeTimers.install({toFake: ['performance']});
});

afterEach(() => {
  clock.uninstall();
});

function countKept(
  memory: ServerMemory,
  prompt = SIBLING,
  othersFraction = 0,
): number {
  const now = performance.now();
  const room = memory.countRoom(CAPACITY, now);
  return memory.kept.countKept(prompt, othersFraction, room, now);
}

test('a request fits if its prompt and answer fit beside the running ones, of all entries', () => {
  const memory = new ServerMemory(LONG_AGE_MS);
  const tokens = countNeededTokens({promptTokens: 29_000, answerTokens: 1_000});
  const hasRoom = () => memory.hasRoom(CAPACITY, tokens, performance.now());
  memory.reserve(40_000);
  assert.ok(hasRoom());
  memory.setOthersHeld(40_000);
  assert.ok(!hasRoom());
  memory.release(40_000);
  assert.ok(hasRoom());
  memory.reserve(30_000);
  assert.ok(hasRoom());
  // What the other entries have sent since their reports.
  memory.kept.setOthersRead(20_000);
  assert.ok(!hasRoom());
});

test('what other entries give a server to read is not believed without fresh reports', () => {
  const memory = new ServerMemory(LONG_AGE_MS);
  memory.kept.recordPrompt(PROMPT, 11_800);
  memory.kept.setOthersRead(60_000);
  const hasRoom = () => memory.hasRoom(CAPACITY, 90_000, performance.now());
  assert.ok(!hasRoom());
  assert.ok(memory.kept.estimateDisplacement(CAPACITY) > 0.5);
  clock.tick(1_900);
  assert.ok(!hasRoom());
  clock.tick(200);
  assert.ok(hasRoom());
  // Two seconds of reading by the others leave room for the parts; twelve would have pushed them out.
  clock.tick(10_000);
  assert.equal(countKept(memory), 5_800);
  assert.equal(memory.kept.estimateDisplacement(CAPACITY), 0);
});

test('what other entries hold is not believed without fresh reports, nor if it makes no sense', () => {
  const memory = new ServerMemory(LONG_AGE_MS);
  memory.setOthersHeld(90_000);
  assert.equal(memory.countHeld(performance.now()), 90_000);
  clock.tick(2_100);
  assert.equal(memory.countHeld(performance.now()), 0);
  for (const nonsense of [NaN, -5, -Infinity, Infinity]) {
    memory.setOthersHeld(nonsense);
    memory.kept.setOthersRead(nonsense);
    assert.ok(memory.hasRoom(CAPACITY, CAPACITY, performance.now()));
  }
});

test('a service that names no memory has no limit of it', () => {
  const memory = new ServerMemory(LONG_AGE_MS);
  memory.reserve(10_000_000);
  for (const capacity of [0, -1]) {
    assert.ok(memory.hasRoom(capacity, 10_000_000, performance.now()));
  }
});

test('leading segments count as kept up to the last one that was sent', () => {
  const memory = new ServerMemory(LONG_AGE_MS);
  memory.kept.recordPrompt(PROMPT, 11_800);
  assert.equal(countKept(memory, PROMPT), 11_800);
  assert.equal(countKept(memory), 5_800);
  const otherModel = buildKeptPrompt('large', [{id: 'system', tokens: 800}]);
  assert.equal(countKept(memory, otherModel), 0);
});

test('a segment is believed to be pushed out by what all entries send, and beside running requests', () => {
  const memory = new ServerMemory(LONG_AGE_MS);
  memory.kept.recordPrompt(PROMPT, 11_800);
  memory.reserve(CAPACITY - 1_000);
  memory.kept.recordPrompt(buildKeptPrompt('small', []), 2_000);
  assert.equal(countKept(memory), 0);
  memory.release(CAPACITY - 1_000);
  assert.equal(countKept(memory), 5_800);
  // 20,000 tokens a second.
  for (let elapsedMs = 0; elapsedMs < 4_000; elapsedMs += 100) {
    memory.kept.setOthersRead(40_000);
    clock.tick(100);
  }
  assert.equal(countKept(memory), 5_800);
  clock.tick(1_000);
  assert.equal(countKept(memory), 0);
});

test('a belief that nothing renews expires', () => {
  const memory = new ServerMemory(LONG_AGE_MS);
  memory.kept.recordPrompt(PROMPT, 11_800);
  clock.tick(29_000);
  assert.equal(countKept(memory), 5_800);
  clock.tick(1_500);
  assert.equal(countKept(memory), 0);
});

test('a server that crashed, or has just started, is believed to keep nothing', () => {
  const memory = new ServerMemory(LONG_AGE_MS);
  memory.kept.recordPrompt(PROMPT, 11_800);
  assert.ok(countKept(new ServerMemory(LONG_AGE_MS), SIBLING, 0.9) > 5_000);
  memory.kept.clear();
  for (const lost of [memory, new ServerMemory(0)]) {
    assert.equal(countKept(lost, SIBLING, 0.9), 0);
  }
  clock.tick(5_000);
  assert.ok(countKept(memory, SIBLING, 0.9) > 5_000);
});

test('entries tell each other of shared segments once, and nothing of those of one request', () => {
  const [sender, receiver] = [0, 0].map(() => new ServerMemory(LONG_AGE_MS));
  assert.ok(sender && receiver);
  sender.kept.recordPrompt(PROMPT, 11_800);
  const news = sender.kept.takeNews(64);
  assert.equal(news.length, 2);
  receiver.kept.recordNews(news);
  assert.equal(countKept(receiver), 5_800);
  sender.kept.recordPrompt(PROMPT, 0);
  assert.deepEqual(sender.kept.takeNews(64), []);
});

test('a long prompt goes where it pushes out nothing that is still used', () => {
  const score = (room: number) => {
    const memory = new ServerMemory(LONG_AGE_MS);
    memory.kept.setOthersRead(40_000);
    return scoreServer('sampled', {
      load: 4,
      slots: 64,
      pendingMs: 0,
      ownMs: 200,
      isSameDataCentre: true,
      isSilent: false,
      slowness: 1,
      displacedMs: 200 * memory.kept.estimateDisplacement(room),
    });
  };
  assert.ok(score(20_000) > score(400_000) + 200);
});

test('a kept prompt is worth a longer queue only while the answer is in time', () => {
  const score = (pendingMs: number, ownMs: number, objectiveMs?: number) =>
    scoreServer('sampled', {
      load: 4,
      slots: 64,
      pendingMs,
      ownMs,
      isSameDataCentre: true,
      isSilent: false,
      slowness: 1,
      objectiveMs,
    });
  assert.ok(score(500, 50) < score(50, 200));
  assert.ok(score(500, 50, 1_000) < score(50, 200, 1_000));
  assert.ok(score(500, 50, 450) > score(50, 200, 450));
});

/** The pace of servers as each of many entries learns it. */
function buildPaces(servers: number): ServerPace[] {
  return Array.from({length: servers}, () => new ServerPace());
}

test('an entry that sees no answers of a server learns its pace from the others', () => {
  const [fast, slow] = buildPaces(2);
  const [seenFast, seenSlow] = buildPaces(2);
  assert.ok(fast && slow && seenFast && seenSlow);
  const exchange = () => {
    for (const [from, to] of [
      [seenFast, fast],
      [seenSlow, slow],
    ] as const) {
      const {answers, logRatios} = from.describeOwn();
      to.setOthers(answers, logRatios);
    }
    updateTypicalPace([fast, slow]);
  };
  exchange();
  assert.deepEqual([fast.slowness, slow.slowness], [1, 1]);
  // Its first answers, at five a second.
  for (let count = 0; count < 5; count += 1) {
    seenFast.recordRatio(0.6);
    seenSlow.recordRatio(2);
    clock.tick(200);
  }
  exchange();
  assert.ok(slow.slowness > 1.25, `${slow.slowness}`);
  assert.ok(fast.slowness < 0.8, `${fast.slowness}`);
  clock.tick(10_000);
  updateTypicalPace([fast, slow]);
  assert.ok(Math.abs(slow.slowness - 1) < 0.05, `${slow.slowness}`);
});

test('a server that stops answering in the expected time is slow before it answers', () => {
  const paces = buildPaces(4);
  const [stuck] = paces;
  assert.ok(stuck);
  const sends = [0, 1, 2].map(() => stuck.recordSend(100));
  clock.tick(800);
  updateTypicalPace(paces);
  assert.ok(stuck.slowness > 1.5, `${stuck.slowness}`);
  for (const send of sends) stuck.recordStart(send);
  updateTypicalPace(paces);
  assert.equal(stuck.slowness, 1);
});

test('the pace of reports that make no sense is bounded', () => {
  const [pace] = buildPaces(1);
  assert.ok(pace);
  for (const [answers, logRatios] of [
    [NaN, 1],
    [1, Infinity],
    [-5, 100],
    [100, 1e9],
  ] as const) {
    pace.setOthers(answers, logRatios);
    pace.recordRatio(NaN);
    pace.setTypicalLog(0);
    assert.ok(pace.slowness >= 0.5 && pace.slowness <= 8);
  }
});
