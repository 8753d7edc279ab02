import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {CrashReport} from '@sycamorehead/fleet';
import {buildRequestSegment} from '@sycamorehead/routing';
import {computeFingerprint} from '../lib/computeFingerprint.js';
import {
  FakeServer,
  LAST_CHUNK,
  ServerScript,
  answerWell,
  formatAnswer,
  formatChunk,
  formatEvent,
  formatStreamHead,
} from './FakeServer.js';
import {
  GatewayHarness,
  buildConfiguration,
  buildEngineConfiguration,
  buildRoute,
  formatRequest,
} from './GatewayHarness.js';
import {startGateway, startServer, stopStarted, track} from './startGateway.js';

afterEach(stopStarted);

const PREFIX = 'X-Prefix: common:500,part:100,own1:10';
/** The id of the request that `formatRequest` formats by default. */
const REQUEST = buildRequestId('/drafts/1');
const ENGINE_CONFIGURATION = buildEngineConfiguration(
  {
    kind: 'streaming',
    isResumable: true,
    maxAttempts: 1,
    targetLatencyMs: 3_000,
    timeoutMs: 6_000,
  },
  8,
);

async function startEngineGateway(
  ...servers: FakeServer[]
): Promise<GatewayHarness> {
  const gateway = track(new GatewayHarness());
  await gateway.start(
    ENGINE_CONFIGURATION,
    servers.map(server => server.describe()),
  );
  return gateway;
}

function buildRequestId(target: string): string {
  const fingerprint = computeFingerprint(
    {host: 'shop.example', method: 'GET', target, body: Buffer.alloc(0)},
    'clinic',
  );
  return buildRequestSegment(fingerprint);
}

function listSegments(gateway: GatewayHarness): string[] {
  return gateway.crashes
    .listCrashes()
    .flatMap(({segments}: CrashReport) => [...segments])
    .sort();
}

/** Ends a server's process: nothing listens any more, and its connections are reset. */
function endProcess(server: FakeServer, socket: Socket): void {
  void server.refuseConnections();
  socket.resetAndDestroy();
}

const sendHead: ServerScript = (request, socket) => {
  socket.write(formatStreamHead(request));
};

test('a crash makes suspects of the request and of the shared segments in progress, not of the last one', async () => {
  const server = await startServer('s1', (request, socket) => {
    sendHead(request, socket);
    setTimeout(() => endProcess(server, socket), 30);
  });
  const gateway = await startEngineGateway(server);
  await gateway.exchange(formatRequest({headers: [PREFIX]}));
  await sleep(50);
  assert.deepEqual(listSegments(gateway), ['common', 'part', REQUEST]);
});

test('a crash before the head of the answer makes suspects, too', async () => {
  const server = await startServer('s1', (request, socket) => {
    endProcess(server, socket);
  });
  const gateway = await startEngineGateway(server);
  await gateway.exchange(formatRequest({headers: [PREFIX]}));
  await sleep(50);
  assert.deepEqual(listSegments(gateway), ['common', 'part', REQUEST]);
});

test('a sound segment was suspected: a prompt that reached no server makes no suspects', async () => {
  const server = await startServer('s1', sendHead);
  const gateway = await startEngineGateway(server);
  await server.refuseConnections();
  await gateway.exchange(formatRequest({headers: [PREFIX]}));
  await sleep(50);
  assert.deepEqual(listSegments(gateway), []);
});

test('segments that were answered before are no suspects', async () => {
  let isSound = true;
  const server = await startServer('s1', (request, socket) => {
    sendHead(request, socket);
    if (isSound) socket.write(formatChunk(formatEvent(1)) + LAST_CHUNK);
    else setTimeout(() => endProcess(server, socket), 30);
    isSound = false;
  });
  const gateway = await startEngineGateway(server);
  const sound = 'X-Prefix: common:500,other:70,own0:10';
  await gateway.exchange(formatRequest({id: 'r0', headers: [sound]}));
  await gateway.exchange(formatRequest({headers: [PREFIX]}));
  await sleep(50);
  assert.deepEqual(listSegments(gateway), ['part']);
});

