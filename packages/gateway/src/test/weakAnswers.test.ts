import assert from 'node:assert/strict';
import {afterEach, mock, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  RouteConfiguration,
  RouteDeclaration,
  buildIncarnationKey,
} from '@sycamorehead/schema';
import {
  FakeServer,
  LAST_CHUNK,
  ServerScript,
  formatChunk,
  formatEvent,
  formatHead,
  formatStreamHead,
} from './FakeServer.js';
import {
  GatewayHarness,
  buildConfiguration,
  buildEngineConfiguration,
  buildRoute,
  formatRequest,
  readStatus,
} from './GatewayHarness.js';
import {startServer, stopStarted, track} from './startGateway.js';

afterEach(stopStarted);

/** Time after which a weak answer that was not cancelled goes on, in milliseconds. */
const REST_MS = 60;
/** Time that other requests get while a weak answer is being cancelled, in milliseconds. */
const MEANWHILE_MS = 100;

const ROUTE: Partial<RouteDeclaration> = {
  kind: 'streaming',
  isResumable: true,
  models: ['small', 'large'],
  targetLatencyMs: 1_000,
};

/** What happens around the weak answer to the request r1. */
interface Scene {
  /** Runs before the head of the weak answer is sent. */
  beforeAnswer?: () => Promise<void> | void;
  /** Runs between the cancellation of the weak answer and the end of its work. */
  beforeEnd?: () => Promise<void> | void;
  /** Handles requests other than r1. */
  others?: ServerScript;
  /** Whether every answer names a limit. */
  limit?: string;
}

/** Builds servers whose small model has little confidence in its answer to the request r1. */
function buildWeakScript(scene: Scene): ServerScript {
  return (request, socket) => {
    if (request.headers.get('x-request-id') !== 'r1') {
      scene.others?.(request, socket);
      return;
    }
    const model = request.headers.get('x-model');
    const confidence = model === 'small' ? 5 : 95;
    const fields = [`X-Confidence: ${confidence}`];
    if (scene.limit) fields.push(`X-Limit: ${scene.limit}`);
    const head = formatStreamHead(request, fields);
    const body = formatChunk(`id: 1\ndata: by ${model}\n\n`) + LAST_CHUNK;
    if (model !== 'small') {
      socket.write(head + body);
      return;
    }
    void answerWeakly(scene, socket, head, body);
  };
}

async function answerWeakly(
  scene: Scene,
  socket: Parameters<ServerScript>[1],
  head: string,
  body: string,
): Promise<void> {
  let isCancelled = false;
  socket.once('end', () => {
    isCancelled = true;
    void Promise.resolve(scene.beforeEnd?.()).then(() => socket.end());
  });
  await scene.beforeAnswer?.();
  socket.write(head);
  await sleep(REST_MS);
  if (!isCancelled) socket.write(body);
}

async function startWeakServer(id: string, scene: Scene): Promise<FakeServer> {
  const server = await startServer(id, buildWeakScript(scene));
  server.keepsHalfOpen = true;
  return server;
}

async function startScene(
  scene: Scene,
  ids: readonly string[],
  configuration: RouteConfiguration = buildConfiguration([buildRoute(ROUTE)]),
  {budgetRatio = 1, slots = 8} = {},
): Promise<{gateway: GatewayHarness; servers: readonly FakeServer[]}> {
  const servers = await Promise.all(ids.map(id => startWeakServer(id, scene)));
  const gateway = track(new GatewayHarness(budgetRatio));
  const listings = servers.map(server => server.describe({slots}));
  await gateway.start(configuration, listings);
  return {gateway, servers};
}

function sendRequest(gateway: GatewayHarness, id: string): Promise<string> {
  const headers = ['X-Model: *', 'X-Tokens: 100,20'];
  return gateway.exchange(formatRequest({method: 'POST', id, headers}));
}

/** Lets a server name a limit, of which the entry has been granted a number of sends. */
function addPermits(
  gateway: GatewayHarness,
  server: FakeServer,
  permits: number,
): void {
  const {registration} = server.describe();
  const {limits} = gateway.servers;
  const now = performance.now();
  limits.record(registration, {type: 'named', perSecond: 2}, now);
  const key = buildIncarnationKey(registration);
  limits.applyReply({entries: 1, load: {}, permits: {[key]: permits}}, now);
}

function assertDelivered(text: string, model: string): void {
  assert.equal(readStatus(text), 200, text);
  assert.match(text, new RegExp(`by ${model}`));
  assert.ok(text.endsWith(LAST_CHUNK), text);
}

