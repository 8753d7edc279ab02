import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {
  LAST_CHUNK,
  ReceivedRequest,
  ServerScript,
  formatChunk,
  formatEvent,
  formatStreamHead,
} from './FakeServer.js';
import {
  EVENT_COUNT,
  listEvents,
  readWhole,
  startGarbled,
} from './garbledStreams.js';
import {formatRequest} from './GatewayHarness.js';
import {startGateway, startServer, stopStarted} from './startGateway.js';

afterEach(stopStarted);

const DATA = 'data: spoiled\n\n';

/** Bytes that no event of a stream consists of; each ends with an empty line, like an event. */
const GARBAGE: Readonly<Record<string, string>> = {
  'an event without an id': DATA,
  'an event with an empty id': `id:\n${DATA}`,
  'an id that is no number': `id: x7\n${DATA}`,
  'an id that is negative': `id: -1\n${DATA}`,
  'an id with a fraction': `id: 9.5\n${DATA}`,
  'two ids': `id: 8\nid: 9\n${DATA}`,
  'a line that is no field': `id: 9\n#@!\n${DATA}`,
  'a line with bytes before its field': `id: 9\n\u0001\u0002${DATA}`,
  'bytes that are no UTF-8': 'id: 9\ndata: \u00ff\u00fe\n\n',
  'a field of another name': `id: 9\nspoiled: x\n${DATA}`,
  'a field before the first one': `x-spoiled: 7\nid: 9\n${DATA}`,
  'a version that is no number': `x-weight-versions: x\nid: 9\n${DATA}`,
  'a version behind the id': `id: 9\nx-weight-versions: 7\n${DATA}`,
  'lone carriage returns in an event': 'id: 9\ndata: a\r\rdata: spoiled\n\n',
  'a lone carriage return at its end': 'id: 9\ndata: spoiled\r\r\n\n',
  'an event without data': 'id: 9\nevent: spoiled\n\n',
  'a data field without a colon': 'id: 9\nevent: spoiled\ndata\n\n',
  'a retry that is no number': `id: 9\nretry: spoiled\n${DATA}`,
  'a byte order mark': `\u00ef\u00bb\u00bfid: 9\n${DATA}`,
  'a head': 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
  'random bytes': '\u008f\u0003}\u00c4\u007f\n\n',
};

/** Formats event bytes as the body of a stream. */
const FRAMINGS = {
  chunked: {
    formatHead: (request: ReceivedRequest) => formatStreamHead(request),
    formatPart: formatChunk,
    end: LAST_CHUNK,
  },
  unframed: {
    formatHead: (request: ReceivedRequest) =>
      formatStreamHead(request).replace('Transfer-Encoding: chunked\r\n', ''),
    formatPart: (text: string) => text,
    end: '',
  },
} as const;

type Framing = (typeof FRAMINGS)[keyof typeof FRAMINGS];

/** Sends a stream with garbage behind some of its events, in the same part as the last of them. */
function buildGarbledStream(
  {formatHead, formatPart, end}: Framing,
  garbage: string,
  before: number,
): ServerScript {
  const events = listEvents(1);
  const head = events.slice(0, before).join('') + garbage;
  const rest = events.slice(before).join('');
  return (request, socket) => {
    const parts = [head, rest].filter(part => part !== '').map(formatPart);
    const bytes = formatHead(request) + parts.join('') + end;
    socket.write(bytes, 'latin1');
    if (end === '') socket.end();
  };
}

