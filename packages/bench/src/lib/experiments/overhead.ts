import type {
  Experiment,
  ExperimentOptions,
  ExperimentResult,
} from '../experimentTypes.js';
import {computeMean, computeQuantile} from '../load/computeStatistics.js';
import {SeededRandom} from '../load/arrivals.js';
import {
  OVERHEAD_CUSTOMER_KEY,
  OverheadFleet,
} from '../delivery/OverheadFleet.js';
import {
  TimedCallJob,
  TimedCallResult,
  runTimedCalls,
} from '../delivery/runTimedCalls.js';

/** Load of the latency runs: half of the short requests per second that one entry must serve. */
const HALF_LOAD_PER_SECOND = 500;
const LATENCY_RUN_MS = 6_000;
const WARM_UP_MS = 1_500;
const SATURATION_RUN_MS = 5_000;
const DEPOSITS_PER_SECOND = 50;
const SHORT_TOKENS = 8;
const LONG_TOKENS = 200;
const STEP_MS = 5;
const SHORT_CALLERS = 64;
const LONG_CALLERS = 200;
const MAX_FIRST_P50_MS = 2;
const MAX_FIRST_P99_MS = 10;
const MIN_REQUESTS_PER_SECOND = 1_000;
const MIN_TOKENS_PER_SECOND = 20_000;
const MS_PER_SECOND = 1_000;

const AUTHORIZATION = {authorization: `Bearer ${OVERHEAD_CUSTOMER_KEY}`};

function buildChatJob(
  baseUrl: string,
  tokens: number,
  stepMs: number,
): Omit<TimedCallJob, 'durationMs'> {
  return {
    url: `${baseUrl}/v1/chat/completions`,
    method: 'POST',
    headers: AUTHORIZATION,
    isStream: true,
    body: JSON.stringify({
      model: 'm',
      stream: true,
      messages: [{role: 'user', content: 'A short proof'}],
      metadata: {stand_in_tokens: String(tokens), step_ms: String(stepMs)},
    }),
  };
}

function sampleArrivalTimes(
  seed: number,
  perSecond: number,
  durationMs: number,
) {
  const random = new SeededRandom(seed);
  const times: number[] = [];
  let atMs = 0;
  for (;;) {
    atMs += random.sampleExponential(MS_PER_SECOND / perSecond);
    if (atMs >= durationMs) return times;
    times.push(atMs);
  }
}

function describeLatency(result: TimedCallResult) {
  return {
    answered: result.answered,
    failed: result.failed,
    firstTokenP50Ms: computeQuantile(result.firstMs, 0.5),
    firstTokenP99Ms: computeQuantile(result.firstMs, 0.99),
    betweenTokensMeanMs: computeMean(result.gapMs),
    betweenTokensP50Ms: computeQuantile(result.gapMs, 0.5),
    betweenTokensP99Ms: computeQuantile(result.gapMs, 0.99),
  };
}

async function measureLatency(baseUrl: string, seed: number) {
  const job = buildChatJob(baseUrl, SHORT_TOKENS, STEP_MS);
  const run = (durationMs: number) =>
    runTimedCalls({
      ...job,
      durationMs,
      times: sampleArrivalTimes(seed, HALF_LOAD_PER_SECOND, durationMs),
    });
  await run(WARM_UP_MS);
  return describeLatency(await run(LATENCY_RUN_MS));
}

async function measureRates(baseUrl: string) {
  const short = await runTimedCalls({
    ...buildChatJob(baseUrl, SHORT_TOKENS, 0),
    concurrency: SHORT_CALLERS,
    durationMs: SATURATION_RUN_MS,
  });
  const long = await runTimedCalls({
    ...buildChatJob(baseUrl, LONG_TOKENS, STEP_MS),
    concurrency: LONG_CALLERS,
    durationMs: SATURATION_RUN_MS,
  });
  return {
    requestsPerSecond: (short.answered * MS_PER_SECOND) / short.elapsedMs,
    tokensPerSecond: (long.tokens * MS_PER_SECOND) / long.elapsedMs,
    failed: short.failed + long.failed,
  };
}