// Guards against a request that lost its weak answer because another one took the last permit meanwhile.
test('a weak answer was dropped: the last permit of a server is reserved before', async () => {
  const scene: Scene = {limit: '2'};
  const {gateway, servers} = await startScene(scene, ['s1']);
  addPermits(gateway, servers[0]!, 2);
  scene.beforeEnd = async () => {
    void sendRequest(gateway, 'r2');
    await sleep(MEANWHILE_MS);
  };
  assertDelivered(await sendRequest(gateway, 'r1'), 'large');
});

test('a weak answer was dropped: it is delivered if no permit is left', async () => {
  const scene: Scene = {limit: '2'};
  const {gateway, servers} = await startScene(scene, ['s1']);
  addPermits(gateway, servers[0]!, 1);
  assertDelivered(await sendRequest(gateway, 'r1'), 'small');
});

test('a weak answer was dropped: the last free slot is reserved before', async () => {
  const scene: Scene = {};
  const {gateway, servers} = await startScene(
    scene,
    ['s1', 's2'],
    buildEngineConfiguration(ROUTE, 1),
    {slots: 1},
  );
  scene.beforeEnd = async () => {
    void sendRequest(gateway, 'r2');
    void sendRequest(gateway, 'r3');
    await sleep(MEANWHILE_MS);
  };
  assertDelivered(await sendRequest(gateway, 'r1'), 'large');
  assert.ok(servers.every(({received}) => received.length > 0));
});

test('a weak answer was dropped: the larger model answers elsewhere if its server is evacuated meanwhile', async () => {
  const scene: Scene = {};
  const {gateway, servers} = await startScene(
    scene,
    ['s1', 's2'],
    buildEngineConfiguration(ROUTE, 1),
    {slots: 1},
  );
  const [first, second] = servers;
  const evacuate = (revision: number, ...dataCentres: string[]) =>
    gateway.update({evacuation: {revision, dataCentres}});
  evacuate(1, 'b');
  gateway.list([second!.describe({sequence: 2, dataCentre: 'b'})]);
  scene.beforeAnswer = () => evacuate(2);
  scene.beforeEnd = () => evacuate(3, 'b');
  assertDelivered(await sendRequest(gateway, 'r1'), 'large');
  assert.equal(first!.received.length, 2);
  assert.equal(second!.received.length, 0);
});

test('a weak answer was dropped: it is delivered if the only free server has another version', async () => {
  const scene: Scene = {limit: '2'};
  const {gateway, servers} = await startScene(scene, ['s1', 's2']);
  const [old, fresh] = servers;
  gateway.list([
    old!.describe({sequence: 2}),
    fresh!.describe({sequence: 2, version: 'v2'}),
  ]);
  gateway.versions.update([
    {
      service: 'drafts',
      number: 1,
      durationMs: 10_000,
      target: 'v2',
      phase: 'in_progress',
      share: 0,
      isEarly: true,
    },
  ]);
  addPermits(gateway, old!, 1);
  assertDelivered(await sendRequest(gateway, 'r1'), 'small');
});

test('a weak answer was dropped: the retry budget is charged before', async () => {
  const scene: Scene = {};
  scene.others = (request, socket) =>
    socket.write(
      formatHead(request, ['X-Not-Executed: 1', 'Content-Length: 0'], '503 No'),
    );
  const {gateway} = await startScene(scene, ['s1'], undefined, {
    budgetRatio: 0.2,
  });
  const statuses: number[] = [];
  scene.beforeEnd = async () => {
    const others = ['r2', 'r3', 'r4'].map(id => sendRequest(gateway, id));
    statuses.push(...(await Promise.all(others)).map(readStatus));
  };
  assertDelivered(await sendRequest(gateway, 'r1'), 'large');
  // They have used up the budget.
  assert.deepEqual(statuses, [503, 503, 503]);
});

const CHANGES: Readonly<Record<string, RouteConfiguration>> = {
  'permits no repeat': buildConfiguration([
    buildRoute({...ROUTE, maxAttempts: 1}),
  ]),
  'moves the route to a service without servers': buildConfiguration(
    [buildRoute({...ROUTE, services: [{service: 'other', weight: 1}]})],
    {
      services: [
        {
          name: 'other',
          healthPath: '/',
          maxConnections: 50,
          engine: undefined,
        },
      ],
    },
  ),
  'removes the route': buildConfiguration([
    buildRoute({...ROUTE, pathPrefix: '/other/'}),
  ]),
};

