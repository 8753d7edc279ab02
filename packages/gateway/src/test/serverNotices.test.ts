import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {ServerNotices} from '../lib/ServerNotices.js';
import {
  FakeServer,
  LAST_CHUNK,
  ReceivedRequest,
  ServerScript,
  formatAnswer,
  formatChunk,
  formatEvent,
  formatStreamHead,
  answerWell,
} from './FakeServer.js';
import {GatewayHarness, formatRequest, readStatus} from './GatewayHarness.js';
import {startGateway, startServer, stopStarted} from './startGateway.js';

afterEach(stopStarted);

const LEAVING = 'X-Leaving: 1';
/** A route whose requests may wait for 1.2 s. */
const PATIENT_ROUTE = {
  kind: 'unsafe',
  targetLatencyMs: 3_000,
  timeoutMs: 4_000,
} as const;

const answerLeaving: ServerScript = (request, socket) => {
  socket.write(formatAnswer(request, 'whole', [LEAVING]));
};

function formatRefusal(
  {headers}: ReceivedRequest,
  fields: readonly string[],
  status = '503 Full',
): string {
  return [
    `HTTP/1.1 ${status}`,
    `X-Request-Id: ${headers.get('x-request-id')}`,
    'X-Not-Executed: 1',
    'Content-Length: 0',
    ...fields,
    '',
    '',
  ].join('\r\n');
}

function buildRefuser(...fields: string[]): ServerScript {
  return (request, socket) => socket.write(formatRefusal(request, fields));
}

async function sendMany(
  gateway: GatewayHarness,
  count: number,
): Promise<number[]> {
  const statuses: number[] = [];
  for (let index = 0; index < count; index += 1) {
    const text = await gateway.exchange(
      formatRequest({method: 'POST', id: `many-${index}`}),
    );
    statuses.push(readStatus(text));
  }
  return statuses;
}

const LEAVING_SCRIPTS: Readonly<Record<string, ServerScript>> = {
  'an answer': answerLeaving,
  'a refusal': buildRefuser(LEAVING),
  'a repeated header': buildRefuser(LEAVING, LEAVING),
  'an error': (request, socket) =>
    socket.write(
      formatAnswer(request, 'no', [LEAVING]).replace('200 OK', '500 Error'),
    ),
};

for (const [name, script] of Object.entries(LEAVING_SCRIPTS)) {
  test(`a server that says it leaves in ${name} gets no further request`, async () => {
    const leaving = await startServer('s1', script);
    const gateway = await startGateway({kind: 'unsafe'}, [leaving]);
    await gateway.exchange(formatRequest({method: 'POST'}));
    assert.equal(leaving.received.length, 1);
    const other = await startServer('s2', answerWell);
    gateway.list([other.describe()]);
    assert.deepEqual(
      await sendMany(gateway, 6),
      Array.from({length: 6}, () => 200),
    );
    assert.equal(leaving.received.length, 1);
    assert.equal(other.received.length, 6);
  });
}

test('a stream from a server that leaves goes on at another server', async () => {
  const sendPart: ServerScript = (request, socket) => {
    socket.write(
      formatStreamHead(request, [LEAVING]) + formatChunk(formatEvent(1)),
    );
    setTimeout(() => socket.resetAndDestroy(), 30);
  };
  const leaving = await startServer('s1', sendPart);
  const gateway = await startGateway({kind: 'streaming', isResumable: true}, [
    leaving,
  ]);
  const exchange = gateway.exchange(formatRequest());
  await sleep(10);
  const other = await startServer('s2', (request, socket) => {
    assert.equal(request.headers.get('last-event-id'), '1');
    socket.write(
      formatStreamHead(request) + formatChunk(formatEvent(2)) + LAST_CHUNK,
    );
  });
  gateway.list([other.describe()]);
  const text = await exchange;
  assert.match(text, /piece 1[^]*piece 2[^]*0\r\n\r\n$/);
  assert.equal(leaving.received.length, 1);
});

