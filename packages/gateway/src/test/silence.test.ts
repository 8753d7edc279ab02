import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {afterEach, test} from 'node:test';
import {
  LAST_CHUNK,
  ServerScript,
  formatChunk,
  formatEvent,
  formatStreamHead,
} from './FakeServer.js';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  buildConfiguration,
  buildRoute,
  formatRequest,
} from './GatewayHarness.js';
import {startGateway, startServer, stopStarted} from './startGateway.js';

afterEach(stopStarted);

for (const eventsBefore of [0, 2]) {
  test(`a stream that stalls after ${eventsBefore} events continues on another server in time`, async () => {
    const answerThenHang: ServerScript = (request, socket) => {
      const from = Number(request.headers.get('last-event-id') ?? 0);
      const isFirst = request.headers.get('last-event-id') === undefined;
      const isHung =
        isFirst && servers.every(({received}) => received.length < 2);
      const events = isHung ? eventsBefore : 4;
      socket.write(formatStreamHead(request));
      if (hung === undefined && isHung) hung = socket;
      for (let id = from + 1; id <= events; id += 1) {
        socket.write(formatChunk(formatEvent(id)));
      }
      if (socket !== hung) socket.write(LAST_CHUNK);
    };
    let hung: Socket | undefined;
    const servers = [
      await startServer('s1', answerThenHang),
      await startServer('s2', answerThenHang),
    ];
    const gateway = await startGateway(
      {kind: 'streaming', isResumable: true, longestPauseMs: 100},
      servers,
    );
    const startedAt = performance.now();
    const text = await gateway.exchange(formatRequest({method: 'POST'}));
    assert.deepEqual(
      [...text.matchAll(/id: (\d+)/g)].map(match => Number(match[1])),
      [1, 2, 3, 4],
    );
    assert.ok(text.endsWith(LAST_CHUNK));
    assert.ok(performance.now() - startedAt < 600, 'waited for the deadline');
    assert.equal(hung?.destroyed, true, 'the stalled run is not cancelled');
  });
}

test('a stream whose event comes byte by byte without end continues on another server in time', async context => {
  const answerThenDrip: ServerScript = (request, socket) => {
    socket.write(formatStreamHead(request));
    if (request.headers.has('last-event-id')) {
      socket.write(formatChunk(formatEvent(2)) + LAST_CHUNK);
      return;
    }
    socket.write(formatChunk(formatEvent(1)));
    const timer = setInterval(() => socket.write(formatChunk('x')), 20);
    context.after(() => clearInterval(timer));
  };
  const servers = [
    await startServer('s1', answerThenDrip),
    await startServer('s2', answerThenDrip),
  ];
  const gateway = await startGateway(
    {kind: 'streaming', isResumable: true, longestPauseMs: 100},
    servers,
  );
  const startedAt = performance.now();
  const text = await gateway.exchange(formatRequest({method: 'POST'}));
  const ids = [...text.matchAll(/id: (\d+)/g)].map(match => Number(match[1]));
  assert.deepEqual(ids, [1, 2]);
  assert.ok(text.endsWith(LAST_CHUNK));
  assert.ok(performance.now() - startedAt < 1_000, 'waited for the deadline');
});

test('a stream without a length that stalls and ends when it is cancelled does not look complete', async () => {
  const answerThenHang: ServerScript = (request, socket) => {
    const head = formatStreamHead(request);
    if (request.headers.has('last-event-id')) {
      socket.write(head + formatChunk(formatEvent(2)) + LAST_CHUNK);
      return;
    }
    const unframed = head.replace('Transfer-Encoding: chunked\r\n', '');
    socket.write(unframed + formatEvent(1));
  };
  const servers = [
    await startServer('s1', answerThenHang),
    await startServer('s2', answerThenHang),
  ];
  const gateway = await startGateway(
    {kind: 'streaming', isResumable: true, longestPauseMs: 100},
    servers,
  );
  const text = await gateway.exchange(formatRequest({method: 'POST'}));
  const ids = [...text.matchAll(/id: (\d+)/g)].map(match => Number(match[1]));
  assert.deepEqual(ids, [1, 2]);
  assert.ok(text.endsWith(LAST_CHUNK));
});

test('a silent stream whose key was revoked is not abandoned, since it could not continue elsewhere', async () => {
  const answerLate: ServerScript = (request, socket) => {
    socket.write(formatStreamHead(request) + formatChunk(formatEvent(1)));
    const finish = () => socket.write(formatChunk(formatEvent(2)) + LAST_CHUNK);
    setTimeout(finish, 600);
  };
  const servers = [
    await startServer('s1', answerLate),
    await startServer('s2', answerLate),
  ];
  const route = {
    kind: 'streaming',
    isResumable: true,
    longestPauseMs: 100,
  } as const;
  const gateway = await startGateway(route, servers);
  const exchange = gateway.exchange(formatRequest({method: 'POST'}));
  await sleep(100);
  const customers = [{name: 'clinic', keys: ['other'], priority: undefined}];
  gateway.setConfiguration(
    buildConfiguration([buildRoute(route)], {customers, version: 2}),
  );
  const text = await exchange;
  assert.ok(text.endsWith(LAST_CHUNK));
  assert.equal(servers[0]!.received.length + servers[1]!.received.length, 1);
});

test('a stream that is not resumable waits for a silent server', async () => {
  const answerLate: ServerScript = (request, socket) => {
    socket.write(formatStreamHead(request) + formatChunk(formatEvent(1)));
    const finish = () => socket.write(formatChunk(formatEvent(2)) + LAST_CHUNK);
    setTimeout(finish, 500);
  };
  const server = await startServer('s1', answerLate);
  const gateway = await startGateway({kind: 'streaming', longestPauseMs: 100}, [
    server,
  ]);
  const text = await gateway.exchange(formatRequest({method: 'POST'}));
  assert.ok(text.endsWith(LAST_CHUNK));
});

for (const isHeardElsewhere of [false, true]) {
  test(`a slow answer ${isHeardElsewhere ? 'is awaited while other entries receive from its server' : 'of a server that nobody hears from goes to another server'}`, async () => {
    const answerSlowly: ServerScript = (request, socket) => {
      const finish = () =>
        socket.write(
          formatStreamHead(request) + formatChunk(formatEvent(1)) + LAST_CHUNK,
        );
      setTimeout(
        finish,
        request.headers.get('x-request-id') === 'first' ? 0 : 550,
      );
    };
    const server = await startServer('s1', answerSlowly);
    const gateway = await startGateway(
      {kind: 'streaming', isResumable: true, targetLatencyMs: 400},
      [server],
    );
    const update = () =>
      gateway.servers.setOthersLoad(
        isHeardElsewhere ? {s1: [1, 400, 3]} : {s1: [1, 400]},
      );
    await gateway.exchange(formatRequest({method: 'POST', id: 'first'}));
    const timer = setInterval(update, 50);
    await sleep(450);
    const other = await startServer('s2', answerSlowly);
    const exchange = gateway.exchange(formatRequest({method: 'POST'}));
    setTimeout(() => gateway.list([other.describe()]), 100);
    await exchange;
    clearInterval(timer);
    const sends = server.received.length + other.received.length;
    assert.equal(sends > 2, !isHeardElsewhere, `${sends} sends`);
  });
}
