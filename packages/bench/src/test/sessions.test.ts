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

test('version withdrawn between attempts: another one before the first frame', async () => {
  const own = await new DeliveryHarness({entries: 1}).start();
  const engine = new ScriptedEngine([
    async (run, response) => {
      await withdrawV2(own);
      response.destroy();
    },
    answerRemainder,
  ]);
  own.announceEngine('e', await engine.start());
  const seen = await own.callers[0]!.sendChat({session: 's'});
  assert.equal(seen.text, ANSWER_TEXT);
  assert.deepEqual(
    engine.runs.map(({model}) => model),
    ['m/v2', 'm/v1'],
  );
  assert.equal(seen.headers['sycamorehead-version'], 'v1');
  assert.equal(seen.headers['sycamorehead-session-ended-version'], 'm/v2');
  assert.equal((await own.control.listBills())[0]?.item, 'm/v1');
  await own.stop();
  await engine.stop();
});

test('version withdrawn while a session waits in a queue: not dispatched', async () => {
  const own = await new DeliveryHarness({entries: 1, engines: 1}).start();
  const [entry] = own.entries;
  await own.callers[0]!.sendChat({session: 's'});
  let open = () => {};
  const opened = new Promise<void>(resolve => {
    open = resolve;
  });
  const admit = entry!.router.admit.bind(entry!.router);
  let isWaiting = false;
  entry!.router.admit = async request => {
    isWaiting = true;
    await opened;
    return admit(request);
  };
  const queued = own.callers[0]!.sendChat({session: 's'});
  await own.waitFor(() => isWaiting);
  await withdrawV2(own);
  open();
  const {headers, isComplete: isWhole} = await queued;
  assert.equal(isWhole, true);
  assert.equal(headers['sycamorehead-version'], 'v1');
  assert.equal(headers['sycamorehead-session-ended-version'], 'm/v2');
  assert.deepEqual(
    own.engines[0]?.runs.map(({version}) => version),
    ['m/v2', 'm/v1'],
  );
  await own.stop();
});

test('version withdrawn before a resume: no new work for it, an honest end', async () => {
  const own = await new DeliveryHarness({entries: 1}).start();
  const engine = new ScriptedEngine([
    async (run, response) => {
      writeTokens(response, run, 0, 2, ANSWER_TOKENS);
      await withdrawV2(own);
      response.destroy();
    },
    answerRemainder,
  ]);
  own.announceEngine('e', await engine.start());
  const seen = await own.callers[0]!.sendChat();
  assert.deepEqual(
    [seen.isComplete, seen.kind, seen.ran],
    [false, 'version_withdrawn', 'unknown'],
  );
  assert.equal(engine.runs.length, 1);
  await own.stop();
  await engine.stop();
});

test('sessions keep their version across entries until it is withdrawn', async () => {
  const own = await new DeliveryHarness({entries: 2, engines: 1}).start();
  const [first, second] = own.callers;
  const seen = [await first!.sendChat({session: 's'})];
  // A better version now exists, but a session stays where it is.
  const [better] = buildFirstNote().add.versions;
  await own.publish({
    add: {
      versions: [{...better!, version: 'v3', qualityPrior: 1}],
      customers: [],
      services: [],
    },
  });
  seen.push(await second!.sendChat({session: 's'}));
  assert.deepEqual(
    seen.map(({headers}) => headers['sycamorehead-version']),
    ['v2', 'v2'],
  );
  await withdrawV2(own);
  // The engine has not loaded v3 and says so: nothing was run.
  const moved = await first!.sendChat({session: 's'});
  assert.equal(moved.ran, 'no');
  assert.equal(moved.headers['sycamorehead-session-ended-version'], 'm/v2');
  assert.equal(own.engines[0]?.runs.length, 2);
  await own.stop();
});

test('a keyed chat: once for one key, replayed whole, billed once', () =>
  harness.runWithEngine([answerRemainder], async engine => {
    const [first, second] = harness.callers;
    for (const stream of [true, false]) {
      const key = `chat-${stream}`;
      const call = {key, stream};
      const before = engine.runs.length;
      assert.equal((await first!.sendChat(call)).text, ANSWER_TEXT);
      const resent = await second!.sendChat(call);
      assert.deepEqual([resent.text, resent.isComplete], [ANSWER_TEXT, true]);
      assert.equal(resent.headers['sycamorehead-replayed'], 'true');
      assert.equal(resent.headers['sycamorehead-version'], 'v2');
      const other = await second!.sendChat({...call, prompt: 'other'});
      assert.equal(other.kind, 'idempotency_key_reused');
      assert.equal(engine.runs.length, before + 1);
      const keys = await harness.listBilledKeys();
      assert.equal(keys.filter(each => each === `models/${key}`).length, 1);
    }
  }));

test('a keyed chat whose caller has gone runs on and is kept for it', () =>
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
      const call = {key: 'come-back', leaveAfterFrames: 1};
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
