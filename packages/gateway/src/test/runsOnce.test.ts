import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {RouteConfiguration} from '@sycamorehead/schema';
import {
  FakeServer,
  LAST_CHUNK,
  ReceivedRequest,
  ServerScript,
  answerWell,
  formatAnswer,
  formatChunk,
  formatEvent,
  formatStreamHead,
} from './FakeServer.js';
import {
  buildConfiguration,
  buildRoute,
  formatRequest,
  readStatus,
} from './GatewayHarness.js';
import {startGateway, startServer, stopStarted} from './startGateway.js';

afterEach(stopStarted);

/** Time within which a cancelled run must have ended, in milliseconds. */
const CANCEL_MS = 400;

/** Longer than the timeout of a silent server, in milliseconds. */
const PAUSE_MS = 600;

/** Blocks this process, which simulates a paused instance. */
function pauseProcess(): void {
  const until = performance.now() + PAUSE_MS;
  while (performance.now() < until);
}

function formatRefusal(
  {headers}: ReceivedRequest,
  {status = 503, isNamed = true} = {},
): string {
  const id = `X-Request-Id: ${headers.get('x-request-id')}\r\n`;
  return (
    `HTTP/1.1 ${status} No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n` +
    `${isNamed ? id : ''}\r\n`
  );
}

/** Starts a server that sends the rest of a stream after its first event. */
function startResumingServer(id: string): Promise<FakeServer> {
  return startServer(id, (request, socket) => {
    socket.write(
      formatStreamHead(request) + formatChunk(formatEvent(2)) + LAST_CHUNK,
    );
  });
}

/** A server that refuses the first request and repeats the refusal before its next answer. */
async function startRepeatingServer(
  id: string,
  status: number,
): Promise<{server: FakeServer; countRuns: () => number}> {
  let runs = 0;
  const refusals = new Map<Socket, string>();
  const server = await startServer(id, (request, socket) => {
    if (server.received.length === 1) {
      const refusal = formatRefusal(request, {status});
      refusals.set(socket, refusal);
      socket.write(refusal);
      return;
    }
    runs += 1;
    socket.write((refusals.get(socket) ?? '') + formatAnswer(request, 'whole'));
    refusals.delete(socket);
  });
  return {server, countRuns: () => runs};
}

for (const status of [503, 421]) {
  test(`a repeated refusal ${status} does not count as the answer to the next send of its request`, async () => {
    const {server, countRuns} = await startRepeatingServer('s1', status);
    const gateway = await startGateway({kind: 'unsafe'}, [server]);
    const text = await gateway.exchange(formatRequest({method: 'POST'}));
    assert.equal(countRuns(), 1);
    assert.equal(readStatus(text), 200);
  });
}

test('a refusal that names no request does not count as proof that this one was not run', async () => {
  const servers = await Promise.all(
    ['s1', 's2'].map(id =>
      startServer(id, (request, socket) =>
        socket.write(formatRefusal(request, {isNamed: false})),
      ),
    ),
  );
  const gateway = await startGateway({kind: 'unsafe'}, servers);
  const text = await gateway.exchange(formatRequest({method: 'POST'}));
  assert.equal(servers[0]!.received.length + servers[1]!.received.length, 1);
  assert.equal(readStatus(text), 502);
});

const PROMISES = [408, 429, 503].flatMap(status =>
  (['unsafe', 'safe'] as const).map(kind => ({status, kind})),
);

for (const {status, kind} of PROMISES) {
  test(`a ${status} of a server that may have run a request of kind ${kind} does not reach its caller as a promise`, async () => {
    const server = await startServer('s1', (request, socket) =>
      socket.write(
        formatAnswer(request, 'busy').replace('200 OK', `${status} Busy`),
      ),
    );
    const gateway = await startGateway({kind, maxAttempts: 1}, [server]);
    const text = await gateway.exchange(formatRequest({method: 'POST'}));
    assert.equal(server.received.length, 1);
    assert.equal(readStatus(text), 502);
    assert.doesNotMatch(text, /x-signature|retry-after/i);
  });
}

test('a request whose route became unsafe after a send is not sent again', async () => {
  const route = {kind: 'safe', targetLatencyMs: 100} as const;
  const resetLater = (unused: ReceivedRequest, socket: Socket) => {
    setTimeout(() => socket.resetAndDestroy(), 30);
  };
  const servers = [
    await startServer('s1', resetLater),
    await startServer('s2', resetLater),
  ];
  const gateway = await startGateway(route, servers);
  const exchange = gateway.exchange(formatRequest());
  await sleep(10);
  gateway.setConfiguration(
    buildConfiguration([buildRoute({...route, kind: 'unsafe'})], {version: 2}),
  );
  assert.equal(readStatus(await exchange), 502);
  assert.equal(servers[0]!.received.length + servers[1]!.received.length, 1);
});

