import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import fakeTimers from '@sinonjs/fake-timers';
import {DirectoryFill} from '../lib/DirectoryFill.js';
import {createRandom} from './createRandom.js';
import {
  LAST_CHUNK,
  formatChunk,
  formatEvent,
  formatStreamHead,
} from './FakeServer.js';
import {
  GatewayHarness,
  buildEngineConfiguration,
  formatRequest,
  readStatus,
} from './GatewayHarness.js';
import {startServer, stopStarted, track} from './startGateway.js';

afterEach(stopStarted);

const FILL_MS = 1_200;
const ENGINES = 42;
const ENTRIES = 61;
const STEP_MS = 10;
/** Requests that have waited for the system, and those that come after it is back. */
const WAITING = 240;
const PER_SECOND = 180;

interface HerdOutcome {
  readonly mostOnOne: number;
  readonly meanWaitMs: number;
  readonly sent: number;
}

/**
 * Replays the restart of all processes: the engines register again evenly over `FILL_MS`, and each entry
 * sends what it may to an engine to which it has sent least.
 */
async function runRestart(isSpread: boolean): Promise<HerdOutcome> {
  const clock = fakeTimers.install({
    toFake: ['performance', 'setInterval', 'clearInterval'],
  });
  try {
    const random = createRandom(7);
    const entries = Array.from({length: ENTRIES}, () => {
      const filling = new DirectoryFill();
      if (isSpread) {
        filling.update({directory: {ageMs: 0, fillMs: FILL_MS}});
      }
      return {filling, sends: new Map<number, number>()};
    });
    const totals = new Map<number, number>();
    const startedAt = performance.now();
    let sent = 0;
    let waitedMs = 0;
    const send = async ({filling, sends}: (typeof entries)[number]) => {
      const askedAt = performance.now();
      const {signal} = new AbortController();
      const startBy = askedAt + 1_500;
      await filling.waitTurn({service: 'drafts', startBy, signal});
      const ageMs = performance.now() - startedAt;
      const known = Math.min(
        ENGINES,
        Math.max(1, Math.floor((ENGINES * ageMs) / FILL_MS)),
      );
      const start = Math.floor(random() * known);
      let best = start;
      for (let step = 0; step < known; step += 1) {
        const index = (start + step) % known;
        if ((sends.get(index) ?? 0) < (sends.get(best) ?? 0)) best = index;
      }
      sends.set(best, (sends.get(best) ?? 0) + 1);
      totals.set(best, (totals.get(best) ?? 0) + 1);
      sent += 1;
      waitedMs += performance.now() - askedAt;
    };
    for (let now = 0; now < FILL_MS; now += STEP_MS) {
      const arriving =
        now === 0 ? WAITING : random() < (PER_SECOND * STEP_MS) / 1_000 ? 1 : 0;
      for (let count = 0; count < arriving; count += 1) {
        void send(entries[Math.floor(random() * ENTRIES)]!);
      }
      await clock.tickAsync(STEP_MS);
    }
    await clock.tickAsync(FILL_MS);
    const mostOnOne = Math.max(...totals.values());
    return {mostOnOne, sent, meanWaitMs: waitedMs / sent};
  } finally {
    clock.uninstall();
  }
}

/** Starts an entry in front of a server that has registered first of those that the directory lacks. */
async function startFilling(targetLatencyMs: number, fillMs: number) {
  const server = await startServer('s1', (request, socket) => {
    socket.write(
      formatStreamHead(request) + formatChunk(formatEvent(1)) + LAST_CHUNK,
    );
  });
  const gateway = track(new GatewayHarness());
  const configuration = buildEngineConfiguration({
    kind: 'streaming',
    isResumable: true,
    targetLatencyMs,
  });
  await gateway.start(configuration, []);
  gateway.update({
    directory: {ageMs: 0, fillMs},
    servers: [server.describe()],
  });
  return {server, gateway};
}

test('after a restart of all processes the first server to register does not get the requests of all entries', async () => {
  const before = await runRestart(false);
  const after = await runRestart(true);
  const figures = JSON.stringify({before, after});
  assert.ok(before.mostOnOne > 200, figures);
  assert.ok(after.mostOnOne < before.mostOnOne / 4, figures);
  assert.equal(after.sent, before.sent, figures);
  assert.ok(after.meanWaitMs < FILL_MS / 2, figures);
});

test('requests wait while the directory of servers fills, and all are answered', async () => {
  const {server, gateway} = await startFilling(1_400, FILL_MS);
  const offers = setInterval(() => gateway.exchangeDemand(), 20);
  try {
    const exchanges = Array.from({length: 20}, (unused, index) =>
      gateway.exchange(formatRequest({method: 'POST', id: `r${index}`})),
    );
    await sleep(150);
    assert.ok(server.received.length < 10, `${server.received.length} sends`);
    const statuses = (await Promise.all(exchanges)).map(readStatus);
    assert.deepEqual(
      statuses,
      statuses.map(() => 200),
    );
  } finally {
    clearInterval(offers);
  }
});

test('a request is not held beyond the time at which its answer can still be in time', async () => {
  const {gateway} = await startFilling(600, 60_000);
  const offers = setInterval(() => gateway.exchangeDemand(), 20);
  try {
    const startedAt = performance.now();
    const request = formatRequest({method: 'POST'});
    assert.equal(readStatus(await gateway.exchange(request)), 200);
    assert.ok(performance.now() - startedAt < 600);
  } finally {
    clearInterval(offers);
  }
});

test('entries that learn from an instance that has run for long hold nothing', () => {
  const filling = new DirectoryFill();
  assert.equal(filling.isFilling, false);
  filling.update({directory: {ageMs: 20, fillMs: FILL_MS}});
  assert.equal(filling.isFilling, true);
  filling.update({directory: {ageMs: 60_000, fillMs: FILL_MS}});
  assert.equal(filling.isFilling, false);
  filling.update({directory: {ageMs: 10, fillMs: FILL_MS}});
  assert.equal(filling.isFilling, false);
});

test('a caller who leaves while its request is held is released', async () => {
  const filling = new DirectoryFill();
  filling.update({directory: {ageMs: 0, fillMs: 60_000}});
  const controller = new AbortController();
  const startBy = performance.now() + 60_000;
  const turns = Array.from({length: 3}, () =>
    filling.waitTurn({service: 'drafts', startBy, signal: controller.signal}),
  );
  assert.ok(filling.countHeld('drafts') >= 2);
  controller.abort();
  const results = await Promise.allSettled(turns);
  assert.ok(results.filter(({status}) => status === 'rejected').length >= 2);
  assert.equal(filling.countHeld('drafts'), 0);
});