async function measureServiceCalls(fleet: OverheadFleet, seed: number) {
  const run = async (url: string, method: 'GET' | 'POST', prefix?: string) => {
    const {totalMs, failed} = await runTimedCalls({
      url,
      method,
      headers: AUTHORIZATION,
      isStream: false,
      body: method === 'POST' ? '{"amount":1}' : undefined,
      keyPrefix: prefix,
      times: sampleArrivalTimes(seed, DEPOSITS_PER_SECOND, SATURATION_RUN_MS),
      durationMs: SATURATION_RUN_MS,
    });
    return {
      p50Ms: computeQuantile(totalMs, 0.5),
      p99Ms: computeQuantile(totalMs, 0.99),
      failed,
    };
  };
  const services = `${fleet.entryUrl}/services/orders`;
  return {
    directDeposit: await run(`${fleet.serviceUrl}/deposits`, 'POST', 'direct'),
    readThroughEntry: await run(`${services}/orders/7`, 'GET'),
    depositThroughEntry: await run(`${services}/deposits`, 'POST', 'entry'),
  };
}

async function run({seed}: ExperimentOptions): Promise<ExperimentResult> {
  const fleet = new OverheadFleet();
  await fleet.start();
  try {
    const direct = await measureLatency(fleet.engineUrl, seed);
    const entry = await measureLatency(fleet.entryUrl, seed);
    const services = await measureServiceCalls(fleet, seed);
    const directRates = await measureRates(fleet.engineUrl);
    const rates = await measureRates(fleet.entryUrl);
    const addedP50 = entry.firstTokenP50Ms - direct.firstTokenP50Ms;
    const addedP99 = entry.firstTokenP99Ms - direct.firstTokenP99Ms;
    const failed = entry.failed + rates.failed;
    return {
      experiment: 'overhead',
      seed,
      baseline: {...direct, ...directRates, deposit: services.directDeposit},
      candidate: {
        ...entry,
        ...rates,
        failed,
        addedPerTokenMs: entry.betweenTokensMeanMs - direct.betweenTokensMeanMs,
        read: services.readThroughEntry,
        deposit: services.depositThroughEntry,
        // A read commits only its bill, a deposit also its intent, so the difference is the cost of
        // the intent.
        intentCommitP50Ms:
          services.depositThroughEntry.p50Ms - services.readThroughEntry.p50Ms,
      },
      targets: [
        {
          name: 'added time to first token, p50',
          target: `at most ${MAX_FIRST_P50_MS} ms at ${HALF_LOAD_PER_SECOND} requests/s`,
          value: addedP50,
          met: addedP50 <= MAX_FIRST_P50_MS,
        },
        {
          name: 'added time to first token, p99',
          target: `at most ${MAX_FIRST_P99_MS} ms at ${HALF_LOAD_PER_SECOND} requests/s`,
          value: addedP99,
          met: addedP99 <= MAX_FIRST_P99_MS,
        },
        {
          name: 'short requests a second for one entry',
          target: `at least ${MIN_REQUESTS_PER_SECOND}`,
          value: rates.requestsPerSecond,
          met: rates.requestsPerSecond >= MIN_REQUESTS_PER_SECOND,
        },
        {
          name: 'tokens a second for one entry',
          target: `at least ${MIN_TOKENS_PER_SECOND}`,
          value: rates.tokensPerSecond,
          met: rates.tokensPerSecond >= MIN_TOKENS_PER_SECOND,
        },
        {
          name: 'requests that failed',
          target: '0',
          value: failed,
          met: failed === 0,
        },
      ],
    };
  } finally {
    await fleet.stop();
  }
}

/** Measures the latency that one entry adds to an answer, and its throughput. @public */
export const overhead: Experiment = {
  summary:
    'added time to first token and per token, requests and tokens per second, cost of the intent commit',
  run,
};
