import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {FleetUpdate} from '@sycamorehead/fleet';
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
  buildRoute,
  formatRequest,
  readStatus,
} from './GatewayHarness.js';
import {startServer, stopStarted, track} from './startGateway.js';

afterEach(stopStarted);

const EVACUATED: FleetUpdate = {evacuation: {revision: 1, dataCentres: ['b']}};
const TAKEN_BACK: FleetUpdate = {evacuation: {revision: 2, dataCentres: []}};

/** Starts a gateway whose servers stand in data centres of the same names. */
async function startEntry(
  scripts: Readonly<Record<string, ServerScript>>,
  route: Parameters<typeof buildRoute>[0] = {},
) {
  const servers: Record<string, FakeServer> = {};
  for (const [dataCentre, script] of Object.entries(scripts)) {
    servers[dataCentre] = await startServer(`s-${dataCentre}`, script);
  }
  const gateway = track(new GatewayHarness());
  const listings = Object.entries(servers).map(([dataCentre, server]) =>
    server.describe({dataCentre}),
  );
  await gateway.start(buildConfiguration([buildRoute(route)]), listings);
  return {gateway, servers};
}

test('a request that only evacuated servers could run gets 503 with a delay, is counted, and is served once they return', async () => {
  const {gateway, servers} = await startEntry({b: answerWell});
  gateway.update(EVACUATED);
  const startedAt = performance.now();
  const text = await gateway.exchange(formatRequest());
  assert.ok(performance.now() - startedAt < 200, 'it was held');
  assert.equal(readStatus(text), 503);
  assert.match(text, /"kind":"data_centre_evacuated".*"ran":"no"/);
  assert.match(text, /Retry-After: 2(\.\d+)?\r\n/);
  assert.equal(servers['b']?.received.length, 0);
  assert.match(
    await gateway.metrics.registry.metrics(),
    /syc_gateway_failures_total\{route="drafts",kind="data_centre_evacuated"\} 1/,
  );
  gateway.update(TAKEN_BACK);
  assert.equal(readStatus(await gateway.exchange(formatRequest())), 200);
});

test('a request is repeated only at servers whose data centre is not evacuated', async () => {
  let receivedBefore: number | undefined;
  const {gateway, servers} = await startEntry({
    a: (request, socket) => {
      // The order comes while the first send is under way.
      receivedBefore ??= servers['b']?.received.length;
      gateway.update(EVACUATED);
      socket.write(formatAnswer(request, 'no').replace('200 OK', '500 Error'));
    },
    b: answerWell,
    c: answerWell,
  });
  for (let count = 0; count < 30; count += 1) {
    assert.equal(readStatus(await gateway.exchange(formatRequest())), 200);
  }
  assert.notEqual(receivedBefore, undefined);
  assert.equal(servers['b']?.received.length, receivedBefore);
});

/** Answers one event and breaks off; calls back before. */
function answerInPart(onBreak: () => void): ServerScript {
  return (request, socket) => {
    socket.write(formatStreamHead(request) + formatChunk(formatEvent(1)));
    setTimeout(() => {
      onBreak();
      socket.resetAndDestroy();
    }, 30);
  };
}

const resume: ServerScript = (request, socket) => {
  const event = Number(request.headers.get('last-event-id')) + 1;
  socket.write(
    formatStreamHead(request) + formatChunk(formatEvent(event)) + LAST_CHUNK,
  );
};

const STREAMING = {kind: 'streaming', isResumable: true} as const;

test('a broken stream goes on at a server whose data centre is not evacuated, or nowhere', async () => {
  const evacuateOnlyB = {evacuation: {revision: 2, dataCentres: ['b']}};
  for (const others of [['b', 'c'], ['b']]) {
    const scripts = {
      a: answerInPart(() => gateway.update(evacuateOnlyB)),
      ...Object.fromEntries(others.map(name => [name, resume])),
    };
    const {gateway, servers} = await startEntry(scripts, STREAMING);
    // The first send goes to the server that breaks off.
    gateway.update({evacuation: {revision: 1, dataCentres: others}});
    const text = await gateway.exchange(formatRequest({method: 'POST'}));
    assert.equal(readStatus(text), 200);
    assert.equal(text.includes(formatEvent(2)), others.includes('c'));
    assert.equal(text.endsWith(LAST_CHUNK), others.includes('c'));
    assert.equal(servers['b']?.received.length, 0);
    await stopStarted();
  }
});

test('what runs on an evacuated server is finished, and nothing new goes there', async () => {
  let finish = () => {};
  const {gateway, servers} = await startEntry({
    b: (request, socket) => {
      finish = () => socket.write(formatAnswer(request, 'whole'));
    },
  });
  const exchange = gateway.exchange(formatRequest());
  await sleep(50);
  gateway.update(EVACUATED);
  const refused = await gateway.exchange(formatRequest({id: 'r2'}));
  assert.equal(readStatus(refused), 503);
  finish();
  assert.equal(readStatus(await exchange), 200);
  assert.equal(servers['b']?.received.length, 1);
});

test('an entry that does not know the evacuation yet holds requests for a moment and then refuses them', async () => {
  const server = await startServer('s-b', answerWell);
  const gateway = track(new GatewayHarness());
  gateway.servers.evacuation.expectState();
  const listings = [server.describe({dataCentre: 'b'})];
  await gateway.start(buildConfiguration([buildRoute()]), listings);
  gateway.update({configurationVersion: 1, isCatchingUp: true});
  const refused = await gateway.exchange(formatRequest());
  assert.equal(readStatus(refused), 503);
  assert.match(refused, /"ran":"no"/);
  const exchange = gateway.exchange(formatRequest());
  await sleep(50);
  gateway.update({evacuation: {revision: 0, dataCentres: []}});
  assert.equal(readStatus(await exchange), 200);
  assert.equal(server.received.length, 1);
});
