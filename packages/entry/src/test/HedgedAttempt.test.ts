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

/**
 * Delays before each token of an engine, in milliseconds. The engine stalls after the last token.
 */
type TokenDelays = readonly number[];

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

/** Two engines with given token delays; the first attempt runs on `slow`. */
class HedgingScenario {
  readonly directory = new BackendServerDirectory();
  readonly router = new Router({directory: this.directory});
  readonly started: string[] = [];
  readonly cancelled: string[] = [];
  configuration = buildConfiguration('active');

  constructor(
    private readonly tokenDelays: Readonly<Record<string, TokenDelays>>,
  ) {
    for (const id of Object.keys(tokenDelays)) {
      this.directory.receive(announce(id));
    }
    const {tracker, hedgeBudget} = this.router.context;
    hedgeBudget.refill(10_000);
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
      this.buildDependencies(total),
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

  private buildDependencies(total: number): AnswerSourceDependencies {
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
    for (const waitMs of this.tokenDelays[id] ?? []) {
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

async function runScenario(
  tokenDelays: Readonly<Record<string, TokenDelays>>,
  check: (scenario: HedgingScenario, texts: string[], ms: number) => void,
  prepare: (scenario: HedgingScenario) => void = () => {},
): Promise<void> {
  const clock = FakeTimers.install();
  try {
    const scenario = new HedgingScenario(tokenDelays);
    prepare(scenario);
    const startedAt = performance.now();
    let endedAt = startedAt;
    const done = scenario.run(4).finally(() => {
      endedAt = performance.now();
    });
    await clock.tickAsync(20_000);
    const {texts} = await done;
    check(scenario, texts, endedAt - startedAt);
    assert.equal(scenario.router.context.tracker.listBusy().length, 0);
  } finally {
    clock.uninstall();
  }
}

test('a silent first attempt is overtaken and cancelled', () =>
  runScenario({slow: [], fast: [10, 10, 10, 10]}, (scenario, texts, ms) => {
    assert.deepEqual(texts, ['1', '2', '3', '4']);
    assert.deepEqual(scenario.started, ['slow', 'fast']);
    assert.deepEqual(scenario.cancelled, ['slow']);
    assert.ok(ms < 200, `${ms} ms`);
  }));

test('a stalled stream is continued from its offset without repeated frames', () =>
  runScenario({slow: [10, 10], fast: [10, 10, 10]}, (scenario, texts, ms) => {
    assert.deepEqual(texts, ['1', '2', '3', '4']);
    assert.deepEqual(scenario.cancelled, ['slow']);
    assert.ok(ms < 400, `${ms} ms`);
  }));

test('the first attempt wins if it delivers first, and the second is cancelled', () =>
  runScenario({slow: [40, 10, 10, 10], fast: [900]}, (scenario, texts) => {
    assert.deepEqual(texts, ['1', '2', '3', '4']);
    assert.deepEqual(scenario.started, ['slow', 'fast']);
    assert.deepEqual(scenario.cancelled, ['fast']);
  }));

test('no second attempt is started under overload', () =>
  runScenario(
    {slow: [500, 10, 10, 10], fast: [10, 10, 10, 10]},
    scenario => assert.deepEqual(scenario.started, ['slow']),
    scenario => scenario.router.context.setOverloaded(true),
  ));

test('no second attempt is started on a version that was withdrawn in the meantime', () =>
  runScenario(
    {slow: [500, 10, 10, 10], fast: [10, 10, 10, 10]},
    scenario => assert.deepEqual(scenario.started, ['slow']),
    scenario => {
      scenario.configuration = buildConfiguration('withdrawn');
    },
  ));
