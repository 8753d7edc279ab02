import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import FakeTimers, {Clock} from '@sinonjs/fake-timers';
import {PrefillRates, QueueRefusal} from '@sycamorehead/routing';
import {SycamoreheadError, toSycamoreheadError} from '@sycamorehead/schema';
import {AnswerTimes} from '../lib/AnswerTimes.js';
import {DirectoryFill} from '../lib/DirectoryFill.js';
import {Placement, PlacementRequest} from '../lib/Placement.js';
import {ServerTable} from '../lib/ServerTable.js';
import {VersionSplit} from '../lib/VersionSplit.js';
import {buildPlacementRequest} from './buildPlacementRequest.js';
import {ExplainedEntry, buildExplainedConfiguration} from './ExplainedEntry.js';
import {describeServer} from './FakeServer.js';

const FILL_MS = 1_120;
/** Until all requests are released, at 1.4 times the pace at which servers register. */
const HELD_MS = 800;
const SLOTS = 64;
/** Requests of a service that are held at most. */
const MAX_HELD = 500;

let clock: Clock;
const {random} = Math;

beforeEach(() => {
  clock = FakeTimers.install({
    toFake: [
      'setTimeout',
      'clearTimeout',
      'setInterval',
      'clearInterval',
      'performance',
    ],
  });
  // Nothing is sent before the directory has filled.
  Math.random = () => 0.999_99;
});

afterEach(() => {
  clock.uninstall();
  Math.random = random;
});

/** Builds an entry that has learned of a restart of all processes, and knows no server yet. */
function buildEntry() {
  const table = new ServerTable();
  const placement = new Placement({
    servers: table,
    versions: new VersionSplit(5_000),
    rates: new PrefillRates(),
    times: new AnswerTimes(),
    policy: 'sampled',
    dataCentre: 'a',
    countEntries: () => 1,
  });
  table.filling.update({directory: {ageMs: 0, fillMs: FILL_MS}});
  const update = (state: Parameters<ServerTable['update']>[0]) => {
    table.update(state);
    placement.offerSlots();
  };
  const setLoad = (inFlight: number) => {
    table.setOthersLoad({s1: [inFlight, 0]});
    placement.updateOthersDemand({});
    placement.offerSlots();
  };
  return {table, placement, update, setLoad};
}

function buildServer(overrides = {}) {
  return describeServer('s1', '10.0.0.1:80', {slots: SLOTS, ...overrides});
}

/** Builds the demand of a new request with the limits of its wait. */
function buildDemand(
  overrides: Partial<PlacementRequest> = {},
): PlacementRequest {
  const now = performance.now();
  return {
    ...buildPlacementRequest('own'),
    startBy: now + 1_050,
    abandonAt: now + 1_050,
    reviewAt: now + 420,
    objectiveAt: now + 1_400,
    deadlineAt: now + 1_500,
    ...overrides,
  };
}

/** Starts to acquire a slot; the returned list gets the outcome. */
function acquire(placement: Placement, demand: PlacementRequest): string[] {
  const outcomes: string[] = [];
  placement.acquire(demand).then(
    ({server}) => outcomes.push(server.listing.registration.id),
    (error: unknown) => outcomes.push(toSycamoreheadError(error).kind),
  );
  return outcomes;
}

/** Starts to wait for a turn; the returned list gets the refusal, or nothing once it is released. */
function waitTurn(
  filling: DirectoryFill,
  startBy: number,
  signal = new AbortController().signal,
): Array<SycamoreheadError | undefined> {
  const outcomes: Array<SycamoreheadError | undefined> = [];
  filling.waitTurn({service: 'drafts', startBy, signal}).then(
    () => outcomes.push(undefined),
    (error: unknown) => outcomes.push(toSycamoreheadError(error)),
  );
  return outcomes;
}

function buildFilling(fillMs = FILL_MS): DirectoryFill {
  const filling = new DirectoryFill();
  filling.update({directory: {ageMs: 0, fillMs}});
  return filling;
}

test('a request that was held while no server was known waits for the first one as long as its answer is in time', async () => {
  const {placement, update, setLoad} = buildEntry();
  const outcomes = acquire(placement, buildDemand());
  await clock.tickAsync(600);
  update({servers: [buildServer()]});
  setLoad(SLOTS);
  await clock.tickAsync(HELD_MS - 600 + 100);
  assert.deepEqual(outcomes, []);
  setLoad(0);
  await clock.tickAsync(1);
  assert.deepEqual(outcomes, ['s1']);
});

test('the limits of the servers are checked when a held request takes its turn', async () => {
  const {table, placement, update} = buildEntry();
  const outcomes = acquire(placement, buildDemand());
  const server = buildServer();
  update({servers: [server]});
  const notice = {type: 'named', perSecond: 5} as const;
  table.limits.record(server.registration, notice, performance.now());
  await clock.tickAsync(HELD_MS + 20 + 130);
  assert.deepEqual(outcomes, []);
  // 0.4 of the 420 ms for which a request waits at least.
  await clock.tickAsync(40);
  assert.deepEqual(outcomes, ['overloaded']);
});

