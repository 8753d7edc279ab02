import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {
  LAST_CHUNK,
  ServerScript,
  formatChunk,
  formatEvent,
  formatStreamHead,
} from './FakeServer.js';
import {listEvents, readWhole, startGarbled} from './garbledStreams.js';
import {formatRequest} from './GatewayHarness.js';
import {startGateway, startServer, stopStarted} from './startGateway.js';

afterEach(stopStarted);

const POST = {method: 'POST'} as const;
const RESUMABLE = {kind: 'streaming', isResumable: true} as const;
const HEARTBEAT_MS = 40;

/** Sends parts of a stream, each in a chunk, and its end. */
function sendParts(...parts: readonly string[]): ServerScript {
  return (request, socket) => {
    const chunks = parts.map(formatChunk).join('');
    socket.write(formatStreamHead(request) + chunks + LAST_CHUNK);
  };
}

/** Sends parts of a stream and resets the connection. */
function sendThenReset(...parts: readonly string[]): ServerScript {
  return (request, socket) => {
    const chunks = parts.map(formatChunk).join('');
    socket.write(formatStreamHead(request) + chunks);
    setTimeout(() => socket.resetAndDestroy(), 20);
  };
}

/** Foreign ids after which the events before them would be missing. */
const JUMPS: Readonly<Record<string, ServerScript>> = {
  'the sound events follow': sendParts(
    ...listEvents(1).slice(0, 2),
    formatEvent(999),
    ...listEvents(3),
  ),
  'the stream breaks off': sendThenReset(
    ...listEvents(1).slice(0, 2),
    formatEvent(999),
  ),
};

// Guards against a resume behind an id that a faulty server made up.
for (const [name, script] of Object.entries(JUMPS)) {
  test(`an id far from the others, then ${name}: the stream does not look complete`, async () => {
    const {gateway} = await startGarbled(true, script);
    const text = await gateway.exchange(formatRequest(POST));
    assert.match(text, /^HTTP\/1\.1 200 /);
    assert.equal(text.endsWith(LAST_CHUNK), false, text);
  });
}

test('ids with even gaps: a stream that breaks off is resumed', async () => {
  const server = await startServer('s1', (request, socket) => {
    const isFirst = server.received.length === 1;
    const script = isFirst
      ? sendThenReset(formatEvent(5), formatEvent(10))
      : sendParts(formatEvent(15));
    script(request, socket);
  });
  const gateway = await startGateway(RESUMABLE, [server]);
  const text = await gateway.exchange(formatRequest(POST));
  assert.equal(readWhole(text), [5, 10, 15].map(formatEvent).join(''));
});

test('data in front of an event, unlike in the events before: the stream ends there', async () => {
  const spoiled = `data: spoiled\n${formatEvent(3)}`;
  const script = sendParts(...listEvents(1).slice(0, 2), spoiled);
  const {gateway} = await startGarbled(true, script);
  const text = await gateway.exchange(formatRequest(POST));
  assert.equal(readWhole(text), listEvents(1).join(''));
});

test('an event that is cut in its data field is not delivered, its rest not taken for a comment', async () => {
  const cut = 'id: 1\ndata\n\n: piece 1\n\n';
  const {gateway} = await startGarbled(true, sendParts(cut, ...listEvents(2)));
  const text = await gateway.exchange(formatRequest(POST));
  assert.equal(readWhole(text), listEvents(1).join(''));
});

test('comments inside an event are not delivered', async () => {
  const [first = '', ...others] = listEvents(1);
  const commented = `: spoiled\n${first.replace('data', ':spoiled\ndata')}`;
  const {gateway} = await startGarbled(false, sendParts(commented, ...others));
  const text = await gateway.exchange(formatRequest(POST));
  assert.equal(readWhole(text), listEvents(1).join(''));
});

test('a caller that has the last event already gets an empty rest', async () => {
  const {gateway, garbling} = await startGarbled(true, sendParts());
  const headers = ['Last-Event-Id: 4'];
  const text = await gateway.exchange(formatRequest({...POST, headers}));
  assert.equal(readWhole(text), '');
  assert.equal(garbling.received.length, 1);
});

test('a stream without any event is a failure', async () => {
  const {gateway} = await startGarbled(false, sendParts());
  const text = await gateway.exchange(formatRequest(POST));
  assert.match(text, /^HTTP\/1\.1 502 /);
});

for (const id of ['1e3', '0x10', '+7', ' 2.0', '-1', 'x']) {
  test(`the last event id ${id} of a caller is no number: a sound stream is delivered`, async () => {
    const script = sendParts(...listEvents(1));
    const {gateway} = await startGarbled(true, script);
    const headers = [`Last-Event-Id: ${id}`];
    const text = await gateway.exchange(formatRequest({...POST, headers}));
    assert.equal(readWhole(text), listEvents(1).join(''));
  });
}

// Guards against a stalled stream that never ends since its server sends a byte now and then.
for (const beat of [': x\n\n', '\n']) {
  test(`a stalled stream with ${JSON.stringify(beat)} now and then is resumed`, async () => {
    const server = await startServer('s1', (request, socket) => {
      if (server.received.length > 1) {
        sendParts(...listEvents(2))(request, socket);
        return;
      }
      socket.write(formatStreamHead(request) + formatChunk(formatEvent(1)));
      const timer = setInterval(() => {
        socket.write(formatChunk(beat));
      }, HEARTBEAT_MS);
      socket.on('close', () => clearInterval(timer));
      socket.on('end', () => clearInterval(timer));
    });
    const route = {...RESUMABLE, longestPauseMs: 100};
    const gateway = await startGateway(route, [server]);
    const text = await gateway.exchange(formatRequest(POST));
    assert.equal(readWhole(text), listEvents(1).join(''));
  });
}
