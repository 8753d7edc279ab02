import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {DeliveryHarness} from './DeliveryHarness.js';
import {
  EngineScript,
  ScriptedEngine,
  ANSWER_TOKENS,
  ANSWER_TEXT,
  answerRemainder,
  answerRemainderAndEndLate,
  writeFrame,
  writeTokens,
} from './ScriptedEngine.js';
import type {ChatCall} from './TestCaller.js';

let harness: DeliveryHarness;

before(async () => {
  harness = await new DeliveryHarness({entries: 2}).start();
});

after(() => harness.stop());

function runWithEngine(
  scripts: readonly EngineScript[],
  run: (engine: ScriptedEngine, id: string) => Promise<void>,
): Promise<void> {
  return harness.runWithEngine(scripts, run);
}

/** Sends a chat request and returns its result and its bills. */
async function sendAndReadBills(call: ChatCall = {}) {
  const result = await harness.callers[0]!.sendChat(call);
  const requestId = String(result.headers['sycamorehead-request-id']);
  const allBills = await harness.control.listBills();
  return {result, bills: allBills.filter(bill => bill.requestId === requestId)};
}

interface FaultCase {
  readonly title: string;
  readonly scripts: readonly EngineScript[];
  readonly resumedFrom: readonly number[];
}

/** Faults in the stream of an engine, and the offset at which each attempt must resume. */
const FAULT_CASES: readonly FaultCase[] = [
  {
    title: 'resets mid-stream',
    scripts: [
      (run, response) => {
        writeTokens(response, run, 0, 3, ANSWER_TOKENS);
        setTimeout(() => response.destroy(), 20);
      },
      answerRemainder,
    ],
    resumedFrom: [0, 3],
  },
  {
    title: 'ends without its terminal frame',
    scripts: [
      (run, response) => {
        writeTokens(response, run, 0, 4, ANSWER_TOKENS);
        response.end('data: [DONE]\n\n');
      },
      answerRemainder,
    ],
    resumedFrom: [0, 4],
  },
  {
    title: 'goes silent mid-stream with its connection open',
    scripts: [
      (run, response) => writeTokens(response, run, 0, 2, ANSWER_TOKENS),
      answerRemainder,
    ],
    resumedFrom: [0, 2],
  },
  {
    title: 'repeats tokens on resume',
    scripts: [
      (run, response) => {
        writeTokens(response, run, 0, 3, ANSWER_TOKENS);
        response.end();
      },
      (run, response) => {
        writeTokens(response, run, 0, ANSWER_TOKENS);
        response.end();
      },
    ],
    resumedFrom: [0, 3],
  },
  {
    title: 'skips tokens on resume',
    scripts: [
      (run, response) => {
        writeTokens(response, run, 0, 3, ANSWER_TOKENS);
        response.end();
      },
      (run, response) => writeTokens(response, run, 4, ANSWER_TOKENS),
      answerRemainder,
    ],
    resumedFrom: [0, 3, 3],
  },
  {
    title: 'does not number its frames after a resume',
    scripts: [
      (run, response) => {
        writeTokens(response, run, 0, 1, ANSWER_TOKENS);
        response.end();
      },
      (run, response) => writeFrame(response, run, {text: '2 '}),
      answerRemainder,
    ],
    resumedFrom: [0, 1, 1],
  },
  {
    title: 'answers twice',
    scripts: [
      (run, response) => {
        writeTokens(response, run, 0, ANSWER_TOKENS);
        writeTokens(response, run, 0, ANSWER_TOKENS);
        response.end();
      },
    ],
    resumedFrom: [0],
  },
  {
    title:
      'sends late frames of the previous attempt in the stream of the new one',
    scripts: [
      (run, response) => {
        writeTokens(response, run, 0, 2, ANSWER_TOKENS);
        response.end();
      },
      (run, response) => {
        const old = {...run, attemptId: run.attemptId.replace(/2$/, '1')};
        writeTokens(response, old, 2, ANSWER_TOKENS);
        writeTokens(response, run, 2, ANSWER_TOKENS);
        response.end();
      },
    ],
    resumedFrom: [0, 2],
  },
  {
    title: 'sends several tokens in a frame',
    scripts: [
      (run, response) => {
        writeFrame(response, run, {text: '1 2 3 ', offset: 3, tokens: 3});
        response.end();
      },
      answerRemainder,
    ],
    resumedFrom: [0, 3],
  },
];

