import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import type {ExchangeReply, ExchangeRequest} from '@sycamorehead/fleet';
import {GatewayHarness} from './GatewayHarness.js';

const REPLY: ExchangeReply = {entries: 2, load: {}, demand: {}};

/** Time between two reports, in milliseconds. */
const INTERVAL_MS = 100;

let clock: ReturnType<typeof fakeTimers.install>;

beforeEach(() => {
  clock = fakeTimers.install({
    toFake: ['performance', 'setTimeout', 'clearTimeout'],
  });
});

afterEach(() => {
  clock.uninstall();
});

/** Runs exchanges and returns which of the reports were brief. */
async function recordBrief(
  replies: ReadonlyArray<Partial<ExchangeReply> | 'lost'>,
): Promise<boolean[]> {
  const requests: ExchangeRequest[] = [];
  const left = [...replies];
  const reporter = new GatewayHarness().buildReporter('e1', async request => {
    requests.push(request);
    const reply = left.shift();
    if (!reply || reply === 'lost') throw new Error('lost');
    return {...REPLY, ...reply};
  });
  while (left.length > 0) {
    await reporter.exchangeReports().catch(() => {});
    clock.tick(INTERVAL_MS);
  }
  for (const {isBrief, demand, prompts, prefill} of requests) {
    const parts = [demand, prefill];
    assert.ok(parts.every(part => (part === undefined) === (isBrief === true)));
    assert.ok(prompts);
  }
  return requests.map(({isBrief}) => isBrief === true);
}

test('one report of five is whole, if the control instance takes brief ones', async () => {
  const takesBrief = Array.from({length: 7}, () => ({takesBrief: true}));
  const whole = [false, true, true, true, true, false, true];
  assert.deepEqual(await recordBrief(takesBrief), whole);
});

for (const delayMs of [150, 350]) {
  test(`a whole report goes out each 0.5 s where replies come ${delayMs} ms late`, async () => {
    const wholeAt: number[] = [];
    let sent = 0;
    const startedAt = performance.now();
    const reporter = new GatewayHarness().buildReporter('e1', async request => {
      sent += 1;
      if (!request.isBrief) wholeAt.push(performance.now() - startedAt);
      await new Promise(resolve => setTimeout(resolve, delayMs));
      return {...REPLY, takesBrief: true};
    });
    for (let ms = 0; ms < 10_000; ms += INTERVAL_MS) {
      void reporter.exchangeReports();
      await clock.tickAsync(INTERVAL_MS);
    }
    const gaps = wholeAt.slice(1).map((at, index) => at - wholeAt[index]!);
    assert.ok(Math.max(...gaps) <= 500, gaps.join(' '));
    assert.equal(sent, 100);
    // The first ones are whole until one is answered.
    assert.ok(wholeAt.length <= 20 + 4, `${wholeAt.length} of ${sent}`);
  });
}

test('a control instance of an earlier build gets whole reports', async () => {
  assert.deepEqual(await recordBrief([{}, {}, {}]), [false, false, false]);
});

test('the report after a lost one, or after one that is not completed, is whole', async () => {
  const takes = {takesBrief: true};
  assert.deepEqual(await recordBrief([takes, 'lost', takes, takes]), [
    false,
    true,
    false,
    true,
  ]);
  assert.deepEqual(await recordBrief([takes, {takesBrief: false}, takes]), [
    false,
    true,
    false,
  ]);
  assert.deepEqual(
    await recordBrief([takes, {...takes, isIsolated: true}, takes]),
    [false, true, false],
  );
});

test('a brief reply leaves what it does not tell as it was', async () => {
  const gateway = new GatewayHarness();
  gateway.list([
    {
      isSilent: false,
      registration: {
        id: 's1',
        service: 'drafts',
        address: '10.0.0.1:80',
        dataCentre: 'a',
        version: 'v1',
        slots: 8,
        state: 'ready',
        startedAtMs: 1,
        sequence: 1,
      },
    },
  ]);
  const replies: ExchangeReply[] = [
    {...REPLY, takesBrief: true, load: {s1: [3, 90, 1, 50, 8_000, 900, 1_500]}},
    {...REPLY, takesBrief: true, isBrief: true, load: {s1: [1, 20, 1, 10]}},
  ];
  const reporter = gateway.buildReporter('e1', async () => replies.shift()!);
  const [server] = gateway.servers.listReady('drafts');
  assert.ok(server);
  await reporter.exchangeReports();
  const {slowness} = server.pace;
  const rate = server.memory.kept.computeReadRate(performance.now());
  assert.ok(rate > 3_000);
  await reporter.exchangeReports();
  assert.deepEqual([server.othersInFlight, server.othersPendingMs], [1, 20]);
  assert.equal(server.memory.countHeld(performance.now()), 10);
  assert.equal(server.pace.slowness, slowness);
  assert.ok(
    server.memory.kept.computeReadRate(performance.now()) >= rate * 0.9,
  );
});
