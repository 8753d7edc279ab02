import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {
  LAST_CHUNK,
  ReceivedRequest,
  formatAnswer,
  formatChunk,
  formatEvent,
  formatHead,
} from './FakeServer.js';
import {formatRequest} from './GatewayHarness.js';
import {startGateway, startServer, stopStarted} from './startGateway.js';

afterEach(stopStarted);

const BODY = 'the body that the server has signed';
const HALF = BODY.slice(0, 10);
const LENGTH = `Content-Length: ${BODY.length}`;
const CHUNKED = 'Transfer-Encoding: chunked';
const TYPE = 'Content-Type: text/plain';

type BuildAnswer = (request: ReceivedRequest) => string;

function build(fields: readonly string[], body: string, status?: string) {
  return (request: ReceivedRequest) =>
    formatHead(request, fields, status) + body;
}

/** Answers of which no byte may reach a caller. */
const UNSOUND_ANSWERS: Readonly<Record<string, BuildAnswer>> = {
  'two lengths': build([LENGTH, `Content-Length: ${HALF.length}`], BODY),
  'a length and chunks': build(
    [LENGTH, CHUNKED],
    formatChunk(HALF) + LAST_CHUNK,
  ),
  'a length that is no number': build(['Content-Length: 1e1'], BODY),
  'a coding of the transfer': build(
    ['Transfer-Encoding: gzip, chunked'],
    formatChunk(BODY) + LAST_CHUNK,
  ),
  'a coding': build([LENGTH, 'Content-Encoding: gzip'], BODY),
  'another protocol': build(
    ['Connection: upgrade', 'Upgrade: other'],
    BODY,
    '101 Switching Protocols',
  ),
  'a status below 100': build([LENGTH], BODY, '099 None'),
  'status 000': build([LENGTH], BODY, '000 None'),
  'a control character in a value': build([LENGTH, 'X-Other: a\u0007b'], BODY),
  'a field name with a space': build([LENGTH, 'X Other: a'], BODY),
  'a field without colon': build([LENGTH, 'X-Other'], BODY),
  'two signatures': build([LENGTH, 'X-Signature: other'], BODY),
  'a signature for the connection only': build(
    [LENGTH, 'Connection: X-Signature'],
    BODY,
  ),
  'a request id for the connection only': build(
    [LENGTH, 'Connection: keep-alive, x-request-id'],
    BODY,
  ),
  'a type for the connection only': build(
    [LENGTH, TYPE, 'Connection: Content-Type'],
    BODY,
  ),
};

/** Answers with odd fields around a body that is whole. */
const SOUND_ANSWERS: Readonly<Record<string, BuildAnswer>> = {
  trailers: build(
    [CHUNKED, 'Trailer: X-Signature'],
    `${formatChunk(BODY)}0\r\nX-Signature: other\r\nX-Other: 3\r\n\r\n`,
  ),
  'an interim answer': request =>
    'HTTP/1.1 103 Early Hints\r\nX-Request-Id: other\r\nX-Signature: other\r\n' +
    `X-Not-Executed: full\r\nContent-Length: 3\r\n\r\n${formatAnswer(request, BODY)}`,
  'several interim answers': request =>
    'HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199 Other\r\nTransfer-Encoding: chunked\r\n\r\n' +
    formatAnswer(request, BODY),
  'the type of a stream': build(
    [LENGTH, 'Content-Type: text/event-stream'],
    BODY,
  ),
  'the range of another body': build(
    [LENGTH, 'Content-Range: bytes 0-9/10'],
    BODY,
  ),
  'status 205': build([LENGTH], BODY, '205 Reset Content'),
};

function readBody(text: string): string {
  const body = text.slice(text.indexOf('\r\n\r\n') + 4);
  if (!/^transfer-encoding: chunked/im.test(text)) return body;
  return body.replace(/[0-9a-f]+\r\n([^]*?)\r\n/g, '$1').replace(/^0?\r\n/, '');
}