for (const [change, configuration] of Object.entries(CHANGES)) {
  test(`a weak answer was dropped: it is delivered if a new configuration ${change}`, async () => {
    const scene: Scene = {};
    const {gateway} = await startScene(scene, ['s1', 's2']);
    scene.beforeAnswer = () => gateway.setConfiguration(configuration);
    assertDelivered(await sendRequest(gateway, 'r1'), 'small');
  });
}

test('a weak answer was dropped: it is delivered if the request is suspended', async () => {
  const scene: Scene = {};
  const {gateway} = await startScene(scene, ['s1', 's2']);
  const sends = mock.method(gateway.crashes, 'recordSend');
  scene.beforeAnswer = () =>
    gateway.crashes.setSuspended(sends.mock.calls[0]!.arguments[1]);
  assertDelivered(await sendRequest(gateway, 'r1'), 'small');
});

test('a weak answer was dropped: it is delivered if no further server may be exposed to the request', async () => {
  const scene: Scene = {};
  const {gateway} = await startScene(scene, []);
  const others = [
    await startWeakServer('s2', scene),
    await startWeakServer('s3', scene),
  ];
  const crashing = await startServer('s1', (unused, socket) => {
    gateway.list([...others, crashing].map(server => server.describe()));
    void crashing.refuseConnections();
    socket.resetAndDestroy();
  });
  gateway.list([crashing.describe()]);
  const sends = mock.method(gateway.crashes, 'recordSend');
  scene.beforeAnswer = () =>
    gateway.crashes.setSuspects(sends.mock.calls[0]!.arguments[1]);
  assertDelivered(await sendRequest(gateway, 'r1'), 'small');
});

test('a weak answer was dropped: it is delivered if too little time is left', async () => {
  const scene: Scene = {beforeAnswer: () => sleep(250)};
  scene.beforeEnd = () => sleep(150);
  const {gateway} = await startScene(scene, ['s1', 's2']);
  const request = formatRequest({
    method: 'POST',
    headers: ['X-Model: *', 'X-Tokens: 100,20'],
  }).replace('X-Deadline-Ms: 1500', 'X-Deadline-Ms: 380');
  assertDelivered(await gateway.exchange(request), 'small');
});

test('a weak answer was dropped: a server that leaves meanwhile costs no second charge', async () => {
  const scene: Scene = {};
  const {gateway, servers} = await startScene(scene, ['s1', 's2'], undefined, {
    // One extra send, as 0.8 of the budget holds one and the whole of it no second one.
    budgetRatio: 0.08,
  });
  scene.beforeEnd = () =>
    gateway.list(
      servers
        .filter(({received}) => received.length === 0)
        .map(server => server.describe({sequence: 2, state: 'leaving'})),
    );
  assertDelivered(await sendRequest(gateway, 'r1'), 'large');
});

test('a weak answer was dropped: the reserved slot is released if no send follows', async () => {
  const scene: Scene = {};
  scene.others = (request, socket) =>
    void sleep(MEANWHILE_MS).then(() =>
      socket.write(
        formatStreamHead(request) + formatChunk(formatEvent(1)) + LAST_CHUNK,
      ),
    );
  // The work on the weak answer never ends, so that no other server may begin.
  scene.beforeEnd = () => new Promise(() => {});
  const {gateway} = await startScene(
    scene,
    ['s1', 's2'],
    buildEngineConfiguration(ROUTE, 1),
    {slots: 1},
  );
  assert.equal(readStatus(await sendRequest(gateway, 'r1')), 502);
  const loads = Object.values(gateway.servers.listLoad());
  assert.ok(loads.every(([inFlight]) => inFlight === 0));
  const others = ['r2', 'r3'].map(id => sendRequest(gateway, id));
  const statuses = (await Promise.all(others)).map(readStatus);
  assert.deepEqual(statuses, [200, 200]);
});

test('a weak answer was dropped: a server that has become cold since gets no second request', async () => {
  const scene: Scene = {};
  const configuration = buildConfiguration([buildRoute(ROUTE)]);
  const {gateway, servers} = await startScene(scene, ['s1'], {
    ...configuration,
    services: configuration.services.map(service => ({
      ...service,
      warmup: {durationMs: 3_000, perSecond: 10},
    })),
  });
  const [server] = servers as [FakeServer];
  scene.beforeEnd = () =>
    gateway.list([server.describe({sequence: 2, slowStartMs: 30_000})]);
  const text = await sendRequest(gateway, 'r1');
  assert.ok(readStatus(text) >= 500, text);
  assert.equal(server.received.length, 1);
});