/** Failures of a send that are no crash of its server. */
const OTHER_FAILURES: Readonly<
  Record<string, (server: FakeServer, socket: Socket) => void>
> = {
  'a connection that is reset': (server, socket) => socket.resetAndDestroy(),
  'an answer that is cut short': (server, socket) => socket.end(),
  'bytes that are no answer': (server, socket) =>
    socket.write('spoilt\r\n\r\n'),
};

for (const [name, fail] of Object.entries(OTHER_FAILURES)) {
  test(`${name} makes no suspects`, async () => {
    const server = await startServer('s1', (request, socket) => {
      sendHead(request, socket);
      setTimeout(() => fail(server, socket), 30);
    });
    const gateway = await startEngineGateway(server);
    await gateway.exchange(formatRequest({headers: [PREFIX]}), 1_000);
    await sleep(50);
    assert.deepEqual(listSegments(gateway), []);
  });
}

test('a caller that hangs up makes no suspects', async () => {
  const server = await startServer('s1', sendHead);
  const gateway = await startEngineGateway(server);
  const caller = await gateway.open();
  caller.write(formatRequest({headers: [PREFIX]}));
  await sleep(60);
  caller.destroy();
  await server.refuseConnections();
  await sleep(60);
  assert.deepEqual(listSegments(gateway), []);
});

/** Ways in which a server announces that it leaves. */
const DEPARTURES: Readonly<
  Record<string, {fields: string[]; state: 'ready' | 'leaving'}>
> = {
  'its registration': {fields: [], state: 'leaving'},
  'its answer': {fields: ['X-Leaving: 1'], state: 'ready'},
};

for (const [name, {fields, state}] of Object.entries(DEPARTURES)) {
  test(`a server that ends after ${name} has said that it leaves makes no suspects`, async () => {
    const server = await startServer('s1', (request, socket) => {
      socket.write(formatStreamHead(request, fields));
      setTimeout(() => {
        gateway.list([server.describe({state, sequence: 2})]);
        endProcess(server, socket);
      }, 30);
    });
    const gateway = await startEngineGateway(server);
    await gateway.exchange(formatRequest({headers: [PREFIX]}));
    await sleep(50);
    assert.deepEqual(listSegments(gateway), []);
  });
}

test('overlong ids of segments do not fill the memory', async () => {
  const server = await startServer('s1', (request, socket) => {
    socket.write(
      formatStreamHead(request) + formatChunk(formatEvent(1)) + LAST_CHUNK,
    );
  });
  const gateway = await startEngineGateway(server);
  const long = 'a'.repeat(3_000);
  const headers = [`X-Prefix: ${long}:5,own1:10`];
  await gateway.exchange(formatRequest({headers}));
  assert.equal(
    server.received[0]?.headers.get('x-prefix'),
    headers[0]?.slice(10),
  );
  const suspects = [long, long.slice(0, 64)];
  const survivals = gateway.crashes.listSurvivals(suspects);
  assert.deepEqual(Object.keys(survivals), [long.slice(0, 64)]);
});

test('an answer that has gone on for a second acquits its prompt before the server crashes', async () => {
  const server = await startServer('s1', (request, socket) => {
    sendHead(request, socket);
    let id = 0;
    const timer = setInterval(() => {
      id += 1;
      socket.write(formatChunk(formatEvent(id)));
      if (id < 7) return;
      clearInterval(timer);
      endProcess(server, socket);
    }, 200);
  });
  const gateway = await startEngineGateway(server);
  await gateway.exchange(formatRequest({headers: [PREFIX]}), 4_000);
  await sleep(50);
  assert.deepEqual(listSegments(gateway), []);
  const survivals = gateway.crashes.listSurvivals(['common', 'part', 'own1']);
  assert.deepEqual(Object.keys(survivals), ['common', 'part']);
});