for (const fault of FAULT_CASES) {
  for (const stream of [true, false]) {
    const form = stream ? 'streamed' : 'non-streamed';
    test(`engine ${fault.title}: ${form} answer is complete and billed once`, () =>
      runWithEngine(fault.scripts, async engine => {
        const {result, bills} = await sendAndReadBills({stream});
        assert.equal(result.text, ANSWER_TEXT);
        assert.equal(result.isComplete, true);
        assert.deepEqual(
          engine.runs.map(({resumeOffset}) => resumeOffset),
          fault.resumedFrom,
        );
        assert.equal(
          new Set(engine.runs.map(run => run.attemptId)).size,
          engine.runs.length,
        );
        assert.equal(bills.length, 1);
        assert.equal(bills[0]?.usage?.completion_tokens, ANSWER_TOKENS);
      }));
  }
}

test('engine never completes its answer: incomplete_answer error, no bill', () =>
  runWithEngine(
    [
      (run, response) => {
        writeTokens(response, run, 0, 2, ANSWER_TOKENS);
        response.end();
      },
      (run, response) => void response.end(),
    ],
    async engine => {
      const {result, bills} = await sendAndReadBills();
      assert.deepEqual(
        [result.isComplete, result.kind, result.ran],
        [false, 'incomplete_answer', 'unknown'],
      );
      assert.equal(result.text, '1 2 ', 'tokens were repeated or lost');
      assert.equal(engine.runs.length, 4);
      assert.equal(bills.length, 0);
    },
  ));

test('engine sends an invalid chunk: the answer is resumed and the entry keeps running', () =>
  runWithEngine(
    [
      (run, response) => {
        writeTokens(response, run, 0, 2, ANSWER_TOKENS);
        response.write('data: {"choices":7}\n\n');
      },
      answerRemainder,
    ],
    async () => {
      const {result, bills} = await sendAndReadBills();
      assert.deepEqual([result.text, result.isComplete], [ANSWER_TEXT, true]);
      assert.equal(bills.length, 1);
    },
  ));

for (const [form, script] of [
  ['at once', answerRemainder],
  ['late', answerRemainderAndEndLate],
] as const) {
  test(`connections whose stream ends ${form} are reused`, () =>
    runWithEngine([script], async engine => {
      for (const stream of [true, false, true, false]) {
        const {result} = await sendAndReadBills({stream});
        assert.equal(result.text, ANSWER_TEXT);
        // The connection can be reused after the engine ends its stream.
        await new Promise(resolve => setTimeout(resolve, 50));
      }
      assert.equal(new Set(engine.runs.map(({port}) => port)).size, 1);
    }));
}

test('a silent connection does not block other requests to its engine', () =>
  runWithEngine(
    [
      () => new Promise<void>(() => {}),
      // Answers on new connections while the first one is silent.
      answerRemainder,
    ],
    async engine => {
      const silent = harness.callers[0]!.sendChat();
      await harness.waitFor(() => engine.runs.length === 1);
      const others = await Promise.all(
        [1, 2, 3].map(() => harness.callers[0]!.sendChat()),
      );
      assert.deepEqual(
        others.map(({text}) => text),
        [ANSWER_TEXT, ANSWER_TEXT, ANSWER_TEXT],
      );
      assert.equal(
        engine.runs[0]?.isClosed,
        false,
        'the other requests waited for the silent one',
      );
      assert.equal((await silent).text, ANSWER_TEXT);
      await harness.waitFor(() => engine.runs[0]!.isClosed);
    },
  ));

