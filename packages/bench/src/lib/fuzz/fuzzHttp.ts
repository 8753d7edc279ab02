import {connect} from 'node:net';
import fc from 'fast-check';
import {isErrorKind} from '@sycamorehead/schema';
import {Demo} from '../Demo.js';
import type {FuzzTarget} from './fuzzTypes.js';
import {mutateBytes} from './mutateBytes.js';

/** Time within which the entry must respond or close the connection. */
const ANSWER_TIMEOUT_MS = 5_000;

function buildRequest(
  requestLine: string,
  key: string,
  body: string,
  extraHeaders = '',
): string {
  return (
    `${requestLine} HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n` +
    `Authorization: Bearer ${key}\r\n${extraHeaders}Content-Type: application/json\r\n` +
    `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
  );
}

function buildRequests(demo: Demo): string[] {
  const {customerKey, serverKey} = demo.keys;
  const chat = JSON.stringify({
    model: 'auto',
    max_tokens: 2,
    messages: [{role: 'user', content: 'x'}],
    metadata: {kind: 'proof'},
  });
  const announcement = JSON.stringify({
    id: 'engine-9',
    address: 'http://127.0.0.1:9',
    dataCentre: 'dc-1',
    kind: 'service',
    service: 'nothing',
    generation: 1,
    sequence: 1,
    state: 'ready',
    slots: 1,
    fencing: 'ignored',
  });
  return [
    buildRequest('POST /v1/chat/completions', customerKey, chat),
    buildRequest(
      'POST /services/orders/deposits',
      customerKey,
      '{}',
      'Idempotency-Key: f1\r\n',
    ),
    buildRequest('PUT /v1/backend-servers/engine-9', serverKey, announcement),
    buildRequest('GET /metrics', customerKey, ''),
  ];
}

/** Sends raw bytes and returns everything received until the connection was closed. */
function sendBytes(port: number, bytes: Buffer): Promise<string> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    const socket = connect({host: '127.0.0.1', port});
    const timer = setTimeout(() => {
      socket.destroy();
      reject(new Error(`connection still open after ${ANSWER_TIMEOUT_MS} ms`));
    }, ANSWER_TIMEOUT_MS);
    socket.on('data', chunk => chunks.push(chunk));
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(Buffer.concat(chunks).toString('utf8'));
    });
    // Half-closing the connection tells the server that an incomplete request stays incomplete.
    socket.end(bytes);
  });
}

/**
 * Throws unless the answer is empty (connection closed without a response), a success, or an error
 * of a listed kind.
 */
function checkAnswer(answer: string): void {
  if (answer === '') return;
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(answer)?.[1]);
  if (!status) throw new Error(`not an HTTP response: ${answer.slice(0, 80)}`);
  if (status < 400) return;
  const kind = /"kind":"([a-z_]+)"/.exec(answer)?.[1];
  if (kind && isErrorKind(kind) && kind !== 'internal') return;
  // Node's HTTP parser itself responds to bytes that are not HTTP, without a body.
  const isParserAnswer =
    /\r\n\r\n$/.test(answer) && [400, 408, 431].includes(status);
  if (isParserAnswer) return;
  throw new Error(
    `response without a listed error kind: ${answer.slice(0, 300)}`,
  );
}

/** Fuzzes request lines, headers and bodies of requests to an entry. @internal */
export const fuzzHttp: FuzzTarget = async ({seed, cases, budgetMs}) => {
  const demo = new Demo();
  await demo.start();
  const port = Number(new URL(demo.entryUrls[0] ?? '').port);
  try {
    await fc.assert(
      fc.asyncProperty(mutateBytes(buildRequests(demo)), async bytes => {
        checkAnswer(await sendBytes(port, bytes));
      }),
      {seed, numRuns: cases, interruptAfterTimeLimit: budgetMs},
    );
  } finally {
    await demo.stop();
  }
};
