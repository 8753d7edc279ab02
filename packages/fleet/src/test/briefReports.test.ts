import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import {EntryReports} from '../lib/EntryReports.js';
import type {
  ExchangeReply,
  ExchangeRequest,
  ServerLoad,
} from '../lib/fleetMessages.js';

const SEEDS = 20;
const ROUNDS = 30;
const ENTRIES = ['e1', 'e2', 'e3'];
const SERVERS = ['s1', 's2', 's3', 's4'];
const QUICK_NUMBERS = 4;
/** Time between two reports of one entry, in milliseconds. */
const INTERVAL_MS = 100;

let clock: ReturnType<typeof fakeTimers.install>;

beforeEach(() => {
  clock = fakeTimers.install({toFake: ['performance']});
});

afterEach(() => {
  clock.uninstall();
});

/** Returns a function that draws whole numbers below a bound. */
function createDraw(seed: number): (below: number) => number {
  let state = seed + 1;
  return below => {
    state = (state * 48_271) % 2_147_483_647;
    return state % below;
  };
}

function buildReports(): EntryReports {
  return new EntryReports({
    instance: 'c1',
    incarnation: 'run-1',
    countControls: () => 1,
    listQuarantined: () => [],
  });
}

/** What an entry would tell: `slow` stays the same for a while, the rest is drawn anew each time. */
function buildWhole(
  entry: string,
  slow: ExchangeRequest,
  draw: (below: number) => number,
): ExchangeRequest {
  const load: Record<string, ServerLoad> = {};
  for (const id of SERVERS) {
    const [, , , , read = 0, answers = 0, logRatios = 0] = slow.load[id] ?? [
      0, 0,
    ];
    const inFlight = draw(3);
    if (inFlight === 0 && answers === 0) continue;
    const pendingMs = inFlight * draw(90);
    const heldTokens = inFlight * 10;
    load[id] = [inFlight, pendingMs, 0, heldTokens, read, answers, logRatios];
  }
  const {customers = {}, outcomes = {}} = slow.demand?.['drafts'] ?? {};
  const waiting = [draw(4), draw(4)];
  const drafts = {placesPerSecond: draw(9), waiting, customers, outcomes};
  return {entry, load, evidence: [], demand: {drafts}, prefill: slow.prefill};
}

function buildSlow(draw: (below: number) => number): ExchangeRequest {
  const load: Record<string, ServerLoad> = {};
  for (const id of SERVERS) {
    if (draw(2) === 0) continue;
    load[id] = [0, 0, 0, 0, draw(900), 1 + draw(90), draw(50) - 25];
  }
  const drafts = {
    placesPerSecond: 0,
    waiting: [],
    customers: {clinic: 1 + draw(90)},
    outcomes: {drafts: [5 + draw(9), draw(5)] as const},
  };
  const sums = {weight: 1, tokens: draw(99), timeMs: draw(99)};
  const prefill = {small: {...sums, tokensSquared: draw(99), product: 1}};
  return {entry: '', load, evidence: [], demand: {drafts}, prefill};
}

/** Shortens a report as entries do. */
function buildBrief(whole: ExchangeRequest): ExchangeRequest {
  const load: Record<string, ServerLoad> = {};
  for (const [id, numbers] of Object.entries(whole.load)) {
    const [inFlight, pendingMs, active = 0, heldTokens = 0] = numbers;
    if (inFlight > 0) load[id] = [inFlight, pendingMs, active, heldTokens];
  }
  const waiting = Object.fromEntries(
    Object.entries(whole.demand ?? {}).map(
      ([service, {placesPerSecond, waiting: counts}]) => [
        service,
        {placesPerSecond, waiting: counts},
      ],
    ),
  );
  const {entry, evidence} = whole;
  return {entry, evidence, load, waiting, isBrief: true};
}

function selectQuick({load}: Pick<ExchangeReply, 'load'>) {
  const quick = Object.entries(load)
    .map(([id, numbers]) => [id, numbers.slice(0, QUICK_NUMBERS)] as const)
    .filter(([, [inFlight = 0, , active = 0]]) => inFlight + active > 0);
  return Object.fromEntries(quick);
}

test('brief reports give the other entries the same as whole ones while what changes slowly does not', () => {
  for (let seed = 0; seed < SEEDS; seed += 1) {
    const draw = createDraw(seed);
    const [wholes, briefs] = [buildReports(), buildReports()];
    const slow = new Map(ENTRIES.map(entry => [entry, buildSlow(draw)]));
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const entry of ENTRIES) {
        clock.tick(INTERVAL_MS / ENTRIES.length);
        const isWhole = round % 5 === 0;
        if (isWhole) slow.set(entry, buildSlow(draw));
        const report = buildWhole(entry, slow.get(entry)!, draw);
        const expected = wholes.exchange(report);
        const reply = briefs.exchange(isWhole ? report : buildBrief(report));
        const label = `seed ${seed}, round ${round}, ${entry}`;
        assert.equal(reply.takesBrief, true, label);
        assert.equal(reply.isBrief === true, !isWhole, label);
        assert.deepEqual(selectQuick(reply), selectQuick(expected), label);
        const queued = reply.isBrief ? reply.waiting : reply.demand;
        const {placesPerSecond, waiting} = expected.demand?.['drafts'] ?? {};
        assert.equal(queued?.['drafts']?.placesPerSecond, placesPerSecond);
        assert.deepEqual(queued?.['drafts']?.waiting, waiting, label);
        if (isWhole) assert.deepEqual(reply, expected, label);
      }
      const [first, second] = [briefs, wholes].map(reports => {
        const {arrived, ...digest} = reports.describeDigest();
        assert.ok(arrived.length <= ENTRIES.length);
        return digest;
      });
      assert.deepEqual(first, second, `seed ${seed}, round ${round}`);
    }
  }
});

