import assert from 'node:assert/strict';
import {once} from 'node:events';
import {AddressInfo, Socket, createServer} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {BackendClient} from '../lib/BackendClient.js';

const TIMEOUTS = {
  connectMs: 1_000,
  firstByteMs: 1_000,
  betweenFramesMs: 500,
  serviceMs: 2_000,
};
/** More than fits in the buffers of a loopback connection that is not read. */
const UPLOAD = Buffer.alloc(6 * 1024 * 1024, 'u');
const PART = 'the first part of an answer';
const OK = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n';

/** Whether an upload or a reset is noticed first differs from run to run. */
const RUNS = 5;

/** Ways in which a server breaks off an answer while the upload is still being written. */
const BREAKS: Readonly<Record<string, (socket: Socket) => void>> = {
  'a reset at once': socket => socket.resetAndDestroy(),
  'a reset a moment later': socket =>
    void setTimeout(() => socket.resetAndDestroy(), 10),
  'a close with unread bytes': socket => socket.destroy(),
  'a half-close and a reset': socket =>
    void socket.end(() => setTimeout(() => socket.resetAndDestroy(), 10)),
};

/** Starts a server that answers at the first bytes of a request and reads no further. */
async function startServer(
  context: TestContext,
  answer: string,
  breakOff: (socket: Socket) => void,
): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer({allowHalfOpen: true}, socket => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.pause();
      socket.write(answer, () => breakOff(socket));
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => {
    sockets.forEach(socket => socket.destroy());
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Calls a plain service and returns the body of its answer, or that it failed. */
async function call(
  context: TestContext,
  address: string,
  body: Buffer | undefined,
  isRepeatable: boolean,
): Promise<string> {
  const client = new BackendClient(TIMEOUTS);
  context.after(() => client.stop());
  return client
    .callService({
      url: `${address}/`,
      method: body ? 'POST' : 'GET',
      headers: {},
      ...(body && {body}),
      maxResponseBytes: 1024,
      isRepeatable,
    })
    .then(
      answer => `answered ${answer.body.toString()}`,
      ({kind, ran}: {kind: string; ran: string}) => `${kind} ${ran}`,
    );
}

for (const isRepeatable of [true, false]) {
  for (const [name, breakOff] of Object.entries(BREAKS)) {
    test(`${name} during the upload, repeatable ${isRepeatable}: a part is no answer`, async context => {
      for (let run = 0; run < RUNS; run += 1) {
        const address = await startServer(context, OK + PART, breakOff);
        const outcome = await call(context, address, UPLOAD, isRepeatable);
        assert.equal(outcome, 'backend_failed unknown', `run ${run}`);
      }
    });
  }
}

for (const status of [
  '000',
  '001',
  '099',
  '600',
  '999',
  '20',
  '2000',
  '+200',
]) {
  test(`status '${status}' is no answer of a plain service`, async context => {
    const head = `HTTP/1.1 ${status} Odd\r\nContent-Length: ${PART.length}\r\n\r\n`;
    const address = await startServer(context, head + PART, () => {});
    const outcome = await call(context, address, undefined, false);
    assert.equal(outcome, 'backend_failed unknown');
  });
}
