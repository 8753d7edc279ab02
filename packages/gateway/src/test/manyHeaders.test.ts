import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {
  FakeServer,
  ReceivedRequest,
  answerWell,
  formatAnswer,
} from './FakeServer.js';
import {
  GatewayHarness,
  buildConfiguration,
  buildRoute,
  formatRequest,
  readStatus,
} from './GatewayHarness.js';
import {startServer, stopStarted, track} from './startGateway.js';

afterEach(stopStarted);

/** More than node:http keeps by default. */
const HEADER_COUNT = 1_100;
const MAX_HEADER_BYTES = 16_384;
/** More headers than the limit of their size permits. */
const EXCESSIVE_COUNT = 2_000;

function formatManyHeaders(count = HEADER_COUNT): string[] {
  return Array.from({length: count}, (_, index) => `a-${index}: 1`);
}

/** Starts a gateway with one server that is sent requests once at most. */
async function startUnsafe(server: FakeServer): Promise<GatewayHarness> {
  const gateway = track(new GatewayHarness());
  const limits = {
    maxHeaderBytes: MAX_HEADER_BYTES,
    maxBodyBytes: 1_000,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 8_000,
  };
  const route = buildRoute({kind: 'unsafe'});
  await gateway.start(buildConfiguration([route], {limits}), [
    server.describe(),
  ]);
  return gateway;
}

/** Formats a request whose length follows many other headers. */
function formatLongRequest(body: string, count?: number): string {
  const many = formatManyHeaders(count).join('\r\n');
  return formatRequest({method: 'POST', body}).replace(
    'Content-Length',
    `${many}\r\nContent-Length`,
  );
}

/** Formats an answer whose own headers follow many others. */
function formatLongAnswer(request: ReceivedRequest): string {
  const [line = '', ...rest] = formatAnswer(request, 'whole').split('\r\n');
  return [line, ...formatManyHeaders(), ...rest].join('\r\n');
}

// Guards against a request that runs without its body because its last headers were dropped.
test('a request with many headers is forwarded with all of them and with its body', async () => {
  const server = await startServer('s1', answerWell);
  const gateway = await startUnsafe(server);
  const text = await gateway.exchange(formatLongRequest('the body'));
  assert.equal(readStatus(text), 200);
  const [request] = server.received;
  assert.equal(request?.body, 'the body');
  assert.equal(request?.head.match(/^a-\d+: 1/gm)?.length, HEADER_COUNT);
});

// Guards against an answer that is taken for another server's because its last headers were dropped.
test('an answer with many headers is delivered with all of them', async () => {
  const server = await startServer('s1', (request, socket) => {
    socket.write(formatLongAnswer(request));
  });
  const gateway = await startUnsafe(server);
  const text = await gateway.exchange(formatRequest({method: 'POST'}));
  assert.equal(readStatus(text), 200);
  assert.match(text, /x-signature: signed\r\n/i);
  assert.ok(text.endsWith('\r\n\r\nwhole'));
  assert.equal(text.match(/^a-\d+: 1/gm)?.length, HEADER_COUNT);
});

test('a head with many headers beyond the configured size is refused and reaches no server', async () => {
  const server = await startServer('s1', answerWell);
  const gateway = await startUnsafe(server);
  const request = formatLongRequest('the body', EXCESSIVE_COUNT);
  const text = await gateway.exchange(request);
  assert.equal(readStatus(text), 431);
  assert.equal(server.received.length, 0);
});