test('a brief report to an instance that has no whole one is answered in full, and asks for one', () => {
  const draw = createDraw(1);
  const reports = buildReports();
  const whole = buildWhole('e1', buildSlow(draw), draw);
  reports.exchange({...whole, prompts: {s1: [7]}});
  const first = reports.exchange(
    buildBrief(buildWhole('e2', buildSlow(draw), draw)),
  );
  assert.equal(first.takesBrief, false);
  assert.equal(first.isBrief, undefined);
  assert.deepEqual(first.demand?.['drafts']?.customers, {
    ...whole.demand?.['drafts']?.customers,
  });
  assert.deepEqual(first.prompts, {s1: [7]});
  // The same after the entry was not heard of for longer than reports count.
  assert.equal(reports.exchange(buildBrief(whole)).isBrief, true);
  clock.tick(1_600);
  assert.equal(reports.exchange(buildBrief(whole)).takesBrief, false);
});

test('an entry of an earlier build gets whole replies', () => {
  const draw = createDraw(2);
  const reports = buildReports();
  for (let round = 0; round < 3; round += 1) {
    reports.exchange(buildWhole('e1', buildSlow(draw), draw));
    const reply = reports.exchange(buildWhole('e2', buildSlow(draw), draw));
    assert.ok(reply.demand?.['drafts']?.customers['clinic']);
    assert.ok(Object.values(reply.load).some(({length}) => length > 4));
    assert.equal(reply.isBrief, undefined);
    clock.tick(INTERVAL_MS);
  }
});

test('a brief report of odd shape leaves the other entries their load and demand', () => {
  const draw = createDraw(3);
  for (const odd of [
    'null',
    '7',
    '{"drafts":null}',
    '{"drafts":{"waiting":{"length":1e8},"placesPerSecond":"x"}}',
    '{"constructor":{"waiting":[7],"placesPerSecond":1}}',
    '{"drafts":{"waiting":[-5,1e300],"placesPerSecond":-3}}',
  ]) {
    const reports = buildReports();
    const whole = buildWhole('e1', buildSlow(draw), draw);
    reports.exchange(whole);
    reports.exchange(buildWhole('odd', buildSlow(draw), draw));
    const waiting = JSON.parse(odd) as ExchangeRequest['waiting'];
    const load = JSON.parse('{"s1":null,"s2":["x",-1]}') as object;
    const report = {...buildBrief(whole), entry: 'odd', load, waiting};
    reports.exchange(report as ExchangeRequest);
    clock.tick(60);
    const {load: left, demand} = reports.exchange({
      entry: 'e2',
      load: {},
      evidence: [],
    });
    for (const [id, numbers] of Object.entries(whole.load)) {
      assert.ok((left[id]?.[0] ?? 0) >= numbers[0], odd);
    }
    const [first = 0] = demand?.['drafts']?.waiting ?? [];
    const [own = 0] = whole.demand?.['drafts']?.waiting ?? [];
    assert.ok(first >= own && first <= 1_000, odd);
    assert.ok(!/:-\d/.test(JSON.stringify(demand)), odd);
  }
});

test('a brief report is not completed by a whole one that has expired', () => {
  const reports = buildReports();
  const drafts = {placesPerSecond: 1, waiting: [1]};
  const outcomes = {chat: [9, 3]} as const;
  const customers = {clinic: 40};
  const whole = {...drafts, outcomes, customers};
  const exchange = (entry: string, overrides: Partial<ExchangeRequest>) =>
    reports.exchange({entry, load: {}, evidence: [], ...overrides});
  exchange('e1', {demand: {drafts: whole}});
  for (let ms = 0; ms < 1_500; ms += INTERVAL_MS) {
    clock.tick(INTERVAL_MS);
    const reply = exchange('e1', {isBrief: true, waiting: {drafts}});
    assert.equal(reply.takesBrief, true);
  }
  assert.deepEqual(exchange('e2', {}).demand?.['drafts']?.outcomes, outcomes);
  for (let count = 0; count < 2; count += 1) {
    clock.tick(INTERVAL_MS);
    const reply = exchange('e1', {isBrief: true, waiting: {drafts}});
    assert.equal(reply.takesBrief, false);
    assert.equal(reply.isBrief, undefined);
  }
  clock.tick(INTERVAL_MS);
  assert.equal(exchange('e2', {}).demand?.['drafts'], undefined);
  exchange('e1', {demand: {drafts: whole}});
  const reply = exchange('e1', {isBrief: true, waiting: {drafts}});
  assert.equal(reply.takesBrief, true);
});

test('news of prompts go with brief reports and replies', () => {
  const reports = buildReports();
  const report = {load: {}, evidence: []};
  for (const entry of ['e1', 'e2']) reports.exchange({entry, ...report});
  const brief = {...report, isBrief: true};
  reports.exchange({entry: 'e1', ...brief, prompts: {s1: [7]}});
  const reply = reports.exchange({entry: 'e2', ...brief, prompts: {}});
  assert.equal(reply.isBrief, true);
  assert.deepEqual(reply.prompts, {s1: [7]});
});
