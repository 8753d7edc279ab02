import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {
  FakeServer,
  LAST_CHUNK,
  ServerScript,
  formatChunk,
  formatEvent,
  formatStreamHead,
} from './FakeServer.js';
import {
  GatewayHarness,
  buildEngineConfiguration,
  formatRequest,
} from './GatewayHarness.js';
import {startServer, stopStarted, track} from './startGateway.js';

afterEach(stopStarted);

const CONFIGURATION = buildEngineConfiguration({
  kind: 'streaming',
  isResumable: true,
  targetLatencyMs: 3_000,
});

const answerWhole: ServerScript = (request, socket) => {
  socket.write(formatStreamHead(request) + formatChunk(formatEvent(1)));
  socket.write(LAST_CHUNK);
};

async function startEntry(
  servers: readonly FakeServer[],
): Promise<GatewayHarness> {
  const gateway = track(new GatewayHarness());
  await gateway.start(
    CONFIGURATION,
    servers.map(server => server.describe()),
  );
  return gateway;
}

function sendPrompt(
  gateway: GatewayHarness,
  id: string,
  segment: string,
): Promise<string> {
  const headers = [`X-Prefix: c0:800,${segment}:400,${id}:50`];
  return gateway.exchange(formatRequest({id, headers}));
}

test('a prompt with a suspended segment is refused for a moment as not run, others are served', async () => {
  const server = await startServer('s1', answerWhole);
  const gateway = await startEntry([server]);
  gateway.crashes.setSuspended(['bad1']);
  const refused = await sendPrompt(gateway, 'r1', 'bad1');
  assert.match(refused, /^HTTP\/1\.1 503 [^]*Retry-After: 2\.000/);
  assert.match(refused, /"kind":"segment_quarantined"[^]*"ran":"no"/);
  assert.equal(server.received.length, 0);
  assert.match(await sendPrompt(gateway, 'r2', 'd1'), /^HTTP\/1\.1 200 /);
  gateway.crashes.setSuspended([]);
  assert.match(await sendPrompt(gateway, 'r3', 'bad1'), /^HTTP\/1\.1 200 /);
});

test('a prompt with a suspected segment of a combination in quarantine goes to no second server after a crash', async () => {
  const servers: FakeServer[] = [];
  for (const id of ['s1', 's2', 's3']) {
    const server: FakeServer = await startServer(id, (request, socket) => {
      void server.refuseConnections();
      socket.resetAndDestroy();
    });
    servers.push(server);
  }
  const gateway = await startEntry(servers);
  const countReceived = () =>
    servers.reduce((sum, {received}) => sum + received.length, 0);
  gateway.crashes.setSuspects(['bad1', 'd1', 'd2']);
  gateway.quarantine.update({revision: 1, combinations: [['bad1', 'd2']]});
  await sendPrompt(gateway, 'r1', 'bad1');
  assert.equal(countReceived(), 1);
  // Others still have a second server.
  await sendPrompt(gateway, 'r2', 'd1');
  assert.equal(countReceived(), 3);
});
