import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  ServerScript,
  answerWell,
  formatAnswer,
  formatStreamHead,
} from './FakeServer.js';
import {formatRequest, readStatus} from './GatewayHarness.js';
import {startGateway, startServer, stopStarted} from './startGateway.js';

afterEach(stopStarted);

const INTERIM = 'HTTP/1.1 100 Continue\r\n\r\n';
/** Larger than what Node.js reads from a connection at once, in bytes. */
const LARGE_BODY_BYTES = 200_000;
const PAUSE_MS = 30;

const ENDINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  'a close': socket => socket.destroySoon(),
  'a half-close': socket => socket.end(),
  'a reset': socket => setTimeout(() => socket.resetAndDestroy(), 5),
};

/** Answers that a server stops to send within their heads. */
const HEADS: Readonly<Record<string, ServerScript>> = {
  'an answer with a length': answerWell,
  'an answer after an interim one': (request, socket) =>
    socket.write(INTERIM + formatAnswer(request, 'whole')),
  'a stream': (request, socket) => socket.write(formatStreamHead(request)),
  'an answer without a length': (request, socket) =>
    socket.write(
      formatAnswer(request, 'whole').replace(/Content-Length: \d+\r\n/, ''),
    ),
};

/** Collects what a script writes. */
function collectBytes(
  script: ServerScript,
  request: Parameters<ServerScript>[0],
): string {
  let bytes = '';
  const write = (text: string) => (bytes += text);
  script(request, {write} as unknown as Socket);
  return bytes;
}

// Guards against a head that was cut short and is delivered as an answer that looks complete.
for (const [name, script] of Object.entries(HEADS)) {
  for (const [ending, end] of Object.entries(ENDINGS)) {
    for (const isReused of [false, true]) {
      const place = isReused ? 'a connection in use' : 'a new connection';
      test(`${name}, cut in its head by ${ending} on ${place}, is no success`, async () => {
        let cut = 1;
        let headLength = Infinity;
        const server = await startServer('s1', (request, socket) => {
          if (request.headers.get('x-request-id') === 'before') {
            answerWell(request, socket);
            return;
          }
          const bytes = collectBytes(script, request);
          headLength = bytes.lastIndexOf('\r\n\r\n') + 4;
          socket.write(bytes.slice(0, cut));
          end(socket);
        });
        while (cut < headLength) {
          const gateway = await startGateway({kind: 'unsafe'}, [server]);
          if (isReused) {
            const before = formatRequest({method: 'POST', id: 'before'});
            assert.equal(readStatus(await gateway.exchange(before)), 200);
          }
          const text = await gateway.exchange(formatRequest({method: 'POST'}));
          assert.equal(readStatus(text), 502, `cut at ${cut}: ${text}`);
          await gateway.stop();
          cut += 3;
        }
      });
    }
  }
}

// Guards against a sound answer that is given up as one whose head does not end.
test('an answer whose head comes in two pieces, with much of its body behind the second, is delivered', async () => {
  const body = 'x'.repeat(LARGE_BODY_BYTES);
  const server = await startServer('s1', async (request, socket) => {
    const bytes = formatAnswer(request, body);
    const middle = bytes.indexOf('X-Signature');
    socket.write(bytes.slice(0, middle));
    await sleep(PAUSE_MS);
    socket.write(bytes.slice(middle));
  });
  const gateway = await startGateway({kind: 'unsafe'}, [server]);
  const text = await gateway.exchange(formatRequest({method: 'POST'}));
  assert.equal(readStatus(text), 200);
  assert.ok(text.endsWith(body));
});
