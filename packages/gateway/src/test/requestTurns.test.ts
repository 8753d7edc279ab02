import assert from 'node:assert/strict';
import {once} from 'node:events';
import {afterEach, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {formatAnswer} from './FakeServer.js';
import {formatRequest} from './GatewayHarness.js';
import {startGateway, startServer, stopStarted} from './startGateway.js';

afterEach(stopStarted);

const MANY = 500;

/** Formats requests that are sent one behind the other; the last one closes the connection. */
function formatRequests(count: number): string {
  return Array.from({length: count}, (_, index) => {
    const text = formatRequest({id: `r${index}`});
    const isLast = index === count - 1;
    return isLast ? text : text.replace('Connection: close\r\n', '');
  }).join('');
}

test('requests one behind the other on a connection are served one at a time, in their order', async () => {
  let running = 0;
  let most = 0;
  const server = await startServer('s1', (request, socket) => {
    running += 1;
    most = Math.max(most, running);
    setTimeout(() => {
      running -= 1;
      socket.write(formatAnswer(request, 'served'));
    }, 2);
  });
  const gateway = await startGateway({kind: 'safe'}, [server]);
  const text = await gateway.exchange(formatRequests(12));
  const ids = [...text.matchAll(/X-Request-Id: (r\d+)/gi)].map(([, id]) => id);
  assert.deepEqual(
    ids,
    Array.from({length: 12}, (_, index) => `r${index}`),
  );
  assert.equal(most, 1);
});

test('requests that wait behind others run no more once their client has left', async () => {
  const server = await startServer('s1', (request, socket) =>
    setTimeout(() => socket.write(formatAnswer(request, 'served')), 20),
  );
  const gateway = await startGateway({kind: 'safe'}, [server]);
  const caller = await gateway.open();
  caller.write(formatRequests(MANY));
  while (server.received.length === 0) await pause(1);
  caller.destroy();
  await once(caller, 'close');
  await pause(100);
  assert.ok(server.received.length <= 3, `${server.received.length} ran`);
  const text = await gateway.exchange(formatRequest({id: 'other'}));
  assert.match(text, /^HTTP\/1\.1 200 /);
});
