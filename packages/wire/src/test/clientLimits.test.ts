import assert from 'node:assert/strict';
import {once} from 'node:events';
import http, {IncomingMessage, ServerResponse} from 'node:http';
import {AddressInfo, Socket, connect} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {SycamoreheadError, getErrorResponse} from '@sycamorehead/schema';
import {ConnectionGuard} from '../lib/ConnectionGuard.js';
import {ClientRefusal, HeldBytes} from '../lib/HeldBytes.js';
import {HeldHeads} from '../lib/HeldHeads.js';
import {InputTurns} from '../lib/InputTurns.js';
import {readHeldBody} from '../lib/readHeldBody.js';
import {UnreadAnswers} from '../lib/UnreadAnswers.js';

const HOST = '127.0.0.1';
const MB = 1024 * 1024;
const KB = 1024;
const POLL_MS = 5;

interface TestServer {
  readonly port: number;
  readonly held: HeldBytes;
  readonly unread: UnreadAnswers;
  readonly refusals: ClientRefusal[];
  readonly bodies: Buffer[];
}

/** Starts a server that answers each body with its length, or with `answer`. */
async function startServer(
  context: TestContext,
  {
    maxConnections = 100,
    maxRequests = 1_000,
    maxUnfinishedBytes = MB,
    maxOpenBytes = MB,
    readDelayMs = 0,
    answer = '',
  } = {},
): Promise<TestServer> {
  const refusals: ClientRefusal[] = [];
  const bodies: Buffer[] = [];
  const record = (refusal: ClientRefusal) => refusals.push(refusal);
  const held = new HeldBytes(8 * MB, record);
  const unread = new UnreadAnswers(MB, record);
  const heads = new HeldHeads({maxUnfinishedBytes, maxOpenBytes}, record);
  const serve = async (message: IncomingMessage, response: ServerResponse) => {
    heads.check(message);
    if (readDelayMs > 0) await sleep(readDelayMs);
    const body = await readHeldBody(message, response, {
      held,
      maxBytes: 4 * MB,
    });
    bodies.push(body);
    const text = answer || String(body.length);
    unread.add(response, text.length);
    response.end(text);
  };
  const server = http.createServer((message, response) => {
    if (message.socket.destroyed) return;
    serve(message, response).catch((error: SycamoreheadError) => {
      const {status} = getErrorResponse(error.kind);
      response.writeHead(status, {'Content-Length': 0}).end();
    });
  });
  server.maxHeadersCount = 0;
  new ConnectionGuard(
    server,
    {
      maxConnections,
      maxRequests,
      heads,
      turns: new InputTurns(),
    },
    record,
  );
  server.listen(0, HOST);
  await once(server, 'listening');
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const {port} = server.address() as AddressInfo;
  return {port, held, unread, refusals, bodies};
}

/** Waits until a connection has ended; a reset ends it too. */
function waitForClose(socket: Socket): Promise<void> {
  return new Promise(resolve => socket.once('close', () => resolve()));
}

interface TestClient {
  readonly socket: Socket;
  received: string;
}

async function openClient(
  context: TestContext,
  port: number,
): Promise<TestClient> {
  const client = {socket: connect({host: HOST, port}), received: ''};
  client.socket.on('error', () => {});
  client.socket.on('data', data => (client.received += String(data)));
  context.after(() => client.socket.destroy());
  await once(client.socket, 'connect');
  return client;
}

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(POLL_MS);
}

