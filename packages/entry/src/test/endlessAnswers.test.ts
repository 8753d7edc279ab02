import assert from 'node:assert/strict';
import {describe, test} from 'node:test';
import type {TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {EndlessPace, EndlessServer} from '@sycamorehead/wire/testing';
import {BackendClient} from '../lib/BackendClient.js';
import {FrameChecker} from '../lib/FrameChecker.js';

const TIMEOUTS = {
  connectMs: 1_000,
  firstByteMs: 300,
  betweenFramesMs: 300,
  serviceMs: 400,
};
/** Time within which a call must have failed, in milliseconds. */
const FAIL_MS = 4_000;
/** Time within which the connection must be closed after that, in milliseconds. */
const CLOSE_MS = 1_500;
const MAX_READ_BYTES = 4 * 1024 * 1024;
const MAX_GROWTH_BYTES = 64 * 1024 * 1024;
const MAX_RESPONSE_BYTES = 1024 * 1024;
const SLOW_CONCURRENCY = 6;

const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const STREAM_OK = `${OK}Content-Type: text/event-stream\r\n${CHUNKED}`;

function formatPiece(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function formatFrame(id: string, isLast: boolean): string {
  const chunk = {
    id,
    object: 'chat.completion.chunk',
    model: 'm',
    offset: 1,
    choices: [
      {index: 0, delta: {content: '1 '}, finish_reason: isLast ? 'stop' : null},
    ],
  };
  return formatPiece(`data: ${JSON.stringify(chunk)}\n\n`);
}

interface Place {
  readonly opening: string;
  readonly filler: string;
  /** Whether only the time of the call bounds what is read; nothing of it is kept. */
  readonly isBoundedByTime?: boolean;
}

/** Places before the body, for engines and services. */
const HEAD_PLACES: Readonly<Record<string, Place>> = {
  'empty lines': {opening: '', filler: '\r\n', isBoundedByTime: true},
  'a status line': {
    opening: 'HTTP/1.1 200 ',
    filler: 'O',
    isBoundedByTime: true,
  },
  'a header value': {opening: `${OK}X-Filler: `, filler: 'a'},
  'header fields': {opening: OK, filler: 'a: b\r\n'},
  'answers 100': {opening: '', filler: 'HTTP/1.1 100 Continue\r\n\r\n'},
  'answers 103': {
    opening: '',
    filler: 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n',
  },
  'bytes that are no HTTP': {opening: '', filler: 'garbage '},
};

const ENGINE_PLACES: Readonly<Record<string, Place>> = {
  ...HEAD_PLACES,
  'a chunk size': {opening: STREAM_OK, filler: '0', isBoundedByTime: true},
  'the body of an error': {
    opening: `HTTP/1.1 500 Broken\r\n${CHUNKED}`,
    filler: formatPiece('endless '.repeat(64)),
  },
  'a line of an event': {
    opening: STREAM_OK,
    filler: formatPiece('x'.repeat(500)),
  },
  'lines of an event': {opening: STREAM_OK, filler: formatPiece('data: x\n')},
  comments: {opening: STREAM_OK, filler: formatPiece(':\n\n')},
  'frames of another attempt': {
    opening: STREAM_OK,
    filler: formatFrame('r.2', false),
  },
};

const SERVICE_PLACES: Readonly<Record<string, Place>> = {
  ...HEAD_PLACES,
  'a chunk size': {opening: OK + CHUNKED, filler: '0', isBoundedByTime: true},
  trailers: {opening: `${OK}${CHUNKED}0\r\n`, filler: 'a: b\r\n'},
  'a body in chunks': {
    opening: OK + CHUNKED,
    filler: formatPiece('endless '.repeat(64)),
  },
  'a body without length': {opening: `${OK}\r\n`, filler: 'endless '},
};

async function startServer(
  context: TestContext,
  place: Place,
  pace: EndlessPace,
): Promise<EndlessServer> {
  const {opening, filler} = place;
  const server = new EndlessServer({opening, filler, pace});
  context.after(() => server.stop());
  await server.start();
  return server;
}

function createClient(context: TestContext): BackendClient {
  const client = new BackendClient(TIMEOUTS);
  context.after(() => client.stop());
  return client;
}

async function readAnswer(
  client: BackendClient,
  server: EndlessServer,
): Promise<string> {
  const frames = client.streamChat(
    {
      address: `http://${server.address}`,
      attemptId: 'r.1',
      body: '{}',
      resumeOffset: 0,
      priority: 0,
      signal: new AbortController().signal,
    },
    new FrameChecker('r.1', 0),
  );
  let text = '';
  for await (const frame of frames) text += frame.text;
  return text;
}

async function callService(
  client: BackendClient,
  server: EndlessServer,
): Promise<string> {
  const {body} = await client.callService({
    url: `http://${server.address}/`,
    method: 'GET',
    headers: {},
    maxResponseBytes: MAX_RESPONSE_BYTES,
    isRepeatable: true,
  });
  return body.toString('latin1');
}

async function ensureClosed(server: EndlessServer): Promise<void> {
  const timeout = sleep(CLOSE_MS, 'open', {ref: false});
  const state = await Promise.race([server.waitUntilClosed(), timeout]);
  assert.notEqual(state, 'open', 'the connection stays open');
}

function measureMemory(): number {
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

type Call = typeof readAnswer;

async function checkFails(
  context: TestContext,
  place: Place,
  pace: EndlessPace,
  call: Call,
): Promise<void> {
  const server = await startServer(context, place, pace);
  const client = createClient(context);
  const memoryBefore = measureMemory();
  const startedAt = performance.now();
  await assert.rejects(call(client, server), {kind: 'backend_failed'});
  const elapsedMs = performance.now() - startedAt;
  const growth = measureMemory() - memoryBefore;
  context.diagnostic(`${elapsedMs} ms, ${server.bytesRead} bytes`);
  assert.ok(elapsedMs < FAIL_MS, `failed after ${elapsedMs} ms`);
  assert.ok(growth < MAX_GROWTH_BYTES, `grew by ${growth} bytes`);
  await ensureClosed(server);
  if (place.isBoundedByTime) return;
  const {bytesRead} = server;
  assert.ok(bytesRead <= MAX_READ_BYTES, `${bytesRead} bytes were read`);
}

function addTests(pace: EndlessPace): void {
  for (const [name, place] of Object.entries(ENGINE_PLACES)) {
    test(`${name} of an engine without end, ${pace}: fails in time, closed, bounded`, context =>
      checkFails(context, place, pace, readAnswer));
  }
  for (const [name, place] of Object.entries(SERVICE_PLACES)) {
    test(`${name} of a service without end, ${pace}: fails in time, closed, bounded`, context =>
      checkFails(context, place, pace, callService));
  }
  test(`bytes behind the terminal frame without end, ${pace}: the answer is whole, closed, bounded`, async context => {
    const opening = STREAM_OK + formatFrame('r.1', true);
    const place = {opening, filler: formatPiece(':\n\n')};
    const server = await startServer(context, place, pace);
    assert.equal(await readAnswer(createClient(context), server), '1 ');
    await ensureClosed(server);
    assert.ok(server.bytesRead <= MAX_READ_BYTES);
  });
}

describe('answers without end, as fast as they are read', () => {
  addTests('fast');
});

describe('answers without end, slowly', {concurrency: SLOW_CONCURRENCY}, () => {
  addTests('slow');
});
