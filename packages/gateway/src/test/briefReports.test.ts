import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ExchangeReply, ExchangeRequest} from '@sycamorehead/fleet';
import {GatewayHarness} from './GatewayHarness.js';

const REPLY: ExchangeReply = {entries: 2, load: {}, demand: {}};

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
  while (left.length > 0) await reporter.exchangeReports().catch(() => {});
  for (const {isBrief, demand, prompts, prefill} of requests) {
    const parts = [demand, prompts, prefill];
    assert.ok(parts.every(part => (part === undefined) === (isBrief === true)));
  }
  return requests.map(({isBrief}) => isBrief === true);
}

test('one report of five is whole, if the control instance takes brief ones', async () => {
  const takesBrief = Array.from({length: 7}, () => ({takesBrief: true}));
  const whole = [false, true, true, true, true, false, true];
  assert.deepEqual(await recordBrief(takesBrief), whole);
});

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