test('caller disconnects: the engine is cancelled and the delivered tokens are billed once', () =>
  runWithEngine(
    [(run, response) => writeTokens(response, run, 0, 3, ANSWER_TOKENS)],
    async (engine, id) => {
      const {result} = await sendAndReadBills({disconnectAfterFrames: 3});
      assert.equal(result.isComplete, false);
      const requestId = String(result.headers['sycamorehead-request-id']);
      const findBills = async () =>
        (await harness.control.listBills()).filter(
          bill => bill.requestId === requestId,
        );
      await harness.waitFor(async () => (await findBills()).length === 1);
      await harness.waitFor(() => engine.runs[0]!.isClosed);
      assert.equal(
        engine.runs.length,
        1,
        'the answer was resumed after its caller disconnected',
      );
      assert.equal((await findBills())[0]?.usage?.completion_tokens, 3);
      assert.equal(harness.entries[0]?.router.context.inFlight.count(id), 0);
    },
  ));

test('slow caller: a bounded amount of the answer is read, then the engine is cancelled', () =>
  runWithEngine(
    [
      async (run, response) => {
        const text = 'x'.repeat(16_384);
        for (let offset = 1; !run.isClosed && offset < 10_000; offset++) {
          writeFrame(response, run, {text, offset});
          if (!response.writableNeedDrain) continue;
          await new Promise<void>(resolve => {
            response.once('drain', resolve);
            response.once('close', resolve);
          });
        }
      },
    ],
    async engine => {
      const {request} = await import('node:http');
      const call = request(`${harness.callers[0]!.url}/v1/chat/completions`, {
        method: 'POST',
        headers: {authorization: 'Bearer customer-key'},
      });
      call.on('response', response => response.pause());
      call.on('error', () => {});
      call.end(
        JSON.stringify({
          model: 'auto',
          stream: true,
          messages: [{role: 'user', content: 'long'}],
        }),
      );
      await harness.waitFor(() => engine.runs.length === 1);
      await harness.waitFor(() => engine.runs[0]!.isClosed);
      assert.equal(engine.runs.length, 1);
      call.destroy();
    },
  ));

test('total deadline: the caller gets an error and the engine is cancelled', async () => {
  const options = {
    entries: 1,
    entryOptions: {
      timeouts: {answerMs: 150, callerStallMs: 1_000, commitWaitMs: 300},
    },
  };
  const ownHarness = await new DeliveryHarness(options).start();
  const engine = new ScriptedEngine([
    (run, response) => writeTokens(response, run, 0, 2, ANSWER_TOKENS),
  ]);
  ownHarness.announceEngine('slow', await engine.start());
  const result = await ownHarness.callers[0]!.sendChat();
  assert.deepEqual([result.kind, result.ran], ['deadline_exceeded', 'unknown']);
  assert.equal(result.text, '1 2 ');
  await ownHarness.waitFor(() => engine.runs[0]!.isClosed);
  assert.equal((await ownHarness.control.listBills()).length, 0);
  await ownHarness.stop();
  await engine.stop();
});

for (const outage of ['unseen', 'result_lost'] as const) {
  test(`quorum lost (${outage}) before the bill: the caller gets bill_pending, billed once`, () =>
    runWithEngine([answerRemainder], async () => {
      const [faults] = harness.faults;
      faults!.outage = outage;
      const {result} = await sendAndReadBills();
      assert.deepEqual(
        [result.isComplete, result.kind, result.ran],
        [false, 'bill_pending', 'yes'],
      );
      faults!.outage = 'none';
      const requestId = String(result.headers['sycamorehead-request-id']);
      const countBills = async () =>
        (await harness.listBilledKeys()).filter(key => key.endsWith(requestId))
          .length;
      await harness.waitFor(async () => (await countBills()) === 1);
    }));
}
