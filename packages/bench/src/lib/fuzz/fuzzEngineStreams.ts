import fc from 'fast-check';
import {SycamoreheadError} from '@sycamorehead/schema';
import {BackendClient, FrameChecker} from '@sycamorehead/entry';
import {StandInServer} from '@sycamorehead/stand-ins';
import type {FuzzTarget} from './fuzzTypes.js';
import {mutateBytes} from './mutateBytes.js';

const TIMEOUTS = {
  connectMs: 500,
  firstByteMs: 1_000,
  betweenFramesMs: 500,
  serviceMs: 1_000,
};

function buildChunk(offset: number, finishReason: string | null): string {
  const chunk = {
    id: 'r',
    object: 'chat.completion.chunk',
    model: 'm/v1',
    offset,
    choices: [
      {index: 0, delta: {content: ' word'}, finish_reason: finishReason},
    ],
    ...(finishReason && {usage: {prompt_tokens: 1, completion_tokens: offset}}),
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

const COMPLETE_STREAM =
  buildChunk(1, null) +
  buildChunk(2, null) +
  buildChunk(3, 'stop') +
  'data: [DONE]\n\n';

async function readAttempt(
  client: BackendClient,
  address: string,
): Promise<void> {
  const frames = client.streamChat(
    {
      address,
      attemptId: 'r.1',
      body: '{}',
      resumeOffset: 0,
      priority: 0,
      signal: new AbortController().signal,
    },
    new FrameChecker('r.1', 0),
  );
  let lastFinishReason: string | null | undefined;
  try {
    for await (const frame of frames) lastFinishReason = frame.finishReason;
  } catch (error) {
    if (error instanceof SycamoreheadError && error.kind !== 'internal') return;
    throw error;
  }
  if (!lastFinishReason)
    throw new Error('the stream ended without an error or a finish reason');
}

/** Fuzzes streams of engines: an attempt must complete or fail with a listed error kind. @internal */
export const fuzzEngineStreams: FuzzTarget = async options => {
  let answer: Buffer = Buffer.alloc(0);
  const engine = new StandInServer((incoming, response) => {
    response.writeHead(200, {'content-type': 'text/event-stream'});
    response.end(answer);
  });
  const address = await engine.start();
  const client = new BackendClient(TIMEOUTS);
  try {
    await fc.assert(
      fc.asyncProperty(mutateBytes([COMPLETE_STREAM]), async bytes => {
        answer = bytes;
        await readAttempt(client, address);
      }),
      {
        seed: options.seed,
        numRuns: options.cases,
        interruptAfterTimeLimit: options.budgetMs,
      },
    );
  } finally {
    await client.stop();
    await engine.stop();
  }
};
