import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import {ClientRefusal, HeldBody, HeldBytes} from '../lib/HeldBytes.js';

const MB = 1024 * 1024;
const KB = 1024;
/** Room for two bodies of 4 MB beside the share of the small ones. */
const BUDGET_BYTES = 12 * MB;
const LARGE_BYTES = 4 * MB;

let clock: ReturnType<typeof FakeTimers.install>;
let held: HeldBytes;
let refusals: ClientRefusal[];

beforeEach(() => {
  clock = FakeTimers.install({
    toFake: ['setInterval', 'clearInterval', 'performance'],
  });
  refusals = [];
  held = new HeldBytes(BUDGET_BYTES, refusal => refusals.push(refusal));
});

afterEach(() => clock.uninstall());

interface TestBody {
  readonly body: HeldBody;
  readonly events: string[];
}

function openBody(maxBytes = LARGE_BYTES): TestBody {
  const events: string[] = [];
  const body = held.openBody(maxBytes, {
    onRoom: () => events.push('room'),
    onRefused: refusal => events.push(refusal),
  });
  return {body, events};
}

/** Opens bodies whose first 20 KB have arrived. */
function openLarge(count: number, maxBytes = LARGE_BYTES): TestBody[] {
  return Array.from({length: count}, () => {
    const opened = openBody(maxBytes);
    held.addBytes(opened.body, 20 * KB);
    return opened;
  });
}

test('large bodies are read on only while there is room for all of each', () => {
  const bodies = openLarge(4);
  const states = bodies.map(({body}) => body.state);
  assert.deepEqual(states, ['reading', 'reading', 'waiting', 'waiting']);
  held.finishBody(bodies[0]!.body);
  assert.equal(bodies[2]!.body.state, 'reading');
  held.closeBody(bodies[1]!.body);
  assert.deepEqual(bodies[3]!.events, ['room']);
});

test('a body that is larger than all the room is read if it is alone', () => {
  const [alone, next] = openLarge(2, 64 * MB);
  assert.equal(alone!.body.state, 'reading');
  assert.equal(next!.body.state, 'waiting');
  held.closeBody(alone!.body);
  assert.equal(next!.body.state, 'reading');
});

test('a body without progress gives way to one that waits', () => {
  const [stalled, slow, waiting] = openLarge(3);
  for (let ms = 0; ms < 1_000; ms += 100) {
    clock.tick(100);
    held.addBytes(slow!.body, 64 * KB);
  }
  clock.tick(200);
  assert.deepEqual(stalled!.events, ['room', 'body_stalled']);
  assert.deepEqual(slow!.events, ['room']);
  assert.deepEqual(waiting!.events, ['room']);
  assert.deepEqual(refusals, ['body_stalled']);
});

test('a body that comes byte by byte makes no progress', () => {
  const [trickling, , waiting] = openLarge(3);
  for (let ms = 0; ms < 1_200; ms += 100) {
    clock.tick(100);
    held.addBytes(trickling!.body, 1);
  }
  assert.equal(trickling!.body.state, 'closed');
  assert.deepEqual(waiting!.events, ['room']);
});

test('a body without progress is left alone while nobody waits', () => {
  const [stalled] = openLarge(1);
  clock.tick(20_000);
  assert.equal(stalled!.body.state, 'reading');
  assert.deepEqual(refusals, []);
});

test('small bodies are served while large ones take all of their room', () => {
  openLarge(40);
  const small = openBody(KB);
  held.addBytes(small.body, KB);
  assert.equal(small.body.state, 'small');
  held.finishBody(small.body);
  assert.equal(small.body.state, 'whole');
  assert.deepEqual(small.events, []);
});

test('of small bodies that take more than their share, the one without progress for longest is refused', () => {
  const bodies: TestBody[] = [];
  for (let index = 0; index < 193; index += 1) {
    const opened = openBody(16 * KB);
    held.addBytes(opened.body, 16 * KB);
    bodies.push(opened);
    clock.tick(1);
  }
  assert.deepEqual(bodies[0]!.events, ['no_room']);
  assert.deepEqual(bodies[1]!.events, []);
  assert.ok(held.totalBytes <= BUDGET_BYTES / 4);
});

test('all bytes are released with their bodies', () => {
  const bodies = [...openLarge(5), openBody(KB)];
  held.addBytes(bodies[5]!.body, KB);
  held.finishBody(bodies[0]!.body);
  for (const {body} of bodies) held.closeBody(body);
  for (const {body} of bodies) held.closeBody(body);
  assert.equal(held.totalBytes, 0);
  assert.equal(held.waitingCount, 0);
  assert.equal(clock.countTimers(), 0);
});

test('a large body that finds no room for seconds is refused, while those that are whole keep theirs', () => {
  const [first, second, waiting] = openLarge(3);
  for (const {body} of [first!, second!]) {
    held.addBytes(body, LARGE_BYTES - 20 * KB);
    held.finishBody(body);
  }
  clock.tick(4_900);
  assert.deepEqual(waiting!.events, []);
  clock.tick(200);
  assert.deepEqual(waiting!.events, ['no_room']);
  assert.equal(held.waitingCount, 0);
});

/** Opens bodies of unknown length whose first 20 KB have arrived. */
function openChunked(count: number): TestBody[] {
  return Array.from({length: count}, () => {
    const events: string[] = [];
    const listener = {
      onRoom: () => events.push('room'),
      onRefused: (refusal: ClientRefusal) => events.push(refusal),
    };
    const opened = {body: held.openBody(LARGE_BYTES, listener, false), events};
    held.addBytes(opened.body, 20 * KB);
    return opened;
  });
}

test('slow bodies of unknown length that stay far below the largest are read beside each other', () => {
  const bodies = openChunked(8);
  for (let ms = 0; ms < 10_000; ms += 100) {
    clock.tick(100);
    for (const {body} of bodies) held.addBytes(body, KB);
  }
  assert.deepEqual(refusals, []);
  assert.deepEqual(
    bodies.map(({body}) => body.state),
    bodies.map(() => 'reading'),
  );
  assert.equal(held.waitingCount, 0);
});

test('bodies of unknown length that all become as long as is allowed end one after the other, within the room', () => {
  const bodies = openChunked(30);
  const lengths = new Map(bodies.map(({body}) => [body, 20 * KB]));
  let ended = 0;
  for (let step = 0; step < 2_000 && ended < bodies.length; step += 1) {
    clock.tick(1);
    for (const {body} of bodies) {
      if (body.state !== 'reading') continue;
      const length = lengths.get(body) ?? 0;
      const added = Math.min(64 * KB, LARGE_BYTES - length);
      held.addBytes(body, added);
      lengths.set(body, length + added);
      assert.ok(held.totalBytes <= BUDGET_BYTES, `${held.totalBytes} held`);
      if (length + added < LARGE_BYTES) continue;
      held.finishBody(body);
      held.closeBody(body);
      ended += 1;
    }
  }
  assert.equal(ended, bodies.length);
  assert.deepEqual(refusals, []);
  assert.equal(held.totalBytes, 0);
});

test('bodies of unknown length that stop short give way to those that go on', () => {
  const stopped = openChunked(200);
  const going = openChunked(1)[0]!;
  for (let ms = 0; ms < 6_000; ms += 100) {
    clock.tick(100);
    if (going.body.state === 'reading') held.addBytes(going.body, 64 * KB);
    assert.ok(held.totalBytes <= BUDGET_BYTES, `${held.totalBytes} held`);
  }
  assert.equal(going.body.state, 'reading');
  assert.ok(stopped.some(({events}) => events.includes('body_stalled')));
});