test('a held caller who leaves gives its turn back', async () => {
  const filling = buildFilling(14_000);
  const leaving = Array.from({length: 40}, () => new AbortController());
  const startBy = performance.now() + 60_000;
  for (const {signal} of leaving) waitTurn(filling, startBy, signal);
  const staying = Array.from({length: 40}, () => waitTurn(filling, startBy));
  await clock.tickAsync(20);
  for (const controller of leaving) controller.abort();
  await clock.tickAsync(4_980);
  // Half of the servers are known; those who left are due nothing, and have used up nothing.
  const sent = staying.filter(({length}) => length > 0).length;
  assert.ok(sent >= 18 && sent <= 20, `${sent} sent`);
});

test('a caller who has left is refused before its request is held', async () => {
  const filling = buildFilling();
  const signal = AbortSignal.abort();
  const outcomes = waitTurn(filling, performance.now() + 5_000, signal);
  assert.equal(filling.countHeld('drafts'), 0);
  await clock.tickAsync(0);
  assert.equal(outcomes[0]?.kind, 'caller_gone');
});

test('of too many requests the least urgent is refused, and none overtakes those held', async () => {
  const filling = buildFilling();
  const now = performance.now();
  const held = Array.from({length: MAX_HELD}, (_, index) =>
    waitTurn(filling, now + 5_000 + index),
  );
  const late = waitTurn(filling, now + 9_000);
  const urgent = waitTurn(filling, now + 4_000);
  await clock.tickAsync(0);
  assert.equal(filling.countHeld('drafts'), MAX_HELD);
  for (const [refusal] of [late, held.at(-1) ?? []]) {
    assert.ok(refusal instanceof QueueRefusal);
    assert.equal(refusal.reason, 'displaced');
    assert.equal(refusal.ran, 'no');
    assert.ok((refusal.retryAfterMs ?? 0) >= HELD_MS);
  }
  assert.deepEqual(urgent, []);
  await clock.tickAsync(HELD_MS + 20);
  assert.deepEqual(urgent, [undefined]);
  assert.ok(held.slice(0, -1).every(([first]) => first === undefined));
  assert.equal(filling.countHeld('drafts'), 0);
});

test('a held request is refused as soon as its data centre is evacuated', async () => {
  const {placement, update} = buildEntry();
  update({
    servers: [buildServer({dataCentre: 'b'})],
    evacuation: {revision: 1, dataCentres: []},
  });
  const outcomes = acquire(placement, buildDemand());
  await clock.tickAsync(50);
  assert.deepEqual(outcomes, []);
  update({evacuation: {revision: 2, dataCentres: ['b']}});
  await clock.tickAsync(0);
  assert.deepEqual(outcomes, ['data_centre_evacuated']);
});

test('a held request is held on while all known servers want a pause or leave, since others may register', async () => {
  const {table, placement, update} = buildEntry();
  const server = buildServer();
  update({servers: [server]});
  const outcomes = acquire(placement, buildDemand());
  const pause = {isLeaving: false, holdMs: 300};
  table.notices.record(server.registration, pause);
  placement.offerSlots();
  await clock.tickAsync(10);
  assert.deepEqual(outcomes, []);
  const departure = {isLeaving: true, holdMs: undefined};
  table.notices.record(server.registration, departure);
  placement.offerSlots();
  await clock.tickAsync(10);
  assert.deepEqual(outcomes, []);
  update({servers: [describeServer('s2', '10.0.0.2:80', {slots: SLOTS})]});
  await clock.tickAsync(1_000);
  assert.deepEqual(outcomes, ['s2']);
  assert.equal(table.filling.countHeld('drafts'), 0);
});

test('neither a stream that has begun nor a request that was sent before is held', async () => {
  const {table, placement, update} = buildEntry();
  update({servers: [buildServer()]});
  const fresh = acquire(placement, buildDemand());
  const begun = acquire(placement, buildDemand({objectiveAt: undefined}));
  const resent = acquire(placement, buildDemand({tried: new Set(['s2'])}));
  await clock.tickAsync(0);
  assert.deepEqual(
    {fresh, begun, resent},
    {fresh: [], begun: ['s1'], resent: ['s1']},
  );
  assert.equal(table.filling.countHeld('drafts'), 1);
});

test('an explanation says that the first request waits while the directory fills, and is not certain of a server', async () => {
  const entry = new ExplainedEntry('estimated', buildExplainedConfiguration());
  entry.servers.update({servers: [buildServer({slots: 4})]});
  const question = {
    host: 'shop.example',
    target: '/drafts/1',
    customer: 'clinic',
    requestId: 'r1',
    promptTokens: 100,
    answerTokens: 20,
  };
  const sure = {type: 'sent', server: 's1', isCertain: true};
  assert.deepEqual((await entry.explain(question)).outcome, sure);
  const {filling} = entry.servers;
  filling.update({directory: {ageMs: 0, fillMs: 60_000}});
  assert.equal((await entry.explain(question)).outcome.type, 'waits');
  // All that were asked for by now may be sent.
  filling.update({directory: {ageMs: 42_850, fillMs: 60_000}});
  Math.random = () => 0;
  const signal = new AbortController().signal;
  const startBy = performance.now() + 60_000;
  await filling.waitTurn({service: 'drafts', startBy, signal});
  const {outcome} = await entry.explain(question);
  assert.deepEqual(outcome, {...sure, isCertain: false});
});
