import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {RouteConfiguration} from '@sycamorehead/schema';
import {
  FakeServer,
  ServerScript,
  answerWell,
  formatAnswer,
} from './FakeServer.js';
import {
  GatewayHarness,
  buildConfiguration,
  buildRoute,
  formatRequest,
  readStatus,
} from './GatewayHarness.js';
import {startServer, stopStarted, track} from './startGateway.js';

const LONG_MS = 30_000;

afterEach(stopStarted);

function buildWarmupConfiguration(): RouteConfiguration {
  const configuration = buildConfiguration([buildRoute()]);
  return {
    ...configuration,
    services: configuration.services.map(service => ({
      ...service,
      warmup: {durationMs: 3_000, perSecond: 10},
    })),
  };
}

/** Starts an entry in front of servers, each with its time of coldness. */
async function start(
  coldness: readonly number[],
  script: ServerScript = answerWell,
) {
  const servers = await Promise.all(
    coldness.map((_, index) => startServer(`s${index}`, script)),
  );
  const gateway = track(new GatewayHarness());
  await gateway.start(
    buildWarmupConfiguration(),
    servers.map((server, index) => describe(server, coldness[index] ?? 0)),
  );
  return {gateway, servers};
}

function describe(server: FakeServer, slowStartMs: number, sequence = 1) {
  return server.describe({slowStartMs, sequence});
}

/** Grants the entry permits for the first server. */
function issuePermits(
  gateway: GatewayHarness,
  server: FakeServer,
  count: number,
) {
  const {id, startedAtMs} = server.describe().registration;
  const sentAt = performance.now();
  const {cold} = gateway.servers;
  cold.takeReport([], () => 0);
  cold.applyReply({coldPermits: {[`${id} ${startedAtMs}`]: count}}, sentAt);
}

async function request(gateway: GatewayHarness, id: string): Promise<number> {
  return readStatus(await gateway.exchange(formatRequest({id})));
}

test('without permits no request reaches servers that are all cold', async () => {
  const {gateway, servers} = await start([LONG_MS, LONG_MS, LONG_MS]);
  const statuses = await Promise.all(
    Array.from({length: 20}, (_, index) => request(gateway, `r${index}`)),
  );
  assert.deepEqual(new Set(statuses), new Set([503]));
  for (const server of servers) assert.equal(server.received.length, 0);
});

test('requests go to a warm server beside cold ones, and to a cold one with a permit', async () => {
  const {gateway, servers} = await start([LONG_MS, 0]);
  const [cold, warm] = servers as [FakeServer, FakeServer];
  for (let count = 0; count < 6; count += 1) {
    assert.equal(await request(gateway, `r${count}`), 200);
  }
  assert.deepEqual([cold.received.length, warm.received.length], [0, 6]);
  issuePermits(gateway, cold, 2);
  for (let count = 0; count < 6; count += 1) {
    await Promise.all([
      request(gateway, `a${count}`),
      request(gateway, `b${count}`),
    ]);
  }
  assert.ok(cold.received.length <= 2, `${cold.received.length} sent`);
});

test('a server that becomes cold gets nothing more, and all once it is warm', async () => {
  const {gateway, servers} = await start([0]);
  const [server] = servers as [FakeServer];
  assert.equal(await request(gateway, 'r1'), 200);
  gateway.list([describe(server, LONG_MS, 2)]);
  assert.equal(await request(gateway, 'r2'), 503);
  const waiting = request(gateway, 'r3');
  await sleep(30);
  assert.equal(server.received.length, 1);
  gateway.list([describe(server, 0, 3)]);
  assert.equal(await waiting, 200);
});

test('a server that says in an answer that it is cold gets nothing more', async () => {
  const {gateway, servers} = await start([0], (received, socket) =>
    socket.write(formatAnswer(received, 'whole', ['X-Cold-Ms: 1000'])),
  );
  assert.equal(await request(gateway, 'r1'), 200);
  assert.equal(await request(gateway, 'r2'), 503);
  assert.equal(servers[0]?.received.length, 1);
});

for (const value of ['-1', '1e3', 'soon', '', '5, 5']) {
  test(`a malformed coldness in an answer changes nothing: ${value}`, async () => {
    const {gateway} = await start([0], (received, socket) =>
      socket.write(formatAnswer(received, 'whole', [`X-Cold-Ms: ${value}`])),
    );
    assert.equal(await request(gateway, 'r1'), 200);
    assert.equal(await request(gateway, 'r2'), 200);
  });
}

test('a permit whose send was answered 421 is given back', async () => {
  const {gateway, servers} = await start([LONG_MS], ({headers}, socket) =>
    socket.write(
      [
        'HTTP/1.1 421 Misdirected',
        `X-Request-Id: ${headers.get('x-request-id')}`,
        'Content-Length: 0',
        '',
        '',
      ].join('\r\n'),
    ),
  );
  const [server] = servers as [FakeServer];
  issuePermits(gateway, server, 1);
  let isRefused = false;
  const refused = request(gateway, 'r1').finally(() => (isRefused = true));
  while (server.received.length < 2 && !isRefused) await sleep(1);
  assert.ok(server.received.length > 1, `${server.received.length} received`);
  await refused;
  const {registration} = server.describe();
  assert.equal(gateway.servers.cold.isCold(registration), true);
});

test('a cold server with a permit fails and is ejected like any other', async () => {
  const {gateway, servers} = await start([LONG_MS, 0], (received, socket) =>
    received.headers.get('x-expect-server') === 's0'
      ? socket.destroy()
      : answerWell(received, socket),
  );
  const [cold] = servers as [FakeServer];
  issuePermits(gateway, cold, 9);
  for (let count = 0; count < 8; count += 1) {
    assert.equal(await request(gateway, `r${count}`), 200);
  }
  assert.ok(cold.received.length <= 3, `${cold.received.length} sent`);
});
