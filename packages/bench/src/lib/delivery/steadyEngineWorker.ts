/**
 * Worker thread with an engine that does not batch: it sends the first token at once and each
 * further token after a fixed interval, so that its own variance does not disturb measurements of
 * the entry in front of it.
 */
import {parentPort, workerData} from 'node:worker_threads';
import type {ServerResponse} from 'node:http';
import {Announcer, StandInServer} from '@sycamorehead/stand-ins';
import type {SteadyEngineSettings} from './SteadyEngine.js';

const SLOTS = 10_000;

const {id, version, serverKey} = workerData as SteadyEngineSettings;
let announcer: Announcer | undefined;

interface SteadyRequest {
  readonly metadata: {
    readonly stand_in_tokens: string;
    readonly step_ms: string;
  };
}

const server = new StandInServer((request, response, body) => {
  const {metadata} = JSON.parse(body) as SteadyRequest;
  const attemptId = String(request.headers['x-request-id'] ?? 'direct');
  response.writeHead(200, {'content-type': 'text/event-stream'});
  sendTokens(
    response,
    attemptId,
    Number(metadata.stand_in_tokens),
    Number(metadata.step_ms),
  );
});

function sendTokens(
  response: ServerResponse,
  attemptId: string,
  tokens: number,
  stepMs: number,
): void {
  let offset = 0;
  const sendNext = () => {
    offset += 1;
    const isLast = offset >= tokens;
    response.write(formatToken(attemptId, offset, isLast));
    if (isLast) response.end('data: [DONE]\n\n');
    return isLast;
  };
  if (sendNext()) return;
  if (stepMs === 0) {
    while (!sendNext());
    return;
  }
  const timer = setInterval(() => {
    if (response.destroyed || sendNext()) clearInterval(timer);
  }, stepMs);
}

function formatToken(
  attemptId: string,
  offset: number,
  isLast: boolean,
): string {
  const usage = {prompt_tokens: 4, completion_tokens: offset};
  const chunk = {
    id: attemptId,
    object: 'chat.completion.chunk',
    model: 'm/v1',
    offset,
    choices: [
      {
        index: 0,
        delta: {content: ' silver'},
        finish_reason: isLast ? 'stop' : null,
      },
    ],
    ...(isLast && {usage}),
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

parentPort?.on('message', (entries: readonly string[]) => {
  announcer = new Announcer({
    entries,
    serverKey,
    source: () => ({
      id,
      address,
      dataCentre: 'dc-1',
      kind: 'engine',
      versions: [version],
      slots: SLOTS,
      fencing: 'ignored',
    }),
  });
  void announcer.start();
});
const address = await server.start();
parentPort?.postMessage(address);
