import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PrefillRates, buildKeptPrompt} from '@sycamorehead/routing';
import {AnswerTimes} from '../lib/AnswerTimes.js';
import {filterByMemory} from '../lib/filterByMemory.js';
import {Placement, PlacementRequest} from '../lib/Placement.js';
import {ServerTable} from '../lib/ServerTable.js';
import {VersionSplit} from '../lib/VersionSplit.js';
import {buildPlacementRequest} from './buildPlacementRequest.js';
import {createRandom} from './createRandom.js';
import {describeServer} from './FakeServer.js';

/** Tokens in the memory of each engine of the test's configuration. */
const CAPACITY = 500_000;

function buildPlacement(servers: number) {
  const table = new ServerTable();
  const listings = Array.from({length: servers}, (_, index) =>
    describeServer(`s${index}`, `10.0.0.${index + 1}:80`, {slots: 64}),
  );
  table.update({servers: listings});
  const full: string[] = [];
  const placement = new Placement({
    servers: table,
    versions: new VersionSplit(5_000),
    rates: new PrefillRates(),
    times: new AnswerTimes(),
    policy: 'sampled',
    dataCentre: 'a',
    countEntries: () => 8,
    onMemoryFull: service => full.push(service),
  });
  return {table, placement, full};
}

function buildDemand(promptTokens: number, waitMs = 1_000): PlacementRequest {
  const demand = buildPlacementRequest('own');
  const size = {promptTokens, answerTokens: 500};
  return {
    ...demand,
    request: {...demand.request, size},
    abandonAt: performance.now() + waitMs,
  };
}

test('an engine whose running requests leave no room is not chosen, though it has slots and less work', async () => {
  const {table, placement} = buildPlacement(2);
  table.setOthersLoad({
    s0: [2, 0, 1, CAPACITY - 10_000],
    s1: [30, 900, 1, 100_000],
  });
  for (let count = 0; count < 20; count += 1) {
    const {server, release} = await placement.acquire(buildDemand(12_000));
    assert.equal(server.listing.registration.id, 's1');
    release();
  }
});

test('a request that fits nowhere waits until a running one has ended', async () => {
  const {placement, full} = buildPlacement(1);
  const running = await placement.acquire(buildDemand(400_000));
  const waiting = placement.acquire(buildDemand(200_000));
  assert.equal(placement.countWaiting(), 1);
  assert.deepEqual(full, ['drafts']);
  running.release();
  const {server, release} = await waiting;
  assert.equal(server.memory.ownTokens, 200_500);
  release();
  assert.equal(server.memory.ownTokens, 0);
});

test('the margin for unseen sends gives way at the server with the most room', async () => {
  const {table, placement} = buildPlacement(2);
  table.setOthersLoad({
    s0: [9, 0, 1, 480_000, 200_000],
    s1: [9, 0, 1, 470_000, 200_000],
  });
  const {server} = await placement.acquire(buildDemand(20_000));
  assert.equal(server.listing.registration.id, 's1');
});

test('requests that find no memory hold up no smaller ones behind them', async () => {
  const {placement} = buildPlacement(1);
  const running = await placement.acquire(buildDemand(430_000));
  const held = await placement.acquire(buildDemand(69_000));
  // Each is of a size class of its own, and larger than the 69,500 tokens that come free.
  const large = [400_000, 200_000, 100_000].map(tokens =>
    placement.acquire(buildDemand(tokens)),
  );
  const small = Array.from({length: 3}, () =>
    placement.acquire(buildDemand(600)),
  );
  const outcomes = Promise.allSettled(large);
  held.release();
  for (const reservation of await Promise.all(small)) reservation.release();
  running.release();
  const statuses = (await outcomes).map(({status}) => status);
  assert.deepEqual(statuses.slice(0, 1), ['fulfilled']);
});

test('a long prompt that finds no memory holds up no long answer that needs less', async () => {
  const {placement} = buildPlacement(1);
  await placement.acquire(buildDemand(479_000));
  const held = await placement.acquire(buildDemand(20_000));
  const prompt = placement.acquire(buildDemand(30_000, 200));
  const demand = buildDemand(300, 200);
  const size = {promptTokens: 300, answerTokens: 8_000};
  const answer = placement.acquire({
    ...demand,
    request: {...demand.request, size},
  });
  held.release();
  await answer;
  await assert.rejects(prompt);
});

test('a request that finds no memory holds up no smaller one of about its size', async () => {
  const {placement} = buildPlacement(1);
  await placement.acquire(buildDemand(414_000));
  const held = await placement.acquire(buildDemand(80_000));
  const larger = placement.acquire(buildDemand(90_000, 200));
  const smaller = [84_000, 82_000, 81_000, 80_100, 80_050, 79_000].map(tokens =>
    placement.acquire(buildDemand(tokens, 200)),
  );
  const outcomes = Promise.allSettled([larger, ...smaller]);
  held.release();
  const statuses = (await outcomes).map(({status}) => status === 'fulfilled');
  // 85,000 tokens came free, and 500 are for the answer.
  assert.deepEqual(statuses.slice(0, 2), [false, true]);
});

