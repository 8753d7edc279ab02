import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {DeliveryHarness, buildFirstNote} from './DeliveryHarness.js';
import {
  ScriptedEngine,
  ANSWER_TOKENS,
  ANSWER_TEXT,
  answerRemainder,
  writeTokens,
} from './ScriptedEngine.js';

let harness: DeliveryHarness;

before(async () => {
  harness = await new DeliveryHarness({entries: 2}).start();
});

after(() => harness.stop());

function withdrawV2(ownHarness: DeliveryHarness): Promise<void> {
  const versions = [{model: 'm', version: 'v2'}];
  return ownHarness.publish({
    withdraw: {versions, customers: [], services: []},
  });
}

test('version withdrawn before the first frame: the next attempt uses another version', async () => {
  const ownHarness = await new DeliveryHarness({entries: 1}).start();
  const engine = new ScriptedEngine([
    async (run, response) => {
      await withdrawV2(ownHarness);
      response.destroy();
    },
    answerRemainder,
  ]);
  ownHarness.announceEngine('e', await engine.start());
  const result = await ownHarness.callers[0]!.sendChat({session: 's'});
  assert.equal(result.text, ANSWER_TEXT);
  assert.deepEqual(
    engine.runs.map(({model}) => model),
    ['m/v2', 'm/v1'],
  );
  assert.equal(result.headers['sycamorehead-version'], 'v1');
  assert.equal(result.headers['sycamorehead-session-ended-version'], 'm/v2');
  assert.equal((await ownHarness.control.listBills())[0]?.item, 'm/v1');
  await ownHarness.stop();
  await engine.stop();
});

test('version withdrawn while a request is queued: dispatched with another version', async () => {
  const ownHarness = await new DeliveryHarness({
    entries: 1,
    engines: 1,
  }).start();
  const [entry] = ownHarness.entries;
  await ownHarness.callers[0]!.sendChat({session: 's'});
  let openQueue = () => {};
  const queueOpened = new Promise<void>(resolve => {
    openQueue = resolve;
  });
  const admit = entry!.router.admit.bind(entry!.router);
  let isWaiting = false;
  entry!.router.admit = async request => {
    isWaiting = true;
    await queueOpened;
    return admit(request);
  };
  const queued = ownHarness.callers[0]!.sendChat({session: 's'});
  await ownHarness.waitFor(() => isWaiting);
  await withdrawV2(ownHarness);
  openQueue();
  const {headers, isComplete} = await queued;
  assert.equal(isComplete, true);
  assert.equal(headers['sycamorehead-version'], 'v1');
  assert.equal(headers['sycamorehead-session-ended-version'], 'm/v2');
  assert.deepEqual(
    ownHarness.engines[0]?.runs.map(({version}) => version),
    ['m/v2', 'm/v1'],
  );
  await ownHarness.stop();
});

test('version withdrawn before a resume: no further attempt, version_withdrawn error', async () => {
  const ownHarness = await new DeliveryHarness({entries: 1}).start();
  const engine = new ScriptedEngine([
    async (run, response) => {
      writeTokens(response, run, 0, 2, ANSWER_TOKENS);
      await withdrawV2(ownHarness);
      response.destroy();
    },
    answerRemainder,
  ]);
  ownHarness.announceEngine('e', await engine.start());
  const result = await ownHarness.callers[0]!.sendChat();
  assert.deepEqual(
    [result.isComplete, result.kind, result.ran],
    [false, 'version_withdrawn', 'unknown'],
  );
  assert.equal(engine.runs.length, 1);
  await ownHarness.stop();
  await engine.stop();
});

test('sessions keep their version across entries until it is withdrawn', async () => {
  const ownHarness = await new DeliveryHarness({
    entries: 2,
    engines: 1,
  }).start();
  const [first, second] = ownHarness.callers;
  const results = [await first!.sendChat({session: 's'})];
  // A version with a higher quality prior now exists, but sessions keep their version.
  const [better] = buildFirstNote().add.versions;
  await ownHarness.publish({
    add: {
      versions: [{...better!, version: 'v3', qualityPrior: 1}],
      customers: [],
      services: [],
    },
  });
  results.push(await second!.sendChat({session: 's'}));
  assert.deepEqual(
    results.map(({headers}) => headers['sycamorehead-version']),
    ['v2', 'v2'],
  );
  await withdrawV2(ownHarness);
  // The engine has not loaded v3 and rejects the request, so nothing was run.
  const moved = await first!.sendChat({session: 's'});
  assert.equal(moved.ran, 'no');
  assert.equal(moved.headers['sycamorehead-session-ended-version'], 'm/v2');
  assert.equal(ownHarness.engines[0]?.runs.length, 2);
  await ownHarness.stop();
});

test('a keyed chat is run and billed once, and its complete answer is replayed', () =>
  harness.runWithEngine([answerRemainder], async engine => {
    const [first, second] = harness.callers;
    for (const stream of [true, false]) {
      const key = `chat-${stream}`;
      const call = {key, stream};
      const runsBefore = engine.runs.length;
      assert.equal((await first!.sendChat(call)).text, ANSWER_TEXT);
      const resent = await second!.sendChat(call);
      assert.deepEqual([resent.text, resent.isComplete], [ANSWER_TEXT, true]);
      assert.equal(resent.headers['sycamorehead-replayed'], 'true');
      assert.equal(resent.headers['sycamorehead-version'], 'v2');
      const other = await second!.sendChat({...call, prompt: 'other'});
      assert.equal(other.kind, 'idempotency_key_reused');
      assert.equal(engine.runs.length, runsBefore + 1);
      const keys = await harness.listBilledKeys();
      assert.equal(keys.filter(billed => billed === `models/${key}`).length, 1);
    }
  }));

test('a keyed chat completes after its caller disconnects and is replayed to it', () =>
  harness.runWithEngine(
    [
      async (run, response) => {
        writeTokens(response, run, 0, 2, ANSWER_TOKENS);
        await new Promise(resolve => setTimeout(resolve, 50));
        writeTokens(response, run, 2, ANSWER_TOKENS);
        response.end();
      },
    ],
    async engine => {
      const [first, second] = harness.callers;
      const call = {key: 'come-back', disconnectAfterFrames: 1};
      assert.equal((await first!.sendChat(call)).isComplete, false);
      let resent = await second!.sendChat({key: 'come-back'});
      await harness.waitFor(async () => {
        resent = await second!.sendChat({key: 'come-back'});
        return resent.kind !== 'in_progress';
      });
      assert.deepEqual([resent.text, resent.isComplete], [ANSWER_TEXT, true]);
      assert.equal(engine.runs.length, 1);
    },
  ));
