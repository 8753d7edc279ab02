import {hashKey, parseReleaseNote} from '@sycamorehead/schema';
import type {Arrival, WorkKind} from '../load/arrivals.js';
import {Fleet} from '../load/Fleet.js';
import {runLoad} from '../load/runLoad.js';
import {readMemoryBytes, readProcessorMs} from './readUsage.js';
import {Slope, SlopePoint, computeSlope} from './slopeTypes.js';

const KEY = 'slopes-key';
const REQUEST_COUNTS = [400, 800, 1_600];
const TOKEN_COUNTS = [1, 32, 64, 128];
const REQUESTS_FOR_TOKENS = 200;
const STREAM_COUNTS = [50, 100, 200, 400];
const ARRIVAL_INTERVAL_MS = 2;
/** Length of an open stream; so large that every stream is still open when memory is read. */
const OPEN_STREAM_TOKENS = 1_000_000;
const SETTLE_MS = 1_500;
const STEP_MS = 5;
/**
 * Time between the tokens of an open stream; long, so that the measured memory is that of the
 * streams, not of their tokens.
 */
const OPEN_STREAM_STEP_MS = 500;

const NOTE = parseReleaseNote(`
number: 1
follows: 0
add:
  versions:
    - {model: m, version: v1, inputPrice: 1, outputPrice: 1, contextTokens: 8192, qualityPrior: 0.9}
  customers:
    - customer: a
      keyHash: ${hashKey(KEY)}
      models: [{model: m, versions: any}]
      limits: {requestsPerSecond: 100000, tokensPerSecond: 10000000}
      qualityTarget: 0.5
`);

const KIND: WorkKind = {
  kind: 'slope',
  weight: 1,
  promptTokens: 10,
  outputTokens: 1,
  sigma: 0,
  deadlineMs: 60_000,
};

function createFleet(stepMs: number): Fleet {
  return new Fleet({
    note: NOTE,
    entries: 1,
    engines: 1,
    engineSpeed: {
      slots: 2_000,
      stepMs,
      stepMsPerJob: 0,
      prefillTokensPerMs: 1_000,
    },
  });
}

function buildArrivals(count: number, outputTokens: number): Arrival[] {
  return Array.from({length: count}, (unused, index) => ({
    index,
    atMs: index * ARRIVAL_INTERVAL_MS,
    customer: 'a',
    kind: KIND,
    promptTokens: KIND.promptTokens,
    outputTokens,
  }));
}

async function measureLoad(
  url: string,
  model: string,
  arrivals: readonly Arrival[],
): Promise<number> {
  const before = readProcessorMs();
  const records = await runLoad(
    {entryUrls: [url], getKey: () => KEY, model},
    arrivals,
  );
  const usedMs = readProcessorMs() - before;
  const failed = records.filter(({outcome}) => outcome !== 'ok');
  if (failed.length > 0) {
    throw new Error(
      `${failed.length} requests failed, the first with ${failed[0]?.outcome}`,
    );
  }
  return usedMs;
}

/** Returns the processor time of a load through the entry minus that of a load sent directly. */
async function measureAddedMs(
  fleet: Fleet,
  arrivals: readonly Arrival[],
): Promise<number> {
  const direct = await measureLoad(
    fleet.engines[0]?.address ?? '',
    'm/v1',
    arrivals,
  );
  const routed = await measureLoad(fleet.entryUrls[0] ?? '', 'm', arrivals);
  return routed - direct;
}

async function measureOpenStreams(): Promise<SlopePoint[]> {
  const fleet = createFleet(OPEN_STREAM_STEP_MS);
  await fleet.start();
  const points: SlopePoint[] = [];
  for (const count of STREAM_COUNTS) {
    const routedStreams = await openStreams(
      fleet.entryUrls[0] ?? '',
      'm',
      count,
    );
    const routedBytes = readMemoryBytes();
    routedStreams.abort();
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    const address = fleet.engines[0]?.address ?? '';
    const directStreams = await openStreams(address, 'm/v1', count);
    const value = routedBytes - readMemoryBytes();
    directStreams.abort();
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    points.push({size: count, value});
  }
  await fleet.stop();
  return points;
}

async function openStreams(
  url: string,
  model: string,
  count: number,
): Promise<AbortController> {
  const aborter = new AbortController();
  for (let index = 0; index < count; index++) {
    void fetch(`${url}/v1/chat/completions`, {
      method: 'POST',
      signal: aborter.signal,
      headers: {
        authorization: `Bearer ${KEY}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({
        model,
        stream: true,
        messages: [{role: 'user', content: `stream ${index}`}],
        metadata: {stand_in_tokens: String(OPEN_STREAM_TOKENS)},
      }),
    })
      .then(async answer => {
        for await (const unused of answer.body ?? []) void unused;
      })
      .catch(() => {});
  }
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  return aborter;
}

/**
 * Measures the cost of a request, a token and an open stream on an entry.
 *
 * @example
 * ```ts
 * const slopes = await measureEntrySlopes();
 * ```
 * @internal
 */
export async function measureEntrySlopes(): Promise<Slope[]> {
  const streams = await measureOpenStreams();
  const fleet = createFleet(STEP_MS);
  await fleet.start();
  try {
    // A warm-up run, whose result is ignored, absorbs the cost of JIT compilation.
    await measureAddedMs(fleet, buildArrivals(REQUEST_COUNTS[0] ?? 0, 8));
    const requests: SlopePoint[] = [];
    for (const size of REQUEST_COUNTS) {
      requests.push({
        size,
        value: await measureAddedMs(fleet, buildArrivals(size, 1)),
      });
    }
    const tokens: SlopePoint[] = [];
    for (const count of TOKEN_COUNTS) {
      const arrivals = buildArrivals(REQUESTS_FOR_TOKENS, count);
      tokens.push({
        size: count * REQUESTS_FOR_TOKENS,
        value: await measureAddedMs(fleet, arrivals),
      });
    }
    return [
      computeSlope('entry.requestProcessor', 'ms a request', requests),
      computeSlope('entry.tokenProcessor', 'ms a token', tokens),
      computeSlope('entry.streamMemory', 'bytes an open stream', streams),
    ];
  } finally {
    await fleet.stop();
  }
}