test('a listing does not bring back a server that leaves, a later start does', async () => {
  const server = await startServer('s1', answerLeaving);
  const gateway = await startGateway({kind: 'unsafe'}, [server]);
  await gateway.exchange(formatRequest({method: 'POST'}));
  gateway.list([server.describe({sequence: 9})]);
  gateway.servers.update({dropped: ['s1']});
  gateway.list([server.describe({sequence: 10})]);
  assert.deepEqual(await sendMany(gateway, 2), [503, 503]);
  assert.equal(server.received.length, 1);
  gateway.list([server.describe({sequence: 1, startedAtMs: 2})]);
  assert.deepEqual(await sendMany(gateway, 1), [200]);
  assert.equal(server.received.length, 2);
});

test('a request is refused at once when the last server of its service leaves', async () => {
  const server = await startServer('s1', answerLeaving);
  const gateway = await startGateway({kind: 'unsafe', targetLatencyMs: 1_500}, [
    server,
  ]);
  await gateway.exchange(formatRequest({method: 'POST'}));
  const startedAt = performance.now();
  const text = await gateway.exchange(formatRequest({method: 'POST'}));
  assert.ok(performance.now() - startedAt < 600);
  assert.equal(readStatus(text), 503);
  assert.match(text, /"ran":"no"/);
  assert.match(text, /Retry-After: \d/);
});

test('a request that waits is refused once the last server of its service leaves', async () => {
  const leaveLater: ServerScript = (request, socket) =>
    void setTimeout(() => answerLeaving(request, socket), 50);
  const server = await startServer('s1', leaveLater);
  const gateway = await startGateway(
    {kind: 'unsafe', targetLatencyMs: 3_000, timeoutMs: 3_000},
    [],
  );
  gateway.list([server.describe({slots: 1})]);
  const startedAt = performance.now();
  const texts = await Promise.all(
    ['a', 'b', 'c'].map(id =>
      gateway.exchange(formatRequest({method: 'POST', id})),
    ),
  );
  assert.ok(performance.now() - startedAt < 700);
  // One slot and one request queued at the server; the third had to wait.
  assert.deepEqual(texts.map(readStatus).sort(), [200, 200, 503]);
});

const IGNORED_SCRIPTS: Readonly<Record<string, ServerScript>> = {
  'of another request': (request, socket) =>
    socket.write(
      formatAnswer(request, 'whole', [LEAVING]).replace(
        /X-Request-Id: .*/,
        'X-Request-Id: other',
      ),
    ),
  'of a misdirected request': (request, socket) =>
    socket.write(formatRefusal(request, [LEAVING], '421 Misdirected')),
  'of another server': (request, socket) =>
    socket.write(formatRefusal(request, [LEAVING, 'X-Server-Id: s9'])),
  'with another value': buildRefuser('X-Leaving: 0'),
};

for (const [name, script] of Object.entries(IGNORED_SCRIPTS)) {
  test(`a notice of leaving in an answer ${name} is ignored`, async () => {
    let isFirst = true;
    const server = await startServer('s1', (request, socket) => {
      if (isFirst) script(request, socket);
      else answerWell(request, socket);
      isFirst = false;
    });
    const gateway = await startGateway({kind: 'unsafe'}, [server]);
    await gateway.exchange(formatRequest({method: 'POST'}));
    const {registration} = server.describe();
    assert.equal(gateway.servers.notices.isLeaving(registration), false);
  });
}

