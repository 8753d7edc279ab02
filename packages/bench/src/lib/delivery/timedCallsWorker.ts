/** Worker thread that makes timed calls and posts their result. */
import {parentPort, workerData} from 'node:worker_threads';
import {Agent, request} from 'undici';
import type {TimedCallJob, TimedCallResult} from './runTimedCalls.js';

const CONNECTIONS = 1_024;
const FRAME_START = Buffer.from('data: {');
const END_OF_STREAM = 'data: [DONE]';

const job = workerData as TimedCallJob;
const agent = new Agent({connections: CONNECTIONS});
const result = {
  answered: 0,
  failed: 0,
  tokens: 0,
  firstMs: [] as number[],
  gapMs: [] as number[],
  totalMs: [] as number[],
};

function countFrames(bytes: Buffer): number {
  let count = 0;
  let position = bytes.indexOf(FRAME_START);
  while (position >= 0) {
    count += 1;
    position = bytes.indexOf(FRAME_START, position + FRAME_START.length);
  }
  return count;
}

async function makeCall(index: number): Promise<void> {
  const startedAt = performance.now();
  const headers: Record<string, string> = {...job.headers};
  if (job.keyPrefix) headers['idempotency-key'] = `${job.keyPrefix}-${index}`;
  const {statusCode, body} = await request(job.url, {
    method: job.method,
    headers,
    body: job.body,
    dispatcher: agent,
  });
  let lastAt = 0;
  let tokens = 0;
  let tail = '';
  for await (const bytes of body as AsyncIterable<Buffer>) {
    const now = performance.now();
    if (lastAt === 0) result.firstMs.push(now - startedAt);
    else if (bytes.indexOf(FRAME_START) >= 0) result.gapMs.push(now - lastAt);
    lastAt = now;
    tokens += countFrames(bytes);
    tail = bytes.subarray(-32).toString();
  }
  result.totalMs.push(performance.now() - startedAt);
  const isComplete =
    statusCode === 200 && (!job.isStream || tail.includes(END_OF_STREAM));
  if (isComplete) result.answered += 1;
  else result.failed += 1;
  result.tokens += tokens;
}

async function runOpenLoop(times: readonly number[]): Promise<void> {
  const startedAt = performance.now();
  const calls = times.map(async (atMs, index) => {
    const waitMs = atMs - (performance.now() - startedAt);
    await new Promise(resolve => setTimeout(resolve, waitMs));
    await makeCall(index).catch(() => {
      result.failed += 1;
    });
  });
  await Promise.all(calls);
}

async function runClosedLoop(): Promise<void> {
  const endAt = performance.now() + job.durationMs;
  let index = 0;
  const callers = Array.from({length: job.concurrency ?? 1}, async () => {
    while (performance.now() < endAt) {
      index += 1;
      await makeCall(index).catch(() => {
        result.failed += 1;
      });
    }
  });
  await Promise.all(callers);
}

const startedAt = performance.now();
await (job.times ? runOpenLoop(job.times) : runClosedLoop());
const elapsedMs = performance.now() - startedAt;
await agent.destroy();
parentPort?.postMessage({...result, elapsedMs} satisfies TimedCallResult);
