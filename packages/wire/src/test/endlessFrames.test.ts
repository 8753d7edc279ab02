import assert from 'node:assert/strict';
import {once} from 'node:events';
import {AddressInfo, Socket, createServer} from 'node:net';
import {test} from 'node:test';
import type {TestContext} from 'node:test';
import {connectPeer} from '../lib/connectPeer.js';
import {MAX_FRAME_BYTES} from '../lib/FrameDecoder.js';

const TIMEOUTS = {
  heartbeatMs: 50,
  silenceTimeoutMs: 200,
  requestTimeoutMs: 10_000,
};
const BLOCK = Buffer.alloc(64 * 1024, 'x');

/** Starts a peer that sends bytes without end and returns its port. */
async function startPeer(
  context: TestContext,
  send: (socket: Socket) => void,
): Promise<number> {
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.resume();
    send(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => server.close());
  return (server.address() as AddressInfo).port;
}

function formatLength(length: number): Buffer {
  const prefix = Buffer.alloc(4);
  prefix.writeUInt32BE(length);
  return prefix;
}

const SENDERS: Readonly<Record<string, (socket: Socket) => void>> = {
  'a frame that comes byte by byte': socket => {
    socket.write(formatLength(MAX_FRAME_BYTES));
    const timer = setInterval(() => socket.write('x'), 5);
    socket.on('close', () => clearInterval(timer));
  },
  'bytes that are no frame, as fast as they are read': socket => {
    socket.write(formatLength(MAX_FRAME_BYTES));
    const send = () => {
      while (!socket.destroyed && socket.write(BLOCK));
    };
    socket.on('drain', send);
    send();
  },
};

for (const [name, send] of Object.entries(SENDERS)) {
  test(`a link is closed whose peer sends ${name}`, async context => {
    let bytesRead = 0;
    const port = await startPeer(context, socket => {
      socket.on('close', () => (bytesRead = socket.bytesWritten));
      send(socket);
    });
    const startedAt = performance.now();
    await assert.rejects(
      connectPeer({
        address: {host: '127.0.0.1', port},
        name: 'e1',
        peerKey: 'key',
        timeouts: TIMEOUTS,
      }),
      {kind: 'link_closed'},
    );
    assert.ok(performance.now() - startedAt < TIMEOUTS.requestTimeoutMs / 2);
    assert.ok(bytesRead < 3 * MAX_FRAME_BYTES);
  });
}
