import assert from 'node:assert/strict';
import {once} from 'node:events';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {formatAnswer} from './FakeServer.js';
import {formatRequest} from './GatewayHarness.js';
import {startGateway, startServer, stopStarted} from './startGateway.js';

afterEach(stopStarted);

/** Longer than the timeout for a head and than the time between two checks of it. */
const FREEZE_MS = 1_800;

/** Blocks this process, which simulates a frozen instance. */
function pauseProcess(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

test('a request that arrived during a freeze is run or answered 408, never both', async () => {
  const server = await startServer('s1', (request, socket) => {
    socket.write(formatAnswer(request, 'whole'));
  });
  const gateway = await startGateway({kind: 'unsafe'}, [server]);
  const socket = await gateway.open();
  let text = '';
  socket.on('data', chunk => (text += String(chunk)));
  await sleep(50);
  socket.write(formatRequest({method: 'POST'}));
  pauseProcess(FREEZE_MS);
  await Promise.race([once(socket, 'close'), sleep(1_000)]);
  socket.destroy();
  await sleep(100);
  const isRefused = /^HTTP\/1\.1 408 /.test(text);
  assert.equal(server.received.length, isRefused ? 0 : 1);
  if (!isRefused) assert.match(text, /^HTTP\/1\.1 200 [\s\S]*whole$/);
});

test('invalid bytes after a complete request do not affect its answer', async () => {
  const server = await startServer('s1', (request, socket) => {
    setTimeout(() => socket.write(formatAnswer(request, 'whole')), 100);
  });
  const gateway = await startGateway({kind: 'unsafe'}, [server]);
  const request = formatRequest({method: 'POST', body: '{}'});
  const keepAliveRequest = request.replace('Connection: close\r\n', '');
  const text = await gateway.exchange(`${keepAliveRequest}no request\r\n\r\n`);
  assert.match(text, /^HTTP\/1\.1 200 [\s\S]*whole$/);
});

test('a head that is not complete in time is answered 408 and nothing is forwarded', async () => {
  const server = await startServer('s1', () => {});
  const gateway = await startGateway({kind: 'unsafe'}, [server]);
  const head = formatRequest({method: 'POST'});
  const text = await gateway.exchange(head.slice(0, head.length / 2));
  assert.match(text, /^HTTP\/1\.1 408 /);
  assert.equal(server.received.length, 0);
});
