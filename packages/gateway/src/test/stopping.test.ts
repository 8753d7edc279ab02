import assert from 'node:assert/strict';
import {once} from 'node:events';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ServerScript} from './FakeServer.js';
import {answerWell, formatAnswer} from './FakeServer.js';
import {formatRequest, readStatus} from './GatewayHarness.js';
import {startGateway, startServer, stopStarted} from './startGateway.js';

afterEach(stopStarted);

/** Size of an answer that an entry buffers whole, in bytes. */
const ANSWER_BYTES = 200_000;
/** Number of requests whose answers the buffers of a connection on loopback cannot hold. */
const REQUEST_COUNT = 1_000;
/** Time limit of requests that must not reach it on a busy machine, in milliseconds. */
const LONG_MS = 30_000;

/** Longer than the time for which a stopping entry passes new requests on, in milliseconds. */
const LATE_BODY_MS = 3_500;
/** Number of requests for a server with one slot. */
const WAITING_COUNT = 12;

function formatLongRequest(id: string, body?: string): string {
  const request = formatRequest({method: 'POST', id, body});
  return request.replace('X-Deadline-Ms: 1500', `X-Deadline-Ms: ${LONG_MS}`);
}

test('a stop waits until a slow caller has received the answers that are ready for it', async () => {
  const body = 'x'.repeat(ANSWER_BYTES);
  const server = await startServer('s1', (request, socket) =>
    socket.write(formatAnswer(request, body)),
  );
  // An unsafe request is sent once, so that each arrival stands for one answer.
  const route = {kind: 'unsafe', timeoutMs: LONG_MS} as const;
  const gateway = await startGateway(route, [server]);
  const socket = await gateway.open();
  socket.pause();
  for (let number = 1; number <= REQUEST_COUNT; number++) {
    const request = formatLongRequest(`r${number}`);
    socket.write(request.replace('Connection: close\r\n', ''));
  }
  // Node.js reads no further request of a connection once enough of its answers wait.
  let answers = 0;
  do {
    answers = server.received.length;
    await sleep(500);
  } while (answers === 0 || answers < server.received.length);
  assert.ok(answers < REQUEST_COUNT, `${answers} answers`);
  const stopped = gateway.stop(8_000);
  // Longer than the time without a request after which a stopping entry counts as idle.
  await sleep(3_500);
  let bytes = 0;
  socket.on('data', chunk => (bytes += chunk.length));
  socket.resume();
  await once(socket, 'close');
  await stopped;
  assert.ok(bytes > answers * ANSWER_BYTES, `${bytes} bytes of ${answers}`);
});

test('a request that is not answered when the grace period ends gets an answer in place of a closed connection', async () => {
  const keepSilent: ServerScript = () => {};
  const server = await startServer('s1', keepSilent);
  const gateway = await startGateway({kind: 'unsafe'}, [server]);
  const open = gateway.exchange(formatRequest({method: 'POST'}));
  while (server.received.length === 0) await sleep(10);
  await gateway.stop(200);
  assert.equal(readStatus(await open), 502);
});

// Guards against a request that is passed on so late in the grace period that its answer is cut.
test('a request whose body arrives late in the grace period is refused as not run and reaches no server', async () => {
  const server = await startServer('s1', answerWell);
  const route = {kind: 'unsafe', timeoutMs: LONG_MS} as const;
  const gateway = await startGateway(route, [server]);
  const request = formatLongRequest('r1', 'the body');
  const socket = await gateway.open();
  let text = '';
  socket.on('data', chunk => (text += String(chunk)));
  socket.write(request.slice(0, -1));
  await sleep(100);
  const stopped = gateway.stop(8_000);
  await sleep(LATE_BODY_MS);
  socket.write(request.slice(-1));
  await once(socket, 'close');
  await stopped;
  assert.equal(readStatus(text), 503);
  assert.match(text, /Retry-After: /);
  assert.equal(server.received.length, 0);
});

test('a request that waits for a slot when the grace period ends is refused as not run and reaches no server', async () => {
  const server = await startServer('s1', () => {});
  const route = {
    kind: 'unsafe',
    timeoutMs: LONG_MS,
    targetLatencyMs: LONG_MS,
  } as const;
  const gateway = await startGateway(route, [server]);
  gateway.list([server.describe({slots: 1, sequence: 2})]);
  const answers = Array.from({length: WAITING_COUNT}, (unused, index) =>
    gateway.exchange(formatLongRequest(`r${index}`), LONG_MS),
  );
  await sleep(300);
  const sent = server.received.length;
  assert.ok(sent > 0 && sent < WAITING_COUNT, `${sent} sent`);
  await gateway.stop(200);
  const statuses = (await Promise.all(answers)).map(readStatus).sort();
  assert.equal(server.received.length, sent);
  assert.deepEqual(statuses, [
    ...Array.from({length: sent}, () => 502),
    ...Array.from({length: WAITING_COUNT - sent}, () => 503),
  ]);
});
