import assert from 'node:assert/strict';
import {test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import {
  Announcement,
  ChatChunk,
  Configuration,
  EMPTY_CONFIGURATION,
  SycamoreheadError,
} from '@sycamorehead/schema';
import {BackendServerDirectory} from '@sycamorehead/membership';
import {RoutedRequest, Router} from '@sycamorehead/routing';
import type {AnswerSourceDependencies} from '../lib/answerTypes.js';
import type {EngineAttempt} from '../lib/BackendClient.js';
import type {FrameChecker} from '../lib/FrameChecker.js';
import {HedgedAttempt} from '../lib/HedgedAttempt.js';

const VERSION = {model: 'm', version: 'v1'};
const USUAL_FIRST_TOKEN_MS = 20;

/** Tokens of an engine with the time before each; it stalls after the last. */
type Script = readonly number[];

const ROUTED: RoutedRequest = {
  requestId: 'req-1',
  customer: {
    customer: 'a',
    keyHash: 'sha256:0',
    models: [{model: 'm', versions: 'any'}],
    services: [],
    weight: 1,
    limits: {requestsPerSecond: 100, tokensPerSecond: 1_000},
    qualityTarget: 0.5,
  },
  model: 'm',
  kind: 'proof',
  promptTokens: 10,
  prefixKey: 'p',
  deadlineAt: 10_000,
};

function announce(id: string): Announcement {
  return {
    id,
    address: `http://${id}`,
    dataCentre: 'dc-1',
    kind: 'engine',
    generation: 1,
    sequence: 1,
    state: 'ready',
    versions: [VERSION],
    slots: 4,
    fencing: 'checked',
  };
}

function buildConfiguration(state: 'active' | 'withdrawn'): Configuration {
  const version = {...VERSION, state, step: 0};
  return {
    ...EMPTY_CONFIGURATION,
    revision: 1,
    versions: {'m/v1': version},
    customers: {a: ROUTED.customer},
  } as unknown as Configuration;
}

/** Two engines with scripts; the first attempt runs on `slow`. */
class Bench {
  readonly directory = new BackendServerDirectory();
  readonly router = new Router({directory: this.directory});
  readonly started: string[] = [];
  readonly cancelled: string[] = [];
  configuration = buildConfiguration('active');

  constructor(private readonly scripts: Readonly<Record<string, Script>>) {
    for (const id of Object.keys(scripts)) {
      this.directory.receive(announce(id));
    }
    const {tracker, hedgeBudget: hedges} = this.router.context;
    hedges.refill(10_000);
    for (let sample = 0; sample < 20; sample++) {
      const attempt = tracker.begin(ROUTED, 'fast');
      attempt.lastFrameAt = undefined;
      Object.assign(attempt, {
        startedAt: performance.now() - USUAL_FIRST_TOKEN_MS,
      });
      tracker.recordFrame(attempt, 1);
      tracker.end(attempt);
    }
  }

  async run(total: number): Promise<{texts: string[]; hedged: HedgedAttempt}> {
    const slow = this.directory
      .listReady()
      .find(({announcement}) => announcement.id === 'slow')!;
    let number = 1;
    const hedged = new HedgedAttempt(
      this.buildParts(total),
      {
        routed: ROUTED,
        version: VERSION,
        server: slow,
        number,
        body: '',
        offset: 0,
        signal: new AbortController().signal,
      },
      {triedServers: new Set(['slow']), takeAttemptNumber: () => ++number},
    );
    const texts: string[] = [];
    for await (const {text} of hedged.stream()) texts.push(text);
    return {texts, hedged};
  }

  private buildParts(total: number): AnswerSourceDependencies {
    return {
      router: this.router,
      configuration: {get: () => this.configuration},
      backends: {
        streamChat: (attempt: EngineAttempt, checker: FrameChecker) =>
          this.stream(attempt, checker, total),
      },
    } as unknown as AnswerSourceDependencies;
  }

  private async *stream(
    attempt: EngineAttempt,
    checker: FrameChecker,
    total: number,
  ) {
    const id = attempt.address.replace('http://', '');
    this.started.push(id);
    let offset = attempt.resumeOffset;
    for (const waitMs of this.scripts[id] ?? []) {
      await this.sleep(attempt, id, waitMs);
      offset += 1;
      const frame = checker.check(
        buildChunk(attempt.attemptId, offset, offset === total),
      );
      if (frame) yield frame;
      if (offset === total) return;
    }
    await this.sleep(attempt, id, 1e6);
  }

  private sleep({signal}: EngineAttempt, id: string, ms: number) {
    return new Promise<void>((resolve, reject) => {
      const cancel = () => {
        clearTimeout(timer);
        this.cancelled.push(id);
        reject(new SycamoreheadError('backend_failed', 'aborted'));
      };
      const timer = setTimeout(() => {
        signal.removeEventListener('abort', cancel);
        resolve();
      }, ms);
      signal.addEventListener('abort', cancel);
    });
  }
}

function buildChunk(id: string, offset: number, isLast: boolean): ChatChunk {
  return {
    id,
    object: 'chat.completion.chunk',
    model: 'm/v1',
    offset,
    choices: [
      {
        index: 0,
        delta: {content: `${offset}`},
        finish_reason: isLast ? 'stop' : null,
      },
    ],
    ...(isLast && {usage: {prompt_tokens: 10, completion_tokens: offset}}),
  };
}

async function runBench(
  scripts: Readonly<Record<string, Script>>,
  check: (bench: Bench, texts: string[], ms: number) => void,
  prepare: (bench: Bench) => void = () => {},
): Promise<void> {
  const clock = FakeTimers.install();
  try {
    const bench = new Bench(scripts);
    prepare(bench);
    const startedAt = performance.now();
    let endedAt = startedAt;
    const done = bench.run(4).finally(() => {
      endedAt = performance.now();
    });
    await clock.tickAsync(20_000);
    const {texts} = await done;
    check(bench, texts, endedAt - startedAt);
    assert.equal(bench.router.context.tracker.listBusy().length, 0);
  } finally {
    clock.uninstall();
  }
}

test('a silent first attempt is overtaken and cancelled', () =>
  runBench({slow: [], fast: [10, 10, 10, 10]}, (bench, texts, ms) => {
    assert.deepEqual(texts, ['1', '2', '3', '4']);
    assert.deepEqual(bench.started, ['slow', 'fast']);
    assert.deepEqual(bench.cancelled, ['slow']);
    assert.ok(ms < 200, `${ms} ms`);
  }));

test('a stall mid-stream goes on from its offset, no frame twice', () =>
  runBench({slow: [10, 10], fast: [10, 10, 10]}, (bench, texts, ms) => {
    assert.deepEqual(texts, ['1', '2', '3', '4']);
    assert.deepEqual(bench.cancelled, ['slow']);
    assert.ok(ms < 400, `${ms} ms`);
  }));

test('the first attempt wins where it delivers first; the second is cancelled', () =>
  runBench({slow: [40, 10, 10, 10], fast: [900]}, (bench, texts) => {
    assert.deepEqual(texts, ['1', '2', '3', '4']);
    assert.deepEqual(bench.started, ['slow', 'fast']);
    assert.deepEqual(bench.cancelled, ['fast']);
  }));

test('no second attempt under overload', () =>
  runBench(
    {slow: [500, 10, 10, 10], fast: [10, 10, 10, 10]},
    bench => assert.deepEqual(bench.started, ['slow']),
    bench => bench.router.context.setOverloaded(true),
  ));

test('no second attempt on a version that was withdrawn meanwhile', () =>
  runBench(
    {slow: [500, 10, 10, 10], fast: [10, 10, 10, 10]},
    bench => assert.deepEqual(bench.started, ['slow']),
    bench => {
      bench.configuration = buildConfiguration('withdrawn');
    },
  ));