const LARGE = Buffer.alloc(4 * MB, 'abcdefg');
const LARGE_HEAD = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${LARGE.length}\r\n\r\n`;
const GET = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

test('unfinished fields count by the heap that they take, as soon as they arrive', async context => {
  const maxUnfinishedBytes = 256 * KB;
  const {port, refusals} = await startServer(context, {maxUnfinishedBytes});
  const head = 'GET / HTTP/1.1\r\nHost: a\r\n';
  const modest = await openClient(context, port);
  modest.socket.write(head);
  const hostile = await openClient(context, port);
  const closed = waitForClose(hostile.socket);
  hostile.socket.write(head + 'a:\r\n'.repeat(4 * KB));
  await closed;
  modest.socket.write('\r\n');
  await waitFor(() => modest.received.startsWith('HTTP/1.1 200'));
  assert.deepEqual(refusals, ['heads_unfinished']);
});

const CHUNKED_HEAD =
  'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';

test('unfinished trailers count by the heap that they take', async context => {
  const maxUnfinishedBytes = 256 * KB;
  const {port, refusals} = await startServer(context, {maxUnfinishedBytes});
  const {socket} = await openClient(context, port);
  const closed = waitForClose(socket);
  const trailers = 'a:\r\n'.repeat(4 * KB);
  socket.write(`${CHUNKED_HEAD}1\r\na\r\n0\r\n${trailers}`);
  await closed;
  assert.deepEqual(refusals, ['heads_unfinished']);
});

test('a request whose head finds no room is refused, ordinary ones are served, and its end frees the room', async context => {
  const maxOpenBytes = 464 * KB;
  const {port, refusals} = await startServer(context, {maxOpenBytes});
  const fields = 'a:\r\n'.repeat(700);
  const head = `POST / HTTP/1.1\r\nHost: a\r\n${fields}Content-Length: 1\r\n\r\n`;
  const first = await openClient(context, port);
  first.socket.write(head);
  const second = await openClient(context, port);
  second.socket.write(head);
  await waitFor(() => second.received.startsWith('HTTP/1.1 503'));
  const ordinary = await openClient(context, port);
  ordinary.socket.write(GET);
  await waitFor(() => ordinary.received.startsWith('HTTP/1.1 200'));
  first.socket.write('a');
  await waitFor(() => first.received.startsWith('HTTP/1.1 200'));
  const third = await openClient(context, port);
  third.socket.write(`${head}a`);
  await waitFor(() => third.received.startsWith('HTTP/1.1 200'));
  assert.deepEqual(refusals, ['no_room_for_head']);
});

test('a body that sends the size of a chunk without end is closed', async context => {
  const {port, refusals} = await startServer(context);
  const {socket} = await openClient(context, port);
  const closed = waitForClose(socket);
  socket.write(CHUNKED_HEAD);
  socket.write('0'.repeat(512 * KB));
  await closed;
  assert.deepEqual(refusals, ['bytes_without_data']);
});

test('many bodies in one-byte chunks arrive unchanged, and an ordinary request is served between them', async context => {
  const {port, bodies} = await startServer(context);
  const letters = 'abcdefghij'.repeat(10 * KB);
  const chunks = [...letters].map(letter => `1\r\n${letter}\r\n`).join('');
  const clients: TestClient[] = [];
  for (let index = 0; index < 8; index += 1) {
    const client = await openClient(context, port);
    client.socket.write(`${CHUNKED_HEAD}${chunks}0\r\n\r\n`);
    clients.push(client);
  }
  const ordinary = await openClient(context, port);
  ordinary.socket.write(GET);
  await waitFor(() => ordinary.received !== '');
  assert.ok(bodies.length < clients.length, `${bodies.length} came first`);
  await waitFor(() => clients.every(({received}) => received !== ''));
  for (const body of bodies.filter(({length}) => length > 0)) {
    assert.equal(body.toString(), letters);
  }
});

for (const readDelayMs of [0, 20]) {
  for (const size of [1, 2, 4, 8, 16, 32, 64, 256]) {
    test(`a body in chunks of ${size} bytes that is read after ${readDelayMs} ms arrives unchanged`, async context => {
      const {port, bodies} = await startServer(context, {readDelayMs});
      const piece = 'abcdefgh'.repeat(32).slice(0, size);
      const count = (400 * KB) / size;
      const client = await openClient(context, port);
      const chunk = `${size.toString(16)}\r\n${piece}\r\n`;
      client.socket.write(`${CHUNKED_HEAD}${chunk.repeat(count)}0\r\n\r\n`);
      await waitFor(() => client.received !== '');
      assert.match(client.received, /^HTTP\/1\.1 200 /);
      assert.ok(bodies[0]!.equals(Buffer.from(piece.repeat(count))));
    });
  }
}

test('the last bytes of a large body do not count as a head', async context => {
  const {port, refusals} = await startServer(context, {
    maxUnfinishedBytes: KB,
  });
  const client = await openClient(context, port);
  client.socket.write(LARGE_HEAD);
  client.socket.write(LARGE);
  await waitFor(() => client.received.includes(String(LARGE.length)));
  assert.deepEqual(refusals, []);
});

test('a body that waited for room arrives unchanged, and its connection serves the next request', async context => {
  const {port, held, bodies} = await startServer(context);
  const first = await openClient(context, port);
  first.socket.write(LARGE_HEAD);
  first.socket.write(LARGE.subarray(0, MB));
  await waitFor(() => held.totalBytes >= LARGE.length);
  const second = await openClient(context, port);
  second.socket.write(LARGE_HEAD);
  second.socket.write(LARGE);
  await waitFor(() => held.waitingCount === 1);
  first.socket.destroy();
  await waitFor(() => second.received.includes(String(LARGE.length)));
  assert.ok(bodies[0]!.equals(LARGE));
  second.socket.write(GET);
  await waitFor(() => second.received.split('HTTP/1.1 200').length === 3);
});

test('a large body in tiny chunks that waited for room arrives unchanged', async context => {
  const {port, held, bodies} = await startServer(context);
  const first = await openClient(context, port);
  first.socket.write(LARGE_HEAD);
  first.socket.write(LARGE.subarray(0, MB));
  await waitFor(() => held.totalBytes >= LARGE.length);
  const second = await openClient(context, port);
  const letters = 'abcdefghij'.repeat(10 * KB);
  const chunks = [...letters].map(letter => `1\r\n${letter}\r\n`).join('');
  second.socket.write(
    `POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`,
  );
  await waitFor(() => held.waitingCount === 1);
  first.socket.destroy();
  await waitFor(() => second.received.includes(String(letters.length)));
  assert.equal(bodies[0]!.toString(), letters);
});

test('a stalled body is answered 408 while another waits, and its connection is closed', async context => {
  const {port, held, refusals} = await startServer(context);
  const stalled = await openClient(context, port);
  stalled.socket.write(LARGE_HEAD);
  stalled.socket.write(LARGE.subarray(0, MB));
  await waitFor(() => held.totalBytes >= LARGE.length);
  const closed = waitForClose(stalled.socket);
  const next = await openClient(context, port);
  next.socket.write(LARGE_HEAD);
  next.socket.write(LARGE);
  await closed;
  assert.match(stalled.received, /^HTTP\/1\.1 408 /);
  await waitFor(() => next.received.includes(String(LARGE.length)));
  assert.deepEqual(refusals, ['body_stalled']);
});

test('the connection that has been idle for longest gives way to a new one', async context => {
  const {port, refusals} = await startServer(context, {maxConnections: 2});
  const used = await openClient(context, port);
  const silent = await openClient(context, port);
  used.socket.write(GET);
  await waitFor(() => used.received !== '');
  const closed = waitForClose(silent.socket);
  const next = await openClient(context, port);
  await closed;
  next.socket.write(GET);
  await waitFor(() => next.received !== '');
  assert.equal(used.socket.destroyed, false);
  assert.deepEqual(refusals, ['too_many_connections']);
});

test('a connection that sends empty lines without end is closed', async context => {
  const {port, refusals} = await startServer(context);
  const {socket} = await openClient(context, port);
  const closed = waitForClose(socket);
  const lines = Buffer.from('\r\n'.repeat(32 * KB));
  const timer = setInterval(() => socket.write(lines), POLL_MS);
  await closed;
  clearInterval(timer);
  assert.deepEqual(refusals, ['bytes_without_request']);
});

test('of heads that take too much, those of the oldest connections are dropped', async context => {
  const maxUnfinishedBytes = 20 * KB;
  const {port, refusals} = await startServer(context, {maxUnfinishedBytes});
  const oldest = await openClient(context, port);
  const closed = waitForClose(oldest.socket);
  const head = `GET / HTTP/1.1\r\nHost: a\r\nX-Fill: ${'a'.repeat(9 * KB)}`;
  oldest.socket.write(head);
  const others = [
    await openClient(context, port),
    await openClient(context, port),
  ];
  for (const {socket} of others) socket.write(head);
  await closed;
  for (const client of others) {
    client.socket.write('\r\n\r\n');
    await waitFor(() => client.received.startsWith('HTTP/1.1 200'));
  }
  assert.deepEqual(refusals, ['heads_unfinished']);
});

test('a large body does not count as bytes without a request', async context => {
  const {port, refusals} = await startServer(context);
  const {socket} = await openClient(context, port);
  socket.write(LARGE_HEAD);
  for (let start = 0; start < LARGE.length; start += MB) {
    socket.write(LARGE.subarray(start, start + MB));
    await sleep(300);
  }
  await sleep(600);
  assert.equal(socket.destroyed, false);
  assert.deepEqual(refusals, []);
});

test('a connection with many open requests is closed when there are too many in all', async context => {
  const {port, refusals} = await startServer(context, {maxRequests: 50});
  const {socket} = await openClient(context, port);
  const closed = waitForClose(socket);
  socket.write(GET.repeat(100));
  await closed;
  assert.deepEqual(refusals, ['too_many_requests']);
});

test('of answers that are not read, the oldest is dropped, and others are delivered', async context => {
  const answer = 'a'.repeat(400 * KB);
  const {port, refusals, unread} = await startServer(context, {answer});
  const slow: TestClient[] = [];
  for (let index = 0; index < 40; index += 1) {
    const client = await openClient(context, port);
    client.socket.pause();
    client.socket.write(GET.repeat(8));
    slow.push(client);
  }
  await waitFor(() => refusals.length > 0);
  const reader = await openClient(context, port);
  reader.socket.write(GET);
  await waitFor(() => reader.received.length > answer.length);
  assert.ok(unread.totalBytes <= MB);
  assert.deepEqual(new Set(refusals), new Set(['answers_unread']));
});
