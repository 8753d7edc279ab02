import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {afterEach, test} from 'node:test';
import {
  LAST_CHUNK,
  ReceivedRequest,
  formatChunk,
  formatEvent,
  formatStreamHead,
} from './FakeServer.js';
import {GatewayHarness, formatRequest} from './GatewayHarness.js';
import {startGateway, startServer, stopStarted, track} from './startGateway.js';

afterEach(stopStarted);

const EVENTS = [1, 2, 3].map(formatEvent);
const STREAM = EVENTS.join('');

/** The head of a stream that ends with its connection. */
function formatUnframedHead(request: ReceivedRequest): string {
  return formatStreamHead(request).replace(
    'Transfer-Encoding: chunked\r\n',
    '',
  );
}

/** Ways in which a server ends a connection behind the bytes that it has sent. */
const ENDINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  'a close': socket => socket.destroySoon(),
  'a half-close': socket => socket.end(),
  'a reset': socket => setTimeout(() => socket.resetAndDestroy(), 15),
};

/** Counts the events that are whole before a position of the stream. */
function countWhole(cut: number): number {
  let end = 0;
  return EVENTS.filter(event => (end += event.length) <= cut).length;
}

/** Sends the events behind the last one that the caller has. */
function sendRest(request: ReceivedRequest, socket: Socket): void {
  const after = Number(request.headers.get('last-event-id') ?? 0);
  const rest = EVENTS.slice(after).map(formatChunk).join('');
  socket.write(formatStreamHead(request) + rest + LAST_CHUNK);
}

/** Starts a gateway with a server that cuts its stream and one that sends the rest. */
async function startCut(
  cut: number,
  isResumable: boolean,
  end: (socket: Socket) => void,
): Promise<GatewayHarness> {
  const cutting = await startServer('s1', (request, socket) => {
    // The rest may be asked for here before the second server is listed.
    if (request.headers.has('last-event-id') || cutting.received.length > 1) {
      sendRest(request, socket);
      return;
    }
    socket.write(formatUnframedHead(request) + STREAM.slice(0, cut));
    end(socket);
  });
  const gateway = await startGateway({kind: 'streaming', isResumable}, [
    cutting,
  ]);
  const resuming = await startServer('s2', sendRest);
  // The second server is listed once the first one has got the request.
  const timer = setInterval(() => {
    if (cutting.received.length === 0) return;
    clearInterval(timer);
    gateway.list([
      resuming.describe(),
      cutting.describe({state: 'leaving', sequence: 2}),
    ]);
  }, 1);
  track({stop: () => Promise.resolve(clearInterval(timer))});
  return gateway;
}

function readEvents(text: string): string[] {
  return [...text.matchAll(/data: piece (\d)\n\n/g)].map(([, id]) => id ?? '');
}

function isWhole(text: string): boolean {
  return text.endsWith(LAST_CHUNK);
}

for (const [name, end] of Object.entries(ENDINGS)) {
  test(`a resumable stream without a length that ${name} cuts anywhere is delivered once and whole`, async () => {
    for (let cut = 0; cut < STREAM.length; cut += 1) {
      const gateway = await startCut(cut, true, end);
      const text = await gateway.exchange(formatRequest());
      // A connection that is closed in order behind a whole event ends the stream there.
      const isEnd =
        name !== 'a reset' &&
        cut > 0 &&
        EVENTS.slice(0, countWhole(cut)).join('').length === cut;
      const expected = isEnd ? countWhole(cut) : EVENTS.length;
      const ids = EVENTS.slice(0, expected).map((_, index) => `${index + 1}`);
      assert.deepEqual(readEvents(text), ids, `cut at ${cut}`);
      assert.ok(isWhole(text), `cut at ${cut}`);
      await stopStarted();
    }
  });

  test(`a stream without a length that ${name} cuts inside an event does not look complete`, async () => {
    for (let cut = 1; cut < STREAM.length; cut += 1) {
      const whole = EVENTS.slice(0, countWhole(cut)).join('').length;
      if (whole === cut && name !== 'a reset') continue;
      const gateway = await startCut(cut, false, end);
      const text = await gateway.exchange(formatRequest());
      const isSuccess = text.startsWith('HTTP/1.1 200');
      assert.ok(!isSuccess || !isWhole(text), `cut at ${cut}: ${text}`);
      await stopStarted();
    }
  });

  test(`an answer without a length that ${name} ends goes out whole or not at all`, async () => {
    for (const isOldCaller of [false, true]) {
      const server = await startServer('s1', (request, socket) => {
        const head = formatUnframedHead(request).replace(
          'text/event-stream',
          'text/plain',
        );
        socket.write(`${head}whole`);
        end(socket);
      });
      const gateway = await startGateway({kind: 'unsafe'}, [server]);
      const request = formatRequest({method: 'POST'});
      const text = await gateway.exchange(
        isOldCaller ? request.replace('HTTP/1.1', 'HTTP/1.0') : request,
      );
      if (name === 'a reset') assert.match(text, /^HTTP\/1\.1 502 /);
      else assert.match(text, /^HTTP\/1\.1 200 [^]*\r\n\r\nwhole$/);
      await stopStarted();
    }
  });
}

test('a caller of HTTP/1.0 gets a stream without a length that ends with its connection, and a cut one is reset', async () => {
  const oldRequest = formatRequest().replace('HTTP/1.1', 'HTTP/1.0');
  const whole = await startCut(STREAM.length, false, socket => socket.end());
  const text = await whole.exchange(oldRequest);
  assert.deepEqual(readEvents(text), ['1', '2', '3']);
  await stopStarted();
  const cut = await startCut(STREAM.length - 4, false, socket => socket.end());
  const caller = await cut.open();
  let error: NodeJS.ErrnoException | undefined;
  caller.on('error', thrown => (error = thrown));
  const closed = new Promise(resolve => caller.on('close', resolve));
  caller.resume();
  caller.write(oldRequest);
  await closed;
  assert.equal(error?.code, 'ECONNRESET');
});
