import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import {
  LAST_CHUNK,
  ServerScript,
  answerWell,
  formatAnswer,
  formatChunk,
  formatEvent,
  formatHead,
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

const GARBAGE = 'data: spoiled\n\n';
const TYPE = 'Content-Type: text/event-stream';
const POST = {method: 'POST'} as const;

interface Head {
  readonly status?: string;
  readonly fields: readonly string[];
}

/** Heads of a success on a route of streams that do not announce an event stream, or not only that. */
const UNSOUND_HEADS: Readonly<Record<string, Head>> = {
  'no content type': {fields: []},
  'an empty content type': {fields: ['Content-Type:']},
  'plain text': {fields: ['Content-Type: text/plain']},
  'bytes of any type': {fields: ['Content-Type: application/octet-stream']},
  'a type that begins alike': {fields: [`${TYPE}s`]},
  'a garbled type': {fields: ['Content-Type: text/even#-stre\u0007m']},
  'a garbled field name': {fields: ['Contemt-Type: text/event-stream']},
  'two content types': {fields: [TYPE, 'Content-Type: text/plain']},
  'two content types, the stream second': {
    fields: ['Content-Type: text/plain', TYPE],
  },
  'status 201': {status: '201 Created', fields: [TYPE]},
  'status 206': {status: '206 Partial Content', fields: [TYPE]},
  'status 299': {status: '299 Other', fields: [TYPE]},
  'an empty field name': {fields: [TYPE, ': spoiled']},
  'a space in a field name': {fields: [TYPE, 'X Odd: spoiled']},
  'a head in a field': {fields: [TYPE, 'X-Left: HTTP/1.1 200 OK']},
  'a status below all': {status: '099 Odd', fields: [TYPE]},
  'a signature for the connection': {
    fields: [TYPE, 'Connection: close, x-signature'],
  },
  'a content type for the connection': {
    fields: [TYPE, 'Connection: Content-Type'],
  },
  'two signatures': {fields: [TYPE, 'X-Signature: other']},
};

/** Other spellings of the head of an event stream. */
const SOUND_HEADS: Readonly<Record<string, readonly string[]>> = {
  'a content type in capitals': ['Content-Type: Text/Event-Stream'],
  'a content type with a parameter': [`${TYPE}; charset=utf-8`],
  'a space before the parameter': [`${TYPE} ;charset=UTF-8`],
  'the same content type twice': [TYPE, TYPE],
};

type Framing = (head: Head, body: string) => ServerScript;

const FRAMINGS: Readonly<Record<string, Framing>> = {
  chunked:
    ({fields, status}, body) =>
    (request, socket) => {
      const framing = 'Transfer-Encoding: chunked';
      const head = formatHead(request, [...fields, framing], status);
      socket.write(head + formatChunk(body) + LAST_CHUNK, 'latin1');
    },
  sized:
    ({fields, status}, body) =>
    (request, socket) => {
      const framing = `Content-Length: ${body.length}`;
      const head = formatHead(request, [...fields, framing], status);
      socket.write(head + body, 'latin1');
    },
  unframed:
    ({fields, status}, body) =>
    (request, socket) =>
      socket.end(formatHead(request, fields, status) + body, 'latin1'),
};

/** Puts garbage behind some of the events of a whole stream. */
function insertGarbage(before: number): string {
  return listEvents(1).toSpliced(before, 0, GARBAGE).join('');
}

// Guards against a stream whose events are not checked because of what its server says of it.
for (const [name, head] of Object.entries(UNSOUND_HEADS)) {
  for (const [framing, buildScript] of Object.entries(FRAMINGS)) {
    for (const before of [0, 2, EVENT_COUNT]) {
      test(`${name}, ${framing}, garbage behind event ${before}: nothing of it reaches the caller`, async () => {
        const script = buildScript(head, insertGarbage(before));
        const {gateway, garbling} = await startGarbled(false, script);
        const text = await gateway.exchange(formatRequest(POST));
        assert.match(text, /^HTTP\/1\.1 50[24] /);
        assert.equal(text.includes('spoiled'), false, text);
        assert.equal(text.includes('piece'), false, text);
        assert.equal(garbling.received.length, 1);
      });
    }

    test(`${name}, ${framing}: a resumable stream is sent again`, async () => {
      const script = buildScript(head, insertGarbage(2));
      const {gateway} = await startGarbled(true, script);
      const text = await gateway.exchange(formatRequest(POST));
      assert.equal(readWhole(text), listEvents(1).join(''));
    });
  }

  test(`${name} in place of the rest of a stream: its events do not follow`, async () => {
    const server = await startServer('s1', (request, socket) => {
      const hasBegun = server.received.length > 1;
      if (hasBegun) {
        FRAMINGS['chunked']!(head, listEvents(2).join(''))(request, socket);
        return;
      }
      const fields = [TYPE, 'Transfer-Encoding: chunked'];
      socket.write(formatHead(request, fields) + formatChunk(formatEvent(1)));
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    const route = {kind: 'streaming', isResumable: true} as const;
    const gateway = await startGateway({...route, maxAttempts: 2}, [server]);
    const text = await gateway.exchange(formatRequest(POST));
    assert.match(text, /^HTTP\/1\.1 200 /);
    assert.ok(text.includes(formatEvent(1)), text);
    assert.equal(text.includes('piece 2'), false, text);
    assert.equal(text.endsWith(LAST_CHUNK), false, text);
  });
}

for (const [name, fields] of Object.entries(SOUND_HEADS)) {
  for (const [framing, buildScript] of Object.entries(FRAMINGS)) {
    test(`${name}, ${framing}: a sound stream is delivered whole`, async () => {
      const script = buildScript({fields}, listEvents(1).join(''));
      const {gateway} = await startGarbled(false, script);
      const text = await gateway.exchange(formatRequest(POST));
      assert.equal(readWhole(text), listEvents(1).join(''));
    });

    for (const before of [0, 2, EVENT_COUNT]) {
      test(`${name}, ${framing}: garbage behind event ${before} ends the stream`, async () => {
        const script = buildScript({fields}, insertGarbage(before));
        const {gateway} = await startGarbled(false, script);
        const text = await gateway.exchange(formatRequest(POST));
        assert.equal(text.includes('spoiled'), false, text);
        assert.equal(text.endsWith(LAST_CHUNK), false, text);
        assert.equal(/content-length: [1-9]/i.test(text), before === 0, text);
      });
    }
  }
}

/** Heads that cannot be passed on, whatever the route. */
const DEFECTIVE_HEADS = [
  'an empty field name',
  'a space in a field name',
  'a head in a field',
  'a signature for the connection',
];

// Guards against a success without a head of its own, and against a reset in its place.
for (const name of DEFECTIVE_HEADS) {
  const fields = UNSOUND_HEADS[name]!.fields.slice(1);
  test(`${name} in the answer on another route: a failure, or another send`, async () => {
    const server = await startServer('s1', (request, socket) => {
      const isFirst = server.received.length === 1;
      const extra = isFirst ? fields : [];
      socket.write(formatAnswer(request, 'whole', extra));
    });
    const safe = await startGateway({kind: 'safe'}, [server]);
    assert.ok((await safe.exchange(formatRequest())).endsWith('whole'));
    assert.equal(server.received.length, 2);
    server.received.length = 0;
    const unsafe = await startGateway({kind: 'unsafe'}, [server]);
    const text = await unsafe.exchange(formatRequest(POST));
    assert.match(text, /^HTTP\/1\.1 502 /);
  });
}

test('an empty signature is none', async () => {
  const server = await startServer('s1', (request, socket) => {
    const answer = formatAnswer(request, 'whole');
    socket.write(answer.replace('X-Signature: signed', 'X-Signature:'));
  });
  const gateway = await startGateway({kind: 'unsafe'}, [server]);
  const text = await gateway.exchange(formatRequest(POST));
  assert.match(text, /^HTTP\/1\.1 502 /);
});

test('an answer with a transfer coding beside chunks is not delivered', async () => {
  const server = await startServer('s1', (request, socket) => {
    const head = formatHead(request, ['Transfer-Encoding: gzip, chunked']);
    socket.write(head + formatChunk('coded') + LAST_CHUNK);
  });
  const gateway = await startGateway({kind: 'unsafe'}, [server]);
  const text = await gateway.exchange(formatRequest(POST));
  assert.match(text, /^HTTP\/1\.1 502 /);
});

test('an answer without content to a stream is a failure', async () => {
  const server = await startServer('s1', (request, socket) => {
    socket.write(formatHead(request, [TYPE], '204 No Content'));
  });
  const gateway = await startGateway({kind: 'streaming'}, [server]);
  const text = await gateway.exchange(formatRequest(POST));
  assert.match(text, /^HTTP\/1\.1 502 /);
});

test('the head of a stream can be asked for', async () => {
  const server = await startServer('s1', (request, socket) => {
    socket.write(formatHead(request, [TYPE]));
  });
  const gateway = await startGateway({kind: 'streaming'}, [server]);
  const text = await gateway.exchange(formatRequest({method: 'HEAD'}));
  assert.match(text, /^HTTP\/1\.1 200 /);
});

for (const status of ['302 Found', '404 Not Found', '500 Server Error']) {
  test(`the failure ${status} of a server reaches the caller of a stream as it is`, async () => {
    const server = await startServer('s1', (request, socket) => {
      const body = 'reason';
      const fields = ['Content-Type: text/plain', 'Content-Length: 6'];
      socket.write(formatHead(request, fields, status) + body);
    });
    const gateway = await startGateway({kind: 'streaming'}, [server]);
    const text = await gateway.exchange(formatRequest(POST));
    assert.ok(text.startsWith(`HTTP/1.1 ${status.slice(0, 3)} `), text);
    assert.match(text, /x-signature: signed/i);
    assert.ok(text.endsWith('reason'), text);
  });
}

test('a body on another route is delivered whole although it calls itself an event stream', async () => {
  const body = 'id: 1\ndata: no end of the last event';
  const server = await startServer('s1', (request, socket) => {
    socket.write(formatAnswer(request, body, [TYPE]));
  });
  const gateway = await startGateway({kind: 'unsafe'}, [server]);
  const text = await gateway.exchange(formatRequest(POST));
  assert.match(text, /^HTTP\/1\.1 200 /);
  assert.ok(text.includes(body), text);
});

test('an answer of plain text on another route is delivered as it is', async () => {
  const server = await startServer('s1', answerWell);
  const gateway = await startGateway({kind: 'unsafe'}, [server]);
  const text = await gateway.exchange(formatRequest(POST));
  assert.ok(text.endsWith('whole'), text);
});
