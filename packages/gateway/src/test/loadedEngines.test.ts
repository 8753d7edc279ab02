import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {
  FakeServer,
  LAST_CHUNK,
  formatChunk,
  formatEvent,
  formatStreamHead,
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

const STREAM = {
  kind: 'streaming',
  isResumable: true,
  timeoutMs: 20_000,
} as const;
/** Long prompts whose callers wait for the first event for a long time. */
const REVIEWS = buildRoute({
  ...STREAM,
  name: 'reviews',
  pathPrefix: '/reviews/',
  models: ['small', 'large'],
  targetLatencyMs: 8_000,
});
/** Short prompts whose callers expect the first event soon. */
const CHATS = buildRoute({
  ...STREAM,
  name: 'chats',
  pathPrefix: '/chats/',
  models: ['small', 'large'],
  targetLatencyMs: 1_500,
});
const CHAT_COUNT = 20;

/** Starts a server whose small model has little confidence in answers to reviews. */
function startDoubtfulServer(): Promise<FakeServer> {
  return startServer('s1', (request, socket) => {
    const isDoubted =
      request.headers.get('x-request-id') === 'review' &&
      request.headers.get('x-model') === 'small';
    const confidence = isDoubted ? 5 : 95;
    const head = formatStreamHead(request, [`X-Confidence: ${confidence}`]);
    socket.write(head + formatChunk(formatEvent(1)) + LAST_CHUNK);
    socket.end();
  });
}

function sendChat(gateway: GatewayHarness, index: number): Promise<string> {
  const headers = ['X-Model: *', 'X-Tokens: 800,300'];
  const id = `chat${index}`;
  const path = '/chats/1';
  return gateway.exchange(formatRequest({method: 'POST', path, id, headers}));
}

function sendReview(gateway: GatewayHarness): Promise<string> {
  const headers = ['X-Model: *', 'X-Tokens: 12000,400'];
  const path = '/reviews/1';
  const id = 'review';
  return gateway.exchange(formatRequest({method: 'POST', path, id, headers}));
}

for (const {pendingMs, model, title} of [
  {
    pendingMs: 40,
    model: 'large',
    title: 'a weak answer is requested again while engines have little to do',
  },
  {
    // Below what the reviews themselves bear.
    pendingMs: 1_300,
    model: 'small',
    title:
      'a weak answer is delivered if a larger model would make others late',
  },
]) {
  test(title, async () => {
    const server = await startDoubtfulServer();
    server.keepsHalfOpen = true;
    const gateway = track(new GatewayHarness(1));
    await gateway.start(buildConfiguration([REVIEWS, CHATS]), [
      server.describe(),
    ]);
    for (let index = 0; index < CHAT_COUNT; index += 1) {
      assert.equal(readStatus(await sendChat(gateway, index)), 200);
    }
    gateway.servers.setOthersLoad({s1: [4, pendingMs]});
    assert.equal(readStatus(await sendReview(gateway)), 200);
    const models = server.received
      .filter(({headers}) => headers.get('x-request-id') === 'review')
      .map(({headers}) => headers.get('x-model'));
    assert.equal(models.at(-1), model, models.join(','));
  });
}
