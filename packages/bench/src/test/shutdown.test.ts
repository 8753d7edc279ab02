import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import {test} from 'node:test';
import {createControlMethods} from '@sycamorehead/control';
import {WireServer} from '@sycamorehead/wire';
import {request} from 'undici';
import {CUSTOMER_KEY, DeliveryHarness} from './DeliveryHarness.js';
import {
  EngineScript,
  ScriptedEngine,
  ANSWER_TOKENS,
  ANSWER_TEXT,
  writeTokens,
} from './ScriptedEngine.js';
import {TestCaller} from './TestCaller.js';

const HOST = '127.0.0.1';
const ENTRY_PROGRAM = path.resolve(
  import.meta.dirname,
  '../../../../apps/syc-entry/dist/main.js',
);

interface PausedEngine {
  readonly script: EngineScript;
  /** Sends the rest of every answer. */
  readonly release: () => void;
}

/** Creates an engine script that sends two tokens and withholds the rest until it is released. */
function createPausedEngine(): PausedEngine {
  let release = () => {};
  const released = new Promise<void>(resolve => {
    release = resolve;
  });
  const answerAfterRelease: EngineScript = async (run, response) => {
    writeTokens(response, run, run.resumeOffset, 2, ANSWER_TOKENS);
    await released;
    writeTokens(response, run, 2, ANSWER_TOKENS);
    response.end();
  };
  return {script: answerAfterRelease, release: () => release()};
}

test('a planned stop with open streams aborts no request', async () => {
  const harness = await new DeliveryHarness({
    entries: 2,
    replicas: 1,
    entryOptions: {
      balancerLagMs: 200,
      // The engine pauses for longer than the harness's default timeout between two frames.
      backendTimeouts: {
        connectMs: 300,
        firstByteMs: 5_000,
        betweenFramesMs: 5_000,
        serviceMs: 600,
      },
    },
  }).start();
  const paused = createPausedEngine();
  const engine = new ScriptedEngine([paused.script]);
  harness.announceEngine('held', await engine.start());
  const [entry] = harness.entries;
  const [caller, other] = harness.callers;
  const long = [true, false].map(stream => caller!.sendChat({stream}));
  await harness.waitFor(() => engine.runs.length === 2);
  let isStopped = false;
  const stopped = harness.stopEntry(0).then(() => {
    isStopped = true;
  });
  // The entry reports not ready at once, but serves until the load balancer has had time to notice.
  assert.equal(entry!.isReady(), false);
  assert.equal((await caller!.getPage('/readyz')).status, 503);
  const late = await caller!.callService('POST', 'orders/once', 'late');
  assert.equal(late.status, 200);
  assert.equal(late.headers.connection, 'close');
  // Then it refuses new requests without running them, while the streams continue.
  let polls = 0;
  await harness.waitFor(async () => {
    polls += 1;
    const key = `refused-${polls}`;
    const refused = await caller!.callService('POST', 'orders/once', key);
    return refused.kind === 'stopping' && refused.ran === 'no';
  });
  assert.equal(harness.countRuns(`refused-${polls}`), 0);
  const path = 'orders/once';
  const moved = await other!.callService('POST', path, `refused-${polls}`);
  assert.equal(moved.status, 200);
  assert.equal(harness.countRuns(`refused-${polls}`), 1);
  assert.equal(isStopped, false, 'the entry did not wait for its streams');
  paused.release();
  for (const {text, isComplete} of await Promise.all(long)) {
    assert.deepEqual([text, isComplete], [ANSWER_TEXT, true]);
  }
  await stopped;
  assert.equal(
    (await caller!.getPage('/healthz')).status,
    0,
    'the entry still answers after it stopped',
  );
  const keys = await harness.listBilledKeys();
  assert.equal(keys.filter(key => key.startsWith('models/')).length, 2);
  await harness.stop();
  await engine.stop();
});

test('a planned stop waits until the bills are recorded', async () => {
  const harness = await new DeliveryHarness({entries: 1, engines: 1}).start();
  const [faults] = harness.faults;
  faults!.outage = 'unseen';
  const result = await harness.callers[0]!.sendChat();
  assert.deepEqual([result.kind, result.ran], ['bill_pending', 'yes']);
  let isStopped = false;
  const stopped = harness.stopEntry(0).then(() => {
    isStopped = true;
  });
  await harness.waitFor(
    async () => (await harness.callers[0]!.getPage('/healthz')).status === 0,
  );
  assert.equal(isStopped, false);
  faults!.outage = 'none';
  await stopped;
  assert.equal((await harness.listBilledKeys()).length, 1);
  await harness.stop();
});

test('SIGTERM to an entry process with an open stream: complete answer, exit code 0', async () => {
  const harness = await new DeliveryHarness({entries: 0}).start();
  const paused = createPausedEngine();
  const engine = new ScriptedEngine([paused.script]);
  const address = await engine.start();
  const wire = new WireServer({
    host: HOST,
    port: 0,
    peerKey: 'peer',
    methods: createControlMethods(harness.control),
  });
  const controlPort = await wire.start();
  const child = spawn(process.execPath, [ENTRY_PROGRAM], {
    env: {
      ...process.env,
      SYC_NAME: 'entry-p',
      SYC_DATA_CENTRE: 'dc-1',
      SYC_PORT: '0',
      SYC_PEER_PORT: '0',
      SYC_CONTROL_PEERS: `control-1=${HOST}:${controlPort}`,
      SYC_BALANCER_LAG: '0.1',
      SYC_PEER_KEY: 'peer',
      SYC_SERVER_KEY: 'server',
    },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = once(child, 'exit');
  try {
    const [line] = (await once(child.stdout, 'data')) as [Buffer];
    const port = / port=(\d+)/.exec(line.toString())?.[1];
    const caller = new TestCaller(`http://${HOST}:${port}`, CUSTOMER_KEY);
    // The entry has its lease, but is not ready before it knows a backend server.
    await harness.waitFor(async () => {
      const {text} = await caller.getPage('/v1/in-force');
      return (JSON.parse(text) as {leaseLeftMs: number}).leaseLeftMs > 0;
    });
    assert.equal((await caller.getPage('/readyz')).status, 503);
    await announceTo(caller.url, address);
    assert.equal((await caller.getPage('/readyz')).status, 200);
    const answer = caller.sendChat();
    await harness.waitFor(() => engine.runs.length === 1);
    child.kill('SIGTERM');
    await harness.waitFor(
      async () => (await caller.getPage('/readyz')).status === 503,
    );
    paused.release();
    const {text, isComplete} = await answer;
    assert.deepEqual([text, isComplete], [ANSWER_TEXT, true]);
    assert.deepEqual(await exited, [0, null]);
    assert.equal((await harness.listBilledKeys()).length, 1);
    await caller.stop();
  } finally {
    child.kill('SIGKILL');
    await wire.stop();
    await harness.stop();
    await engine.stop();
  }
});

async function announceTo(entryUrl: string, address: string): Promise<void> {
  const {statusCode, body} = await request(
    `${entryUrl}/v1/backend-servers/held`,
    {
      method: 'PUT',
      headers: {authorization: 'Bearer server'},
      body: JSON.stringify({
        id: 'held',
        address,
        dataCentre: 'dc-1',
        kind: 'engine',
        generation: 1,
        sequence: 1,
        state: 'ready',
        versions: [{model: 'm', version: 'v2'}],
        slots: 16,
        fencing: 'ignored',
      }),
    },
  );
  await body.dump();
  assert.equal(statusCode, 200);
}