test('a request that has tried the server with room holds up none that may go there', async () => {
  const {table, placement} = buildPlacement(2);
  table.setOthersLoad({
    s0: [9, 0, 1, 480_000],
    s1: [9, 0, 1, 480_000],
  });
  const repeated = placement.acquire({
    ...buildDemand(30_000, 300),
    tried: new Set(['s1']),
  });
  const larger = placement.acquire(buildDemand(40_000, 300));
  const outcomes = Promise.allSettled([repeated, larger]);
  table.setOthersLoad({
    s0: [9, 0, 1, 480_000],
    s1: [9, 0, 1, 100_000],
  });
  placement.offerSlots();
  const statuses = (await outcomes).map(({status}) => status);
  assert.deepEqual(statuses, ['rejected', 'fulfilled']);
});

test('an ejected idle server holds up no request that fits the memory of a healthy one', async () => {
  const {table, placement} = buildPlacement(2);
  const [ejected] = table.listReady('drafts');
  assert.ok(ejected);
  ejected.ejectedUntil = performance.now() + 60_000;
  table.setOthersLoad({s1: [9, 0, 1, 480_000]});
  const sizes = [200_000, 190_000, 180_000, 170_000, 160_000, 30_000, 25_000];
  const waiting = sizes.map(tokens =>
    placement.acquire(buildDemand(tokens, 300)),
  );
  const outcomes = Promise.allSettled(waiting);
  assert.equal(placement.countWaiting(), sizes.length);
  table.setOthersLoad({s1: [9, 0, 1, 400_000]});
  placement.offerSlots();
  const statuses = (await outcomes).map(({status}) => status === 'fulfilled');
  assert.deepEqual(statuses, [false, false, false, false, false, true, true]);
});

test('what a caller tells of its size counts for the shares of customers up to a bound', () => {
  const {placement} = buildPlacement(1);
  placement.tryAcquire(buildDemand(1e300));
  const {drafts} = placement.describeDemand();
  const [work = 0] = Object.values(drafts?.customers ?? {});
  assert.ok(work > 0 && work <= 1_000_000, `${work}`);
});

test('a request larger than the memory of every server is refused at once, as not run', async () => {
  const {placement, full} = buildPlacement(2);
  await assert.rejects(placement.acquire(buildDemand(CAPACITY)), {
    kind: 'overloaded',
    ran: 'no',
  });
  assert.equal(placement.countWaiting(), 0);
  assert.deepEqual(full, ['drafts']);
});

test('a server that starts again under its id is believed to hold and keep nothing', async () => {
  const {table, placement} = buildPlacement(1);
  const prompt = buildKeptPrompt('', [{id: 'own', tokens: 1_000}]);
  const [before] = table.listReady('drafts');
  before?.memory.kept.recordPrompt(prompt, 1_000);
  const kept = await placement.acquire(buildPlacementRequest('own'));
  assert.equal(kept.keptTokens, 1_000);
  table.update({
    servers: [
      describeServer('s0', '10.0.0.1:80', {
        slots: 64,
        sequence: 2,
        startedAtMs: Date.now(),
      }),
    ],
  });
  const lost = await placement.acquire(buildPlacementRequest('own'));
  assert.equal(lost.keptTokens, 0);
  assert.equal(lost.server.memory.ownTokens, 1_020);
});

test('a decision tells what is kept and what it saves, and reports carry what is held', async () => {
  const {table, placement} = buildPlacement(1);
  const first = await placement.acquire(buildPlacementRequest('own'));
  assert.equal(first.keptTokens, 0);
  assert.deepEqual(table.listLoad()['s0']?.slice(3, 4), [1_020]);
  const prompt = buildKeptPrompt('', [{id: 'own', tokens: 1_000}]);
  first.server.memory.kept.recordPrompt(prompt, 1_000);
  first.release();
  const second = await placement.acquire(buildPlacementRequest('own'));
  assert.equal(second.tokensToPrefill, 0);
  assert.ok(second.savedMs > 0);
});

test('a request waits for the memory of healthy servers rather than go to an ejected or a tried one', async () => {
  const {table, placement, full} = buildPlacement(2);
  const [first, second] = table.listReady('drafts');
  assert.ok(first && second);
  table.setOthersLoad({s1: [30, 900, 1, CAPACITY - 10_000]});
  first.ejectedUntil = performance.now() + 60_000;
  const held = {...buildDemand(12_000, 50), tried: new Set<string>()};
  await assert.rejects(placement.acquire(held), {ran: 'no'});
  first.ejectedUntil = 0;
  const repeated = {...buildDemand(12_000, 50), tried: new Set(['s0'])};
  await assert.rejects(placement.acquire(repeated), {ran: 'no'});
  assert.ok(full.length >= 2);
  table.setOthersLoad({s1: [64, 900, 1, CAPACITY - 10_000]});
  const {server} = await placement.acquire(repeated);
  assert.equal(server, first);
});

test('entries that drop the margin at the same time do not choose the same server', () => {
  const {table} = buildPlacement(4);
  table.setOthersLoad(
    Object.fromEntries(
      [460_000, 470_000, 475_000, 490_000].map((held, index) => [
        `s${index}`,
        [9, 0, 1, held, 400_000] as const,
      ]),
    ),
  );
  const servers = table.listReady('drafts');
  const size = {promptTokens: 20_000, answerTokens: 500};
  const random = createRandom(1);
  const counts = new Map<string, number>();
  for (let entry = 0; entry < 90; entry += 1) {
    const [server, ...others] = filterByMemory(servers, CAPACITY, size, random);
    assert.ok(server && others.length === 0);
    const {id} = server.listing.registration;
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  assert.deepEqual([...counts.keys()].sort(), ['s0', 's1', 's2']);
  assert.ok(Math.max(...counts.values()) <= 45);
});
