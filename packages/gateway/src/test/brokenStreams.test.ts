import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {afterEach, test} from 'node:test';
import {
  FakeServer,
  LAST_CHUNK,
  ReceivedRequest,
  ServerScript,
  formatAnswer,
  formatChunk,
  formatEvent,
  formatStreamHead,
} from './FakeServer.js';
import {formatRequest} from './GatewayHarness.js';
import {startGateway, startServer, stopStarted} from './startGateway.js';

afterEach(stopStarted);

const ERROR_TEXT = 'the pool is broken';

function formatError(request: ReceivedRequest, status: string): string {
  return formatAnswer(request, ERROR_TEXT).replace('200 OK', status);
}

function formatUnsigned(request: ReceivedRequest): string {
  return formatStreamHead(request).replace('X-Signature: signed\r\n', '');
}

/** What the next server may answer to the rest of a stream. */
const OTHER_ANSWERS: Readonly<
  Record<string, (request: ReceivedRequest, socket: Socket) => void>
> = {
  'an error 500': (request, socket) =>
    socket.write(formatError(request, '500 Error')),
  'an error 502 in chunks': (request, socket) =>
    socket.write(
      formatStreamHead(request).replace('200 OK', '502 Bad') +
        formatChunk(ERROR_TEXT) +
        LAST_CHUNK,
    ),
  'an error 503 without a length': (request, socket) =>
    socket.end(
      formatError(request, '503 Full').replace(/Content-Length: \d+\r\n/, ''),
    ),
  'an error 404': (request, socket) =>
    socket.write(formatError(request, '404 Gone')),
  'a redirection': (request, socket) =>
    socket.write(formatError(request, '302 Found')),
  'a refusal that says it was not run': (request, socket) =>
    socket.write(
      formatAnswer(request, ERROR_TEXT, ['X-Not-Executed: 1']).replace(
        '200 OK',
        '503 Full',
      ),
    ),
  'a success that is no stream': (request, socket) =>
    socket.write(formatAnswer(request, ERROR_TEXT)),
  'an empty success': (request, socket) =>
    socket.write(formatAnswer(request, '').replace('200 OK', '204 Empty')),
  'a stream without a signature': (request, socket) =>
    socket.write(formatUnsigned(request) + formatChunk(ERROR_TEXT)),
  'a stream with part of an event': (request, socket) => {
    const part = formatChunk(`id: 2\ndata: ${ERROR_TEXT}`);
    socket.write(formatStreamHead(request) + part + LAST_CHUNK);
  },
  'bytes that are no answer': (request, socket) =>
    socket.end(`${ERROR_TEXT}\r\n\r\n`),
  'half a head': (request, socket) =>
    socket.end(`HTTP/1.1 500 Error\r\nX-Text: ${ERROR_TEXT}`),
  'an answer to another request': (request, socket) =>
    socket.write(
      formatError(request, '500 Error').replace(
        /X-Request-Id: [^\r]*/,
        'X-Request-Id: other',
      ),
    ),
};

function startStreamingServers(
  answerRest: ServerScript,
): Promise<FakeServer[]> {
  return Promise.all(
    ['s1', 's2', 's3'].map(id =>
      startServer(id, (request, socket) => {
        if (request.headers.get('last-event-id') !== undefined) {
          answerRest(request, socket);
          return;
        }
        socket.write(formatStreamHead(request) + formatChunk(formatEvent(1)));
        setTimeout(() => socket.resetAndDestroy(), 20);
      }),
    ),
  );
}

for (const [name, answerRest] of Object.entries(OTHER_ANSWERS)) {
  test(`the rest of a stream is answered with ${name}: its text is not in the stream, which does not look complete`, async () => {
    const servers = await startStreamingServers(answerRest);
    const gateway = await startGateway(
      {kind: 'streaming', isResumable: true, maxAttempts: 2},
      servers,
    );
    const text = await gateway.exchange(formatRequest({method: 'POST'}));
    assert.ok(servers.some(({received}) => received.length > 0));
    const [head = '', body = ''] = text.split('\r\n\r\n', 2);
    assert.match(head, /^HTTP\/1\.1 200 /);
    assert.equal(body, formatChunk(formatEvent(1)));
    assert.ok(!text.includes(ERROR_TEXT));
    assert.equal(text.match(/HTTP\/1\.1/g)?.length, 1);
    assert.equal(text.endsWith(LAST_CHUNK), false);
  });
}

test('the rest of a stream may be empty: only its end was lost', async () => {
  const servers = await startStreamingServers((request, socket) =>
    socket.write(formatStreamHead(request) + LAST_CHUNK),
  );
  const route = {kind: 'streaming', isResumable: true} as const;
  const gateway = await startGateway(route, servers);
  const text = await gateway.exchange(formatRequest({method: 'POST'}));
  assert.ok(text.endsWith(formatChunk(formatEvent(1)) + LAST_CHUNK));
});