// Guards against answers that look whole to a caller and are not what the server has signed.
for (const [name, answer] of Object.entries(UNSOUND_ANSWERS)) {
  for (const kind of ['safe', 'unsafe', 'streaming'] as const) {
    test(`${name}, ${kind}: nothing of it reaches the caller`, async () => {
      const server = await startServer('s1', (request, socket) =>
        socket.write(answer(request), 'latin1'),
      );
      const gateway = await startGateway({kind, maxAttempts: 1}, [server]);
      const text = await gateway.exchange(formatRequest({method: 'POST'}));
      assert.match(text, /^HTTP\/1\.1 50[0-4] /);
      assert.equal(text.includes(HALF), false, text);
    });
  }
}

/** What may stand where the status of a final answer is due. */
const NO_FINAL_STATUSES = [
  ...['000', '001', '099', '600', '601', '999', '0200', '2000', '20', '2'],
  ...['+200', '-200', ' 200', '2 00', '2e2', '0x0c8', 'abc', ''],
];
const STREAM_TYPE = 'Content-Type: text/event-stream';

for (const status of NO_FINAL_STATUSES) {
  for (const framing of ['a length', 'chunks', 'no length'] as const) {
    test(`status '${status}' with ${framing}: no answer, on any route`, async () => {
      const buildFraming = (body: string) =>
        ({
          'a length': `Content-Length: ${body.length}\r\n\r\n${body}`,
          chunks: `${CHUNKED}\r\n\r\n${formatChunk(body)}${LAST_CHUNK}`,
          'no length': `\r\n${body}`,
        })[framing];
      for (const kind of ['safe', 'unsafe', 'streaming'] as const) {
        const body = kind === 'streaming' ? formatEvent(1) : BODY;
        const server = await startServer('s1', (request, socket) => {
          const id = request.headers.get('x-request-id') ?? '';
          const head = `HTTP/1.1 ${status} Odd\r\nX-Request-Id: ${id}\r\nX-Signature: signed\r\n${STREAM_TYPE}\r\n`;
          socket.end(head + buildFraming(body));
        });
        const gateway = await startGateway({kind, maxAttempts: 1}, [server]);
        const text = await gateway.exchange(formatRequest({method: 'POST'}));
        assert.match(text, /^HTTP\/1\.1 50[24] /, kind);
        assert.equal(text.includes(body), false, text);
        await stopStarted();
      }
    });
  }

  test(`status '${status}': a safe request is answered by another server`, async () => {
    const odd = await startServer('s1', (request, socket) =>
      socket.end(build([LENGTH], BODY, `${status} Odd`)(request)),
    );
    const sound = await startServer('s2', (request, socket) =>
      socket.write(formatAnswer(request, 'sound')),
    );
    const gateway = await startGateway({kind: 'safe'}, [odd, sound]);
    for (let run = 0; run < 4; run += 1) {
      const text = await gateway.exchange(formatRequest({id: `r${run}`}));
      assert.match(text, /^HTTP\/1\.1 200 [^]*sound$/);
    }
  });

  test(`status '${status}': a stream that is resumed there does not go on with it`, async () => {
    const server = await startServer('s1', (request, socket) => {
      const after = Number(request.headers.get('last-event-id') ?? 0);
      const events = formatChunk(formatEvent(after + 1));
      const fields = [STREAM_TYPE, CHUNKED];
      if (after === 0) socket.end(formatHead(request, fields) + events);
      else if (server.received.length > 2) {
        socket.write(formatHead(request, fields) + events + LAST_CHUNK);
      } else {
        const odd = formatHead(request, fields, `${status} Odd`);
        socket.end(odd + formatChunk(formatEvent(9)) + LAST_CHUNK);
      }
    });
    const route = {kind: 'streaming', isResumable: true} as const;
    const gateway = await startGateway(route, [server]);
    const text = await gateway.exchange(formatRequest({method: 'POST'}));
    assert.equal(text.includes(formatEvent(9)), false, text);
  });
}