test('a server that asks for a pause gets nothing until it is over', async () => {
  let pauses = 1;
  const server = await startServer('s1', (request, socket) => {
    pauses -= 1;
    const refuse = buildRefuser('Retry-After: 0.6');
    if (pauses >= 0) refuse(request, socket);
    else answerWell(request, socket);
  });
  const other = await startServer('s2', answerWell);
  const gateway = await startGateway({kind: 'unsafe'}, [server]);
  await gateway.exchange(formatRequest({method: 'POST'}));
  assert.equal(server.received.length, 1);
  gateway.list([other.describe()]);
  assert.deepEqual(await sendMany(gateway, 5), [200, 200, 200, 200, 200]);
  assert.equal(server.received.length, 1);
  await sleep(800);
  gateway.list([other.describe({state: 'gone', sequence: 2})]);
  assert.deepEqual(await sendMany(gateway, 2), [200, 200]);
  assert.equal(server.received.length, 3);
  const known = gateway.servers.listReady('drafts');
  assert.deepEqual(
    known.map(({failures}) => failures),
    [0],
  );
});

test('a server returns from its pause with one request at a time', async () => {
  let isPaused = true;
  const server = await startServer('s1', (request, socket) => {
    if (isPaused) buildRefuser('Retry-After: 0.2')(request, socket);
    else setTimeout(() => answerWell(request, socket), 100);
  });
  const gateway = await startGateway({kind: 'unsafe'}, [server]);
  await gateway.exchange(formatRequest({method: 'POST'}));
  isPaused = false;
  await sleep(300);
  const sends = ['a', 'b', 'c'].map(id =>
    gateway.exchange(formatRequest({method: 'POST', id})),
  );
  await sleep(60);
  assert.equal(server.received.length, 2);
  const texts = await Promise.all(sends);
  assert.deepEqual(texts.map(readStatus), [200, 200, 200]);
});

test('a request is refused at once with the remaining pause if all servers want one', async () => {
  const servers: FakeServer[] = [];
  for (const [id, seconds] of [
    ['s1', 3],
    ['s2', 2],
  ] as const) {
    servers.push(
      await startServer(id, buildRefuser(`Retry-After: ${seconds}`)),
    );
  }
  const gateway = await startGateway(PATIENT_ROUTE, servers);
  await gateway.exchange(formatRequest({method: 'POST'}));
  const startedAt = performance.now();
  const text = await gateway.exchange(formatRequest({method: 'POST'}));
  assert.ok(performance.now() - startedAt < 600);
  assert.equal(readStatus(text), 503);
  const seconds = Number(/Retry-After: ([\d.]+)/.exec(text)?.[1]);
  assert.ok(seconds >= 1.5 && seconds <= 3.1, `${seconds} s`);
  assert.equal(
    servers.reduce((sum, {received}) => sum + received.length, 0),
    2,
  );
});

test('a pause is no evidence against a version', async () => {
  const server = await startServer('s1', (request, socket) => {
    const answer = formatAnswer(request, 'later', ['Retry-After: 1']);
    socket.write(answer.replace('200 OK', '503 Busy'));
  });
  const gateway = await startGateway({kind: 'unsafe'}, [server]);
  gateway.versions.update([
    {
      service: 'drafts',
      number: 1,
      durationMs: 10_000,
      target: 'v1',
      phase: 'in_progress',
      share: 1,
      isEarly: true,
    },
  ]);
  const text = await gateway.exchange(formatRequest({method: 'POST'}));
  // The server does not say that it did not run the request.
  assert.equal(readStatus(text), 502);
  const failures = gateway.versions
    .listEvidence()
    .flatMap(({counts}) => Object.values(counts))
    .reduce((sum, {failures, losses = 0}) => sum + failures + losses, 0);
  assert.equal(failures, 0);
});

test('entries tell each other which servers leave, but only what they heard themselves', () => {
  const server = {id: 's1', startedAtMs: 7};
  const first = new ServerNotices();
  const second = new ServerNotices();
  assert.equal(
    first.record(server, {isLeaving: true, holdMs: undefined}),
    true,
  );
  second.addLeaving(first.listLeaving());
  assert.equal(second.isLeaving(server), true);
  assert.equal(second.isLeaving({id: 's1', startedAtMs: 8}), false);
  assert.deepEqual(second.listLeaving(), []);
});
