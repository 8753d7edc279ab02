import assert from 'node:assert/strict';
import {once} from 'node:events';
import {AddressInfo, Server, Socket, createServer} from 'node:net';
import {describe, test} from 'node:test';
import type {TestContext} from 'node:test';
import {BackendClient} from '../lib/BackendClient.js';
import {FrameChecker} from '../lib/FrameChecker.js';

const TIMEOUTS = {
  connectMs: 1_000,
  firstByteMs: 1_000,
  betweenFramesMs: 500,
  serviceMs: 1_000,
};
const REQUEST = 'req-3f0e6a3c-12ab-4c5d-8e9f-0123456789ab';
const OTHER_REQUEST = 'req-77aa6a3c-98fe-4c5d-8e9f-ba9876543210';
const ATTEMPT = `${REQUEST}.1`;
/** An id that an engine assigns itself. */
const ENGINE_ID = 'chatcmpl-1';
const PIECES = ['one ', 'two ', 'three ', 'four '];
const WHOLE = PIECES.join('');
const USAGE = {prompt_tokens: 3, completion_tokens: PIECES.length};

interface FrameFields {
  readonly id: string | undefined;
  readonly offset: number;
  readonly text: string;
}

function formatFrame({id, offset, text}: FrameFields): string {
  const isLast = offset === PIECES.length && text === PIECES.at(-1);
  const chunk = {
    id,
    offset,
    choices: [
      {index: 0, delta: {content: text}, finish_reason: isLast ? 'stop' : null},
    ],
    ...(isLast && {usage: USAGE}),
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

function listFrames(id: string): string[] {
  return PIECES.map((text, index) =>
    formatFrame({id, text, offset: index + 1}),
  );
}

/** What comes among the frames of a stream, by the number of the pieces before it. */
const GARBAGE: Readonly<Record<string, (offset: number) => string>> = {
  nothing: () => '',
  comments: () => ': garbage\n\n',
  'a frame of another request': offset =>
    formatFrame({
      id: `${OTHER_REQUEST}.1`,
      offset: offset + 1,
      text: 'garbage',
    }),
  'a frame of another attempt': offset =>
    formatFrame({id: `${REQUEST}.2`, offset: offset + 1, text: 'garbage'}),
  'a frame with an empty id': offset =>
    formatFrame({id: '', offset: offset + 1, text: 'garbage'}),
  'a frame without id': offset =>
    formatFrame({id: undefined, offset: offset + 1, text: 'garbage'}),
  'an end mark': () => 'data: [DONE]\n\n',
  'an end mark and another frame': offset =>
    `data: [DONE]\n\n${formatFrame({id: ATTEMPT, offset: offset + 1, text: 'garbage'})}`,
  'a frame that is no UTF-8': offset =>
    formatFrame({id: ATTEMPT, offset: offset + 1, text: '\u00ff\u00fe'}),
  'lone carriage returns': offset =>
    `${formatFrame({id: `${OTHER_REQUEST}.1`, offset: offset + 1, text: 'garbage'}).replaceAll('\n', '\r')}`,
  'half a frame': offset =>
    formatFrame({id: ATTEMPT, offset: offset + 1, text: 'garbage'}).slice(
      0,
      40,
    ),
  'a head': () => 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
  'random bytes': () => '\u008f\u0003}\u00c4\u007f\n\n',
};

const HEADS: Readonly<Record<string, string>> = {
  'an event stream': 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n',
  'no type': 'HTTP/1.1 200 OK\r\n',
  'another type': 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n',
  'two types':
    'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Type: text/event-stream\r\n',
  'a coding':
    'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Encoding: gzip\r\n',
  'status 201': 'HTTP/1.1 201 Created\r\nContent-Type: text/event-stream\r\n',
  'status 206':
    'HTTP/1.1 206 Partial Content\r\nContent-Type: text/event-stream\r\n',
};

/** How parts are framed, and whether the connection stays open behind the last of them. */
const FRAMINGS: Readonly<Record<string, (parts: readonly string[]) => string>> =
  {
    chunks: parts =>
      `Transfer-Encoding: chunked\r\n\r\n${formatChunks(parts)}0\r\n\r\n`,
    'a length': parts =>
      `Content-Length: ${parts.join('').length}\r\n\r\n${parts.join('')}`,
    'no length': parts => `Connection: close\r\n\r\n${parts.join('')}`,
  };

function formatChunks(parts: readonly string[]): string {
  return parts
    .filter(part => part !== '')
    .map(part => `${part.length.toString(16)}\r\n${part}\r\n`)
    .join('');
}

type Answer = (socket: Socket) => void;

/** Starts a server that gives each request on its connections the same answer. */
async function startServer(
  context: TestContext,
  answer: Answer,
): Promise<string> {
  const sockets = new Set<Socket>();
  const server: Server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('data', () => answer(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => {
    sockets.forEach(socket => socket.destroy());
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function createClient(context: TestContext): BackendClient {
  const client = new BackendClient(TIMEOUTS);
  context.after(() => client.stop());
  return client;
}

/** Reads the pieces of an answer until it ends, well or not. */
async function readPieces(
  client: BackendClient,
  address: string,
): Promise<{text: string; failure: unknown}> {
  const frames = client.streamChat(
    {
      address,
      attemptId: ATTEMPT,
      body: '{}',
      resumeOffset: 0,
      priority: 0,
      signal: new AbortController().signal,
    },
    new FrameChecker(ATTEMPT, 0),
  );
  let text = '';
  try {
    for await (const frame of frames) text += frame.text;
  } catch (failure) {
    return {text, failure};
  }
  return {text, failure: undefined};
}

interface SpoiledStream {
  readonly name: string;
  readonly parts: readonly string[];
}

/** Lists streams with each garbage at each place, under each kind of id. */
function listStreams(): SpoiledStream[] {
  return Object.entries(GARBAGE).flatMap(([name, build]) =>
    [ATTEMPT, ENGINE_ID].flatMap(id =>
      Array.from({length: PIECES.length + 1}, (_, offset) => ({
        name: `${name} behind ${offset}, id ${id}`,
        parts: listFrames(id).toSpliced(offset, 0, build(offset)),
      })),
    ),
  );
}

// Guards against pieces of a faulty engine that no run of the request made.
describe('engines that spoil their streams', () => {
  for (const [head, opening] of Object.entries(HEADS)) {
    for (const [framing, format] of Object.entries(FRAMINGS)) {
      test(`${head}, ${framing}: callers get only pieces of their request`, async context => {
        const client = createClient(context);
        const foreign: string[] = [];
        let bytes = '';
        const address = await startServer(context, socket => {
          socket.write(bytes, 'latin1');
          if (framing === 'no length') socket.end();
        });
        for (const {name, parts} of listStreams()) {
          bytes = opening + format(parts);
          const {text, failure} = await readPieces(client, address);
          const isSound = failure ? WHOLE.startsWith(text) : text === WHOLE;
          if (!isSound) foreign.push(`${name}: ${text}`);
        }
        assert.deepEqual(foreign, []);
      });
    }
  }

  test('a frame under an id of the engine among those of the request is not delivered', async context => {
    const garbage = {id: ENGINE_ID, offset: 3, text: 'garbage'};
    const parts = listFrames(ATTEMPT).toSpliced(2, 0, formatFrame(garbage));
    const address = await startServer(context, socket =>
      socket.write(HEADS['no type'] + FRAMINGS['chunks']!(parts)),
    );
    const {text} = await readPieces(createClient(context), address);
    assert.equal(text, WHOLE);
  });
});

/** Time for which a connection rests before it ends, in milliseconds. */
const REST_MS = 50;
const OK = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n';
const BODY = 'the whole answer of a plain service';
const HALF = BODY.slice(0, BODY.length / 2);
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';

/** Answers of which no caller may get a success, with how the connection ends. */
const SERVICE_ANSWERS: Readonly<
  Record<string, [string, 'end' | 'reset' | 'reset at once']>
> = {
  'a coding': [
    `${OK}Content-Encoding: gzip\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
    'end',
  ],
  'a coding of the transfer': [
    `${OK}Transfer-Encoding: gzip, chunked\r\n\r\n${formatChunks([BODY])}0\r\n\r\n`,
    'end',
  ],
  'a body that is shorter than its length': [
    `${OK}Content-Length: ${BODY.length}\r\n\r\n${HALF}`,
    'end',
  ],
  'a body that is shorter than its length, no reuse': [
    `${OK}Connection: close\r\nContent-Length: ${BODY.length}\r\n\r\n${HALF}`,
    'end',
  ],
  'a body that is shorter than its length, no reuse, reset': [
    `${OK}Connection: close\r\nContent-Length: ${BODY.length}\r\n\r\n${HALF}`,
    'reset',
  ],
  'chunks without end': [`${OK}${CHUNKED}${formatChunks([HALF])}`, 'end'],
  'chunks without end, no reuse': [
    `${OK}Connection: close\r\n${CHUNKED}${formatChunks([HALF])}`,
    'end',
  ],
  'chunks without end, no reuse, reset': [
    `${OK}Connection: close\r\n${CHUNKED}${formatChunks([HALF])}`,
    'reset',
  ],
  'half a chunk': [
    `${OK}Connection: close\r\n${CHUNKED}40\r\n${HALF}`,
    'reset',
  ],
  'no length, reset': [`${OK}\r\n${HALF}`, 'reset'],
  'no length, reset at once': [`${OK}\r\n${HALF}`, 'reset at once'],
  'no length, no reuse, reset': [
    `${OK}Connection: close\r\n\r\n${HALF}`,
    'reset',
  ],
  'two lengths': [
    `${OK}Content-Length: ${HALF.length}\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
    'end',
  ],
  'a length and chunks': [
    `${OK}Content-Length: ${HALF.length}\r\n${CHUNKED}${formatChunks([BODY])}0\r\n\r\n`,
    'end',
  ],
  'a part of the body': [
    `HTTP/1.1 206 Partial Content\r\nContent-Type: text/plain\r\nContent-Range: bytes 0-${HALF.length - 1}/${BODY.length}\r\nContent-Length: ${HALF.length}\r\n\r\n${HALF}`,
    'end',
  ],
};

// Guards against answers of a faulty service that look complete to callers and are not.
describe('plain services that spoil their answers', () => {
  for (const [name, [bytes, ending]] of Object.entries(SERVICE_ANSWERS)) {
    for (const isRepeatable of [true, false]) {
      test(`${name}: no success, ${isRepeatable ? 'kept' : 'new'} connection`, async context => {
        const address = await startServer(context, socket => {
          socket.write(bytes);
          if (ending === 'reset at once') socket.resetAndDestroy();
          // The body arrives before the connection ends.
          setTimeout(() => {
            if (ending === 'end') socket.end();
            else socket.resetAndDestroy();
          }, REST_MS);
        });
        const call = createClient(context).callService({
          url: `${address}/`,
          method: 'GET',
          headers: {},
          maxResponseBytes: 1024,
          isRepeatable,
        });
        await assert.rejects(call, {kind: 'backend_failed', ran: 'unknown'});
      });
    }
  }

  for (const isRepeatable of [true, false]) {
    test(`bytes behind an answer do not become the next one, ${isRepeatable}`, async context => {
      let count = 0;
      const address = await startServer(context, socket => {
        count += 1;
        const answer = `${OK}Content-Length: 1\r\n\r\n`;
        socket.write(`${answer}${count}${answer}x`);
      });
      const client = createClient(context);
      for (let call = 0; call < 5; call += 1) {
        const options = {method: 'GET', headers: {}, maxResponseBytes: 1024};
        const outcome = await client
          .callService({url: `${address}/`, ...options, isRepeatable})
          .then(
            ({body}) => body.toString(),
            () => 'failed',
          );
        assert.notEqual(outcome, 'x');
      }
    });
  }

  for (const format of Object.values(FRAMINGS)) {
    test(`an answer in the coding identity is delivered: ${format(['']).split(':')[0]}`, async context => {
      const bytes = `${OK}Content-Encoding: identity\r\n${format([BODY])}`;
      const address = await startServer(context, socket => {
        socket.write(bytes);
        if (!/length|chunked/i.test(bytes)) socket.end();
      });
      const {body} = await createClient(context).callService({
        url: `${address}/`,
        method: 'GET',
        headers: {},
        maxResponseBytes: 1024,
        isRepeatable: true,
      });
      assert.equal(body.toString(), BODY);
    });
  }
});