for (const isClosed of [true, false]) {
  test(`interim answers alone are no answer, ${isClosed ? 'then a close' : 'then silence'}`, async () => {
    const server = await startServer('s1', (request, socket) => {
      const interim = build([LENGTH], BODY, '103 Early Hints')(request);
      if (isClosed) socket.end(interim);
      else socket.write(interim);
    });
    const route = {kind: 'unsafe', timeoutMs: 400} as const;
    const gateway = await startGateway(route, [server]);
    const text = await gateway.exchange(formatRequest({method: 'POST'}));
    assert.match(text, /^HTTP\/1\.1 50[24] /);
    assert.equal(text.includes(BODY), false, text);
  });
}

for (const [name, answer] of Object.entries(SOUND_ANSWERS)) {
  test(`${name}: the caller gets the body and one signature`, async () => {
    const server = await startServer('s1', (request, socket) =>
      socket.write(answer(request)),
    );
    const gateway = await startGateway({kind: 'safe'}, [server]);
    const text = await gateway.exchange(formatRequest({}));
    assert.match(text, /^HTTP\/1\.1 20[05] /);
    assert.deepEqual(text.match(/x-signature: .*/gi), ['X-Signature: signed']);
    assert.equal(readBody(text).replace(/\r\n$/, ''), BODY);
  });
}

// RFC 9110 forbids framing fields in trailers; whether the parser accepts them depends on its version.
for (const field of ['Content-Length: 3', 'Transfer-Encoding: gzip']) {
  test(`${field} in a trailer: the caller gets the body or nothing of it`, async () => {
    const server = await startServer('s1', (request, socket) =>
      socket.write(
        formatHead(request, [CHUNKED]) +
          `${formatChunk(BODY)}0\r\nX-Signature: other\r\n${field}\r\n\r\n`,
      ),
    );
    const gateway = await startGateway({kind: 'safe', maxAttempts: 1}, [
      server,
    ]);
    const text = await gateway.exchange(formatRequest({}));
    if (!text.startsWith('HTTP/1.1 200 ')) {
      assert.match(text, /^HTTP\/1\.1 50[24] /);
      assert.equal(text.includes(HALF), false, text);
      return;
    }
    const signatures = text.match(/x-signature: .*/gi);
    assert.deepEqual(signatures, ['X-Signature: signed']);
    assert.equal(readBody(text).replace(/\r\n$/, ''), BODY);
  });
}

for (const status of ['204 No Content', '304 Not Modified']) {
  test(`a body behind ${status} does not become the answer to the next request`, async () => {
    const server = await startServer('s1', (request, socket) => {
      const isFirst = server.received.length === 1;
      const other = formatAnswer(request, 'spoiled');
      if (isFirst) socket.write(build([LENGTH], other, status)(request));
      else socket.write(formatAnswer(request, BODY));
    });
    const gateway = await startGateway({kind: 'safe'}, [server]);
    const first = await gateway.exchange(formatRequest({}));
    const second = await gateway.exchange(formatRequest({}));
    assert.equal((first + second).includes('spoiled'), false, first + second);
    assert.match(first, new RegExp(`^HTTP/1\\.1 ${status.slice(0, 3)} `));
    assert.equal(readBody(second), BODY);
  });
}

test('a stream whose type is for the connection only is no stream', async () => {
  const fields = ['Content-Type: text/event-stream', CHUNKED];
  const server = await startServer('s1', (request, socket) => {
    const head = [...fields, 'Connection: content-type'];
    const events = formatChunk(formatEvent(1)) + LAST_CHUNK;
    socket.write(formatHead(request, head) + events);
  });
  const gateway = await startGateway({kind: 'streaming'}, [server]);
  const text = await gateway.exchange(formatRequest({method: 'POST'}));
  assert.match(text, /^HTTP\/1\.1 50[24] /);
});