// Guards against bytes of a faulty server that callers find among the events of their stream.
for (const [name, garbage] of Object.entries(GARBAGE)) {
  for (const [framing, format] of Object.entries(FRAMINGS)) {
    for (const before of [0, 2, EVENT_COUNT]) {
      test(`${name} behind event ${before}, ${framing}: the stream ends there and does not look complete`, async () => {
        const script = buildGarbledStream(format, garbage, before);
        const {gateway, garbling} = await startGarbled(false, script);
        const text = await gateway.exchange(formatRequest({method: 'POST'}));
        const delivered = listEvents(1).slice(0, before).join('');
        if (before === 0) assert.match(text, /^HTTP\/1\.1 50[24] /);
        else assert.ok(text.includes(delivered), text);
        assert.equal(text.includes('spoiled'), false, text);
        assert.equal(text.endsWith(LAST_CHUNK), false, text);
        assert.equal(garbling.received.length, 1);
        assert.ok(garbling.closed >= 1);
      });
    }
  }

  test(`${name}: a resumable stream continues behind its last whole event`, async () => {
    const script = buildGarbledStream(FRAMINGS.chunked, garbage, 2);
    const {gateway} = await startGarbled(true, script);
    const text = await gateway.exchange(formatRequest({method: 'POST'}));
    assert.equal(readWhole(text), listEvents(1).join(''));
  });
}

for (const id of [1, 2]) {
  test(`the id ${id} again behind event 2: the stream ends there and does not look complete`, async () => {
    const garbage = `id: ${id}\n${DATA}`;
    const script = buildGarbledStream(FRAMINGS.chunked, garbage, 2);
    const {gateway} = await startGarbled(false, script);
    const text = await gateway.exchange(formatRequest({method: 'POST'}));
    assert.equal(text.includes('spoiled'), false, text);
    assert.equal(text.endsWith(LAST_CHUNK), false, text);
  });
}

test('a server that starts a resumed stream from its beginning sends no event twice', async () => {
  const server = await startServer('s1', (request, socket) => {
    socket.write(formatStreamHead(request) + formatChunk(formatEvent(1)));
    if (server.received.length === 1) {
      setTimeout(() => socket.resetAndDestroy(), 20);
      return;
    }
    socket.write(listEvents(2).map(formatChunk).join('') + LAST_CHUNK);
  });
  const gateway = await startGateway({kind: 'streaming', isResumable: true}, [
    server,
  ]);
  const text = await gateway.exchange(formatRequest({method: 'POST'}));
  assert.equal(text.match(/id: 1\n/g)?.length, 1);
});

/** Streams of sound servers. */
const SOUND: Readonly<Record<string, string>> = {
  'a version before the id':
    'x-weight-versions: 7\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n',
  'several lines of data': 'id: 1\ndata: a\ndata: b\n\nid: 2\ndata: c\n\n',
  'carriage returns': 'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n',
  'gaps between the ids': 'id: 3\ndata: a\n\nid: 17\ndata: b\n\n',
  'a large first id': 'id: 4000000000000\ndata: a\n\n',
  'no space behind the colon': 'id:1\ndata:a\n\nid:2\ndata:b\n\n',
  'the id behind the data': 'data: a\nid: 1\n\ndata: b\nid: 2\n\n',
  'text beyond ASCII': `id: 1\ndata: ${Buffer.from('año').toString('latin1')}\n\n`,
  'an empty field': 'id: 1\nevent\ndata:\n\nid: 2\nevent: end\ndata:\n\n',
};

for (const [name, events] of Object.entries(SOUND)) {
  test(`a sound stream with ${name} is delivered unchanged`, async () => {
    const {gateway} = await startGarbled(false, (request, socket) => {
      const bytes = formatStreamHead(request) + formatChunk(events);
      socket.write(bytes + LAST_CHUNK, 'latin1');
    });
    const text = await gateway.exchange(formatRequest({method: 'POST'}));
    assert.match(text, /^HTTP\/1\.1 200 /);
    assert.equal(readWhole(text), events);
  });
}

test('comments between the events are not delivered and do not end the stream', async () => {
  const {gateway} = await startGarbled(false, (request, socket) => {
    const parts = [': ping\n\n', formatEvent(1), ':\n\n', formatEvent(2)];
    const body = parts.map(formatChunk).join('');
    socket.write(formatStreamHead(request) + body + LAST_CHUNK);
  });
  const text = await gateway.exchange(formatRequest({method: 'POST'}));
  assert.equal(readWhole(text), formatEvent(1) + formatEvent(2));
});
