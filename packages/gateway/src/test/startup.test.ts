import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {formatAnswer} from './FakeServer.js';
import {
  GatewayHarness,
  buildConfiguration,
  buildRoute,
  formatRequest,
} from './GatewayHarness.js';
import {startServer, stopStarted, track} from './startGateway.js';

afterEach(stopStarted);

test('requests that arrive just before the first configuration are served once it arrives', async () => {
  const server = await startServer('s1', (request, socket) => {
    socket.write(formatAnswer(request, 'whole'));
  });
  const gateway = track(new GatewayHarness());
  await gateway.listen();
  const exchange = gateway.exchange(formatRequest());
  await sleep(100);
  assert.equal(server.received.length, 0);
  gateway.list([server.describe()]);
  gateway.setConfiguration(buildConfiguration([buildRoute()]));
  assert.match(await exchange, /^HTTP\/1\.1 200 [\s\S]*whole$/);
});

test('without a configuration callers are soon refused with a retry delay', async () => {
  const gateway = track(new GatewayHarness());
  await gateway.listen();
  const startedAt = performance.now();
  const text = await gateway.exchange(formatRequest());
  assert.match(text, /^HTTP\/1\.1 503 /);
  assert.match(text, /Retry-After: 0\.\d+/);
  assert.ok(performance.now() - startedAt < 1_000);
});