test('an abandoned run ends at a server that does not stop on a half-closed connection', async () => {
  let running = 0;
  const server = await startServer('s1', (unused, socket) => {
    running += 1;
    socket.once('error', () => (running -= 1));
  });
  server.keepsHalfOpen = true;
  const gateway = await startGateway(
    {kind: 'safe', targetLatencyMs: 100, maxAttempts: 2},
    [server],
  );
  const exchange = gateway.exchange(formatRequest());
  await sleep(50);
  const other = await startServer('s2', answerWell);
  gateway.list([other.describe()]);
  assert.equal(readStatus(await exchange), 200);
  await sleep(CANCEL_MS);
  assert.equal(running, 0);
});

for (const isBegun of [false, true]) {
  test(`an answer that ${isBegun ? 'goes on' : 'begins'} during a pause of the process is not abandoned`, async () => {
    const answer: ServerScript = (request, socket) => {
      const head = formatStreamHead(request) + formatChunk(formatEvent(1));
      const rest = formatChunk(formatEvent(2));
      if (!isBegun) {
        socket.write(head + rest);
        pauseProcess();
        setTimeout(() => socket.write(LAST_CHUNK), 100);
        return;
      }
      socket.write(head);
      setTimeout(() => {
        socket.write(rest);
        pauseProcess();
        setTimeout(() => socket.write(LAST_CHUNK), 100);
      }, 50);
    };
    const servers = [
      await startServer('s1', answer),
      await startServer('s2', answer),
    ];
    const gateway = await startGateway(
      {
        kind: 'streaming',
        isResumable: true,
        targetLatencyMs: 400,
        longestPauseMs: 100,
      },
      servers,
    );
    const text = await gateway.exchange(formatRequest({method: 'POST'}));
    assert.ok(text.endsWith(LAST_CHUNK));
    assert.equal(servers[0]!.received.length + servers[1]!.received.length, 1);
  });
}

test('a stream does not go on elsewhere while its run goes on behind a connection that delivers nothing', async () => {
  let isRunning = true;
  const lost = await startServer('s1', (request, socket) => {
    socket.write(formatStreamHead(request) + formatChunk(formatEvent(1)));
    setTimeout(() => (isRunning = false), 1_200);
  });
  // The server does not learn that its connection was closed.
  lost.keepsHalfOpen = true;
  const gateway = await startGateway(
    {kind: 'streaming', isResumable: true, longestPauseMs: 100},
    [lost],
  );
  const exchange = gateway.exchange(formatRequest({method: 'POST'}));
  await sleep(50);
  const other = await startResumingServer('s2');
  gateway.list([other.describe()]);
  while (other.received.length === 0 && isRunning) await sleep(10);
  if (isRunning) await sleep(CANCEL_MS);
  assert.equal(isRunning, false);
  const text = await exchange;
  assert.equal(text.endsWith(LAST_CHUNK), false);
});

test('a stream goes on elsewhere if its server is silent and cannot be reached', async () => {
  const dark = await startServer('s1', (request, socket) => {
    socket.write(formatStreamHead(request) + formatChunk(formatEvent(1)));
    void dark.refuseConnections();
  });
  dark.keepsHalfOpen = true;
  const gateway = await startGateway(
    {kind: 'streaming', isResumable: true, longestPauseMs: 100},
    [dark],
  );
  const exchange = gateway.exchange(formatRequest({method: 'POST'}));
  await sleep(50);
  const other = await startResumingServer('s2');
  gateway.list([other.describe()]);
  assert.ok((await exchange).endsWith(LAST_CHUNK));
});

const WITHDRAWALS: Readonly<Record<string, RouteConfiguration>> = {
  'removes the route': buildConfiguration([
    buildRoute({pathPrefix: '/other/'}),
  ]),
  'withdraws the key': buildConfiguration([buildRoute()], {
    customers: [{name: 'clinic', keys: ['key-2'], priority: undefined}],
  }),
  'names an unknown service': buildConfiguration([
    buildRoute({services: [{service: 'unknown', weight: 1}]}),
  ]),
};

for (const [change, configuration] of Object.entries(WITHDRAWALS)) {
  test(`a request that may have run was reported as not run: a configuration ${change} before its repeat`, async () => {
    const server = await startServer('s1', (unused, socket) => {
      gateway.setConfiguration(configuration);
      socket.resetAndDestroy();
    });
    const gateway = await startGateway({}, [server]);
    const text = await gateway.exchange(formatRequest());
    assert.equal(readStatus(text), 502);
    assert.match(text, /"kind":"outcome_unknown"[^]*"ran":"unknown"/);
    assert.equal(server.received.length, 1);
  });
}