test('an answer that ends with its connection acquits nothing, since a crash can end it so', async () => {
  const server = await startServer('s1', (request, socket) => {
    const head = formatStreamHead(request).replace(
      'Transfer-Encoding: chunked\r\n',
      '',
    );
    socket.end(head + formatEvent(1));
  });
  const gateway = await startEngineGateway(server);
  const text = await gateway.exchange(formatRequest({headers: [PREFIX]}));
  assert.match(text, /piece 1[^]*0\r\n\r\n$/);
  assert.deepEqual(gateway.crashes.listSurvivals(['common', 'part']), {});
});

async function countQuarantined({metrics}: GatewayHarness): Promise<number> {
  const metric = metrics.registry.getSingleMetric(
    'syc_gateway_quarantined_total',
  );
  const {values = []} = (await metric?.get()) ?? {};
  return values.reduce((sum, {value}) => sum + value, 0);
}

test('a prompt in quarantine is refused at once as not run, a part of it alone is not', async () => {
  const server = await startServer('s1', (request, socket) => {
    socket.write(
      formatStreamHead(request) + formatChunk(formatEvent(1)) + LAST_CHUNK,
    );
  });
  const gateway = await startEngineGateway(server);
  const combinations = [['common', 'part']];
  gateway.quarantine.update({revision: 2, combinations});
  const refused = await gateway.exchange(formatRequest({headers: [PREFIX]}));
  assert.match(refused, /^HTTP\/1\.1 503 [^]*Retry-After: 60\.000/);
  assert.match(refused, /"kind":"segment_quarantined"[^]*"ran":"no"/);
  const sound = 'X-Prefix: common:500,other:70,part:5';
  const served = await gateway.exchange(
    formatRequest({id: 'r2', headers: [sound]}),
  );
  assert.match(served, /^HTTP\/1\.1 200 /);
  assert.equal(server.received.length, 1);
  gateway.quarantine.update({revision: 1, combinations: []});
  const later = await gateway.exchange(
    formatRequest({id: 'r3', headers: [PREFIX]}),
  );
  assert.match(later, /^HTTP\/1\.1 503 /);
  assert.equal(await countQuarantined(gateway), 2);
});

test('a request in progress whose prompt comes into quarantine is cancelled and not called unrun', async () => {
  const server = await startServer('s1', () => {});
  const gateway = await startEngineGateway(server);
  const exchange = gateway.exchange(formatRequest({headers: [PREFIX]}));
  await sleep(60);
  assert.equal(server.received.length, 1);
  gateway.quarantine.update({revision: 1, combinations: [['part']]});
  const text = await exchange;
  assert.match(text, /^HTTP\/1\.1 502 [^]*"ran":"unknown"/);
  await sleep(20);
  assert.equal(server.closed, 1);
  assert.equal(await countQuarantined(gateway), 1);
});

/** Starts a gateway of a plain service. */
function startPlainGateway(...servers: FakeServer[]): Promise<GatewayHarness> {
  return startGateway({targetLatencyMs: 400}, servers);
}

test('a crash of a plain service makes suspects of the requests in progress there', async () => {
  const server = await startServer('s1', (request, socket) => {
    if (server.received.length === 2) endProcess(server, socket);
  });
  const gateway = await startPlainGateway(server);
  await Promise.all(
    ['/drafts/1', '/drafts/2'].map((path, index) =>
      gateway.exchange(formatRequest({id: `r${index}`, path})),
    ),
  );
  await sleep(50);
  assert.deepEqual(
    listSegments(gateway),
    ['/drafts/1', '/drafts/2'].map(buildRequestId).sort(),
  );
});

/** Answers of a server, and whether they acquit their request. */
const ACQUITTING: Readonly<Record<string, boolean>> = {
  '200 OK': true,
  '404 Not Found': true,
  '500 Error': false,
};

for (const [status, isAcquitting] of Object.entries(ACQUITTING)) {
  test(`an answer ${status} ${isAcquitting ? 'acquits' : 'does not acquit'} its request`, async () => {
    const server = await startServer('s1', (request, socket) => {
      socket.write(formatAnswer(request, 'x').replace('200 OK', status));
    });
    const gateway = await startPlainGateway(server);
    await gateway.exchange(formatRequest());
    const survivals = gateway.crashes.listSurvivals([REQUEST]);
    assert.deepEqual(Object.keys(survivals), isAcquitting ? [REQUEST] : []);
  });
}

