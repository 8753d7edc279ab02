import assert from 'node:assert/strict';
import {test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import {
  ADMISSION_POLICIES,
  RoutedRequest,
  RoutingContext,
} from '@sycamorehead/routing';
import {EngineBatch, NO_FAULTS} from '@sycamorehead/stand-ins';

const SLOTS = 4;
const TOKEN_MS = 10;
const LONG_TOKENS = 200;
const SHORT_TOKENS = 8;

function buildRequest(kind: string, index: number): RoutedRequest {
  return {
    requestId: `${kind}-${index}`,
    customer: {
      customer: `customer-${index}`,
      keyHash: 'sha256:0',
      models: [{model: 'm', versions: 'any'}],
      services: [],
      weight: 1,
      limits: {requestsPerSecond: 1_000, tokensPerSecond: 1e6},
      qualityTarget: 0.5,
    },
    model: 'm',
    kind,
    promptTokens: 10,
    prefixKey: `${kind}-${index}`,
    deadlineAt: performance.now() + 60_000,
  };
}

function buildContext(): RoutingContext {
  const server = {
    lastSeenAt: performance.now(),
    announcement: {
      id: 'e1',
      address: 'http://127.0.0.1:1',
      dataCentre: 'dc-1',
      kind: 'engine' as const,
      generation: 1,
      sequence: 1,
      state: 'ready' as const,
      versions: [{model: 'm', version: 'v1'}],
      slots: SLOTS,
      fencing: 'checked' as const,
    },
  };
  const context = new RoutingContext('dc-1', () => [server]);
  for (let sample = 0; sample < 10; sample++) {
    context.estimator.record(buildRequest('short', 0), SHORT_TOKENS);
    context.estimator.record(buildRequest('short', 0), SHORT_TOKENS);
    context.estimator.record(buildRequest('long', 0), LONG_TOKENS);
    context.speeds.record('e1', TOKEN_MS);
  }
  return context;
}

/** Runs six long requests, then a short one; returns their identifiers in order of completion. */
async function runMixedRequests(ignoresPriority: boolean): Promise<string[]> {
  const clock = FakeTimers.install();
  try {
    const context = buildContext();
    const admission = ADMISSION_POLICIES.fair_work(context);
    const speed = {
      slots: SLOTS,
      stepMs: TOKEN_MS,
      stepMsPerJob: 0,
      prefillTokensPerMs: 100,
    };
    const engine = new EngineBatch(speed, {...NO_FAULTS, ignoresPriority});
    const completed: string[] = [];
    const serve = async (request: RoutedRequest, tokens: number) => {
      const ticket = await admission.admit(request);
      const attempt = context.tracker.begin(request, 'e1');
      await new Promise<void>(resolve =>
        engine.add({
          id: request.requestId,
          priority: attempt.isLong ? 10 : 0,
          prefillTokens: 10,
          totalTokens: tokens,
          generated: 0,
          onToken: ({generated}) => generated === tokens && resolve(),
        }),
      );
      context.tracker.end(attempt);
      ticket.release();
      completed.push(request.requestId);
    };
    for (let index = 1; index <= 6; index++) {
      void serve(buildRequest('long', index), LONG_TOKENS);
      await clock.tickAsync(1);
    }
    void serve(buildRequest('short', 7), SHORT_TOKENS);
    await clock.tickAsync(30_000);
    return completed;
  } finally {
    clock.uninstall();
  }
}

// Guards against long requests that take all slots: routing reserves some for short requests, so
// that these do not depend on the priorities of the engine.
for (const ignoresPriority of [false, true]) {
  test(`a short request overtakes long ones; engine ignores priorities: ${ignoresPriority}`, async () => {
    const ended = await runMixedRequests(ignoresPriority);
    assert.equal(ended[0], 'short-7');
    assert.equal(ended.length, 7, 'a long request did not complete');
  });
}
