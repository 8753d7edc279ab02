import assert from 'node:assert/strict';
import {once} from 'node:events';
import http from 'node:http';
import {AddressInfo, createServer} from 'node:net';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {endExchange, resetExchange} from '../lib/cancelExchange.js';
import {stopStarted, track} from './startGateway.js';

afterEach(stopStarted);

/** More than the kernel buffers of both ends of a loopback connection. */
const BODY = Buffer.alloc(64 * 1024 * 1024);

/** Sends a request to a server that does not read it, and waits until its bytes are sent or held up. */
async function sendToUnreadingServer(
  body: Buffer,
): Promise<http.ClientRequest> {
  const server = createServer({pauseOnConnect: true});
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const accepted = once(server, 'connection');
  const {port} = server.address() as AddressInfo;
  const request = http.request({host: '127.0.0.1', port, method: 'POST'});
  request.on('error', () => {});
  request.end(body);
  const [peer] = await accepted;
  track({
    stop: async () => {
      peer.destroy();
      server.close();
    },
  });
  await sleep(100);
  return request;
}

const CANCELS = {
  'ended without an answer': (request: http.ClientRequest) => {
    void endExchange(request);
  },
  'ended and then reset': (request: http.ClientRequest) => {
    void endExchange(request);
    resetExchange(request);
  },
  reset: resetExchange,
};

const BODIES = {'no unsent bytes': Buffer.alloc(0), 'unsent bytes': BODY};

const CASES = Object.entries(CANCELS).flatMap(([name, cancel]) =>
  Object.entries(BODIES).map(([sent, body]) => ({name, cancel, sent, body})),
);

for (const {name, cancel, sent, body} of CASES) {
  test(`a connection with ${sent} that is ${name} is closed`, async () => {
    const request = await sendToUnreadingServer(body);
    const {socket} = request;
    assert.ok(socket);
    const closed = once(socket, 'close');
    cancel(request);
    await Promise.race([closed, sleep(1_000)]);
    assert.equal(socket.closed, true);
  });
}