test('a request in quarantine is refused at once as not run, others of the same caller are not', async () => {
  const server = await startServer('s1', (request, socket) => {
    socket.write(formatAnswer(request, 'whole'));
  });
  const gateway = await startPlainGateway(server);
  gateway.quarantine.update({revision: 1, combinations: [[REQUEST]]});
  const refused = await gateway.exchange(formatRequest());
  assert.match(refused, /^HTTP\/1\.1 503 [^]*Retry-After: 60\.000/);
  assert.match(refused, /"kind":"request_quarantined"[^]*"ran":"no"/);
  assert.equal(server.received.length, 0);
  for (const options of [{path: '/drafts/2'}, {method: 'PUT', body: 'x'}]) {
    const served = await gateway.exchange(formatRequest(options));
    assert.match(served, /^HTTP\/1\.1 200 /);
  }
});

test('an unsafe request in progress that comes into quarantine is not called unrun', async () => {
  const server = await startServer('s1', () => {});
  const gateway = await startGateway({kind: 'unsafe'}, [server]);
  const exchange = gateway.exchange(formatRequest());
  await sleep(60);
  gateway.quarantine.update({revision: 1, combinations: [[REQUEST]]});
  assert.match(await exchange, /^HTTP\/1\.1 502 [^]*"ran":"unknown"/);
});

test('a request that is suspected goes to no second server after one has crashed under it', async () => {
  const servers = await Promise.all(
    ['s1', 's2', 's3'].map(id =>
      startServer(id, (request, socket) => {
        const server = servers.find(known => known.received.includes(request));
        if (server) endProcess(server, socket);
      }),
    ),
  );
  const countReceived = () =>
    servers.reduce((sum, {received}) => sum + received.length, 0);
  const gateway = await startPlainGateway(...servers);
  gateway.crashes.setSuspects([REQUEST]);
  const text = await gateway.exchange(formatRequest());
  assert.match(text, /^HTTP\/1\.1 502 [^]*servers crashed/);
  assert.equal(countReceived(), 1);
  gateway.crashes.setSuspects([]);
  await gateway.exchange(formatRequest({id: 'r2', path: '/drafts/2'}));
  // The third server is spared.
  assert.equal(countReceived(), 3);
});

test('a request that is suspended is refused for a moment as not run, and sent again after it', async () => {
  const server = await startServer('s1', answerWell);
  const gateway = await startPlainGateway(server);
  gateway.crashes.setSuspended([REQUEST]);
  const refused = await gateway.exchange(formatRequest());
  assert.match(refused, /^HTTP\/1\.1 503 [^]*Retry-After: 2\.000/);
  assert.match(refused, /"kind":"request_quarantined"[^]*"ran":"no"/);
  const other = formatRequest({id: 'r2', path: '/drafts/2'});
  assert.match(await gateway.exchange(other), /^HTTP\/1\.1 200 /);
  gateway.crashes.setSuspended([]);
  const served = await gateway.exchange(formatRequest({id: 'r3'}));
  assert.match(served, /^HTTP\/1\.1 200 /);
});

test('a request that is suspended while it waits for a slot reaches no server', async () => {
  const server = await startServer('s1', (request, socket) => {
    setTimeout(() => answerWell(request, socket), 80);
  });
  const gateway = track(new GatewayHarness());
  const route = buildRoute({targetLatencyMs: 1_500});
  await gateway.start(buildConfiguration([route]), [
    server.describe({slots: 1}),
  ]);
  const others = ['/drafts/2', '/drafts/3'].map((path, index) =>
    gateway.exchange(formatRequest({id: `w${index}`, path})),
  );
  await sleep(20);
  const waiting = gateway.exchange(formatRequest());
  await sleep(20);
  gateway.crashes.setSuspended([REQUEST]);
  assert.match(await waiting, /^HTTP\/1\.1 503 [^]*"ran":"no"/);
  await Promise.all(others);
  assert.ok(server.received.every(({head}) => !head.includes('/drafts/1 ')));
});
