/** Body of the worker thread that makes timed calls. */
import {parentPort, workerData} from 'node:worker_threads';
import {Agent, request} from 'undici';
import type {TimedCallJob, TimedCallResult} from './runTimedCalls.js';

const CONNECTIONS = 1_024;
const MARK = Buffer.from('data: {');
const END = 'data: [DONE]';

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

function countMarks(bytes: Buffer): number {
  let count = 0;
  let at = bytes.indexOf(MARK);
  while (at >= 0) {
    count += 1;
    at = bytes.indexOf(MARK, at + MARK.length);
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
    else if (bytes.indexOf(MARK) >= 0) result.gapMs.push(now - lastAt);
    lastAt = now;
    tokens += countMarks(bytes);
    tail = bytes.subarray(-32).toString();
  }
  result.totalMs.push(performance.now() - startedAt);
  const isWhole = statusCode === 200 && (!job.isStream || tail.includes(END));
  if (isWhole) result.answered += 1;
  else result.failed += 1;
  result.tokens += tokens;
}

async function makeAtTimes(times: readonly number[]): Promise<void> {
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

async function makeClosedLoop(): Promise<void> {
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
await (job.times ? makeAtTimes(job.times) : makeClosedLoop());
const elapsedMs = performance.now() - startedAt;
await agent.destroy();
parentPort?.postMessage({...result, elapsedMs} satisfies TimedCallResult);
