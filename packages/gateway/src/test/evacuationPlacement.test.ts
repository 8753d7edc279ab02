import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import FakeTimers, {Clock} from '@sinonjs/fake-timers';
import type {FleetUpdate, ServerListing} from '@sycamorehead/fleet';
import {PrefillRates} from '@sycamorehead/routing';
import type {ServiceRollout} from '@sycamorehead/schema';
import {AnswerTimes} from '../lib/AnswerTimes.js';
import {Placement, PlacementRequest} from '../lib/Placement.js';
import type {KnownServer} from '../lib/KnownServer.js';
import {ServerTable} from '../lib/ServerTable.js';
import {VersionSplit} from '../lib/VersionSplit.js';
import {buildPlacementRequest} from './buildPlacementRequest.js';
import {describeServer} from './FakeServer.js';

const EVACUATED: FleetUpdate = {evacuation: {revision: 1, dataCentres: ['b']}};
const TAKEN_BACK: FleetUpdate = {evacuation: {revision: 2, dataCentres: []}};
const ROLLOUT: ServiceRollout = {
  service: 'drafts',
  target: 'v2',
  durationMs: 9_000,
  phase: 'in_progress',
  share: 0.5,
  isEarly: true,
  number: 1,
};

let clock: Clock;

beforeEach(() => {
  clock = FakeTimers.install({
    toFake: ['setTimeout', 'clearTimeout', 'performance'],
  });
});

afterEach(() => clock.uninstall());

/** Builds an entry that knows a server in each data centre; `sa` stands in `a`. */
function buildEntry(
  overrides: Partial<ServerListing['registration']> = {},
  dataCentres = ['a', 'b', 'c'],
) {
  const table = new ServerTable();
  const versions = new VersionSplit(5_000);
  const placement = new Placement({
    servers: table,
    versions,
    rates: new PrefillRates(),
    times: new AnswerTimes(),
    policy: 'sampled',
    dataCentre: 'b',
    countEntries: () => 1,
  });
  const update = (state: FleetUpdate) => {
    table.update(state);
    placement.offerSlots();
  };
  const servers = dataCentres.map((dataCentre, index) =>
    describeServer(`s${dataCentre}`, `10.0.0.${index + 1}:80`, {
      dataCentre,
      ...overrides,
    }),
  );
  const find = (id: string): KnownServer => {
    const found = [...table.listReady('drafts')].find(
      ({listing}) => listing.registration.id === id,
    );
    assert.ok(found, `${id} is not ready`);
    return found;
  };
  return {table, versions, placement, servers, update, find};
}

function buildDemand(overrides: Partial<PlacementRequest> = {}) {
  return {...buildPlacementRequest('own'), ...overrides};
}

/** Builds the demand of a request whose shared segment has a server that all entries prefer. */
function buildSharedDemand(segment: string): PlacementRequest {
  const demand = buildPlacementRequest('own');
  const promptSegments = [
    {id: segment, tokens: 5_000},
    {id: 'own', tokens: 100},
  ];
  return {...demand, request: {...demand.request, promptSegments}} as never;
}

function listIds(servers: readonly KnownServer[]): string[] {
  return servers.map(({listing}) => listing.registration.id);
}

/** Starts to acquire a slot; the returned list gets the outcome. */
function acquire(placement: Placement, demand: PlacementRequest): string[] {
  const outcomes: string[] = [];
  placement.acquire(demand).then(
    ({server}) => outcomes.push(server.listing.registration.id),
    (error: {kind: string}) => outcomes.push(error.kind),
  );
  return outcomes;
}

test('no server of an evacuated data centre is ready, accepts a request or gets permits', () => {
  const {table, servers, update, find} = buildEntry();
  update({servers});
  const server = find('sb');
  assert.ok(table.isAccepting(server));
  update(EVACUATED);
  assert.deepEqual(listIds(table.listReady('drafts')), ['sa', 'sc']);
  assert.equal(table.isAccepting(server), false);
  const permitted = table.listRegistrations().map(({id}) => id);
  assert.deepEqual(permitted, ['sa', 'sc']);
  // A server that registers during the evacuation.
  const late = describeServer('sd', '10.0.0.9:80', {dataCentre: 'b'});
  update({servers: [late]});
  assert.deepEqual(listIds(table.listReady('drafts')), ['sa', 'sc']);
});

test('a state that is not newer changes nothing, whoever sends it', () => {
  const {table, servers, update} = buildEntry();
  const isEvacuated = () => table.listReady('drafts').length === 2;
  const stale: FleetUpdate = {evacuation: {revision: 0, dataCentres: []}};
  update({servers, ...EVACUATED});
  for (const late of [
    stale,
    {evacuation: {revision: 1, dataCentres: []}},
    // Whole states of an instance that is catching up, and of one of an earlier build.
    {configurationVersion: 3, isCatchingUp: true},
    {configurationVersion: 3},
  ]) {
    update(late);
    assert.ok(isEvacuated());
  }
  update(TAKEN_BACK);
  assert.ok(!isEvacuated());
  update(EVACUATED);
  assert.ok(!isEvacuated());
});

test('preferred servers in an evacuated data centre get nothing, also not from their own data centre', async () => {
  const {placement, servers, update} = buildEntry({slots: 1_000});
  update({servers, ...EVACUATED});
  for (let count = 0; count < 200; count += 1) {
    const demand = buildSharedDemand(`shared${count}`);
    const {server} = await placement.acquire(demand);
    assert.notEqual(server.listing.registration.id, 'sb');
    const next = placement.tryAcquire(demand);
    assert.notEqual(next?.server.listing.registration.id, 'sb');
  }
});

test('a request that only evacuated servers may run is refused at once, and tells when to return', async () => {
  const {placement, servers, update} = buildEntry({}, ['b']);
  update({servers, ...EVACUATED});
  const error = await placement.acquire(buildDemand()).then(
    () => assert.fail('it was sent'),
    (thrown: {kind: string; ran: string; retryAfterMs: number}) => thrown,
  );
  assert.equal(error.kind, 'data_centre_evacuated');
  assert.equal(error.ran, 'no');
  assert.ok(error.retryAfterMs >= 2_000 && error.retryAfterMs <= 2_500);
  assert.equal(placement.tryAcquire(buildDemand()), undefined);
  update(TAKEN_BACK);
  assert.equal(placement.tryAcquire(buildDemand())?.server.inFlight, 1);
});

test('requests that wait for evacuated servers are refused when the order comes, others wait on', async () => {
  const {placement, servers, update, table} = buildEntry({slots: 1}, ['b']);
  update({servers});
  const held = await placement.acquire(buildDemand());
  const waiting = [1, 2, 3].map(() => acquire(placement, buildDemand()));
  await clock.tickAsync(100);
  assert.deepEqual(waiting, [[], [], []]);
  update(EVACUATED);
  await clock.tickAsync(0);
  const refused = ['data_centre_evacuated'];
  assert.deepEqual(waiting, [refused, refused, refused]);
  assert.equal(held.server.inFlight, 1);

  const other = describeServer('sa', '10.0.0.7:80', {slots: 1});
  update({servers: [other]});
  await placement.acquire(buildDemand());
  const later = acquire(placement, buildDemand());
  held.release();
  await clock.tickAsync(100);
  assert.deepEqual(later, [], 'it waits for the server that is not evacuated');
  update(TAKEN_BACK);
  await clock.tickAsync(0);
  assert.deepEqual(later, ['sb']);
  assert.equal(table.listReady('drafts').length, 2);
});

test('a request behind others that wait is refused at once too', async () => {
  const {placement, versions, servers, update} = buildEntry({slots: 1});
  const [a, b, c] = servers as [ServerListing, ServerListing, ServerListing];
  const fresh = {
    ...a,
    registration: {...a.registration, version: 'v2'},
  };
  versions.update([ROLLOUT]);
  const gone = {...c.registration, state: 'gone' as const};
  update({servers: [fresh, b, {...c, registration: gone}], ...EVACUATED});
  const buildNewDemand = () => buildDemand({variant: 'new'});
  await placement.acquire(buildNewDemand());
  const waiting = acquire(placement, buildNewDemand());
  // The old version stands only in the evacuated data centre, and must not go to the version on trial.
  await assert.rejects(placement.acquire(buildDemand({variant: 'old'})), {
    kind: 'data_centre_evacuated',
  });
  assert.deepEqual(waiting, []);
});

test('a new version that stands only in an evacuated data centre gets nothing, and its requests go to the old one', async () => {
  for (const phase of ['in_progress', 'completed'] as const) {
    const {placement, versions, servers, update} = buildEntry();
    const [a, b] = servers as [ServerListing, ServerListing];
    const fresh = {...b, registration: {...b.registration, version: 'v2'}};
    versions.update([{...ROLLOUT, phase, share: 1}]);
    update({servers: [a, fresh], ...EVACUATED});
    const variant = versions.assignVariant('drafts', 'session-1', 'r1');
    assert.equal(variant, 'new');
    const {server} = await placement.acquire(buildDemand({variant}));
    assert.equal(server.listing.registration.id, 'sa');
  }
});

test('nothing is sent before an entry that starts knows the evacuation', async () => {
  const {table, placement, servers, update} = buildEntry();
  table.evacuation.expectState();
  const waiting = acquire(placement, buildDemand());
  update({servers, configurationVersion: 3, isCatchingUp: true});
  update({servers});
  await clock.tickAsync(200);
  assert.deepEqual(waiting, []);
  assert.deepEqual(table.listReady('drafts'), []);
  assert.deepEqual(table.listRegistrations(), []);
  assert.equal(table.evacuation.isKnown, false);
  assert.equal(placement.tryAcquire(buildDemand()), undefined);
  const evacuation = {revision: 4, dataCentres: ['a', 'b']};
  update({configurationVersion: 3, evacuation});
  await clock.tickAsync(0);
  assert.deepEqual(waiting, ['sc']);
});

test('an entry gets along with control instances of an earlier build', async () => {
  const {table, placement, servers, update} = buildEntry();
  table.evacuation.expectState();
  update({servers, configurationVersion: 3});
  assert.equal(table.listReady('drafts').length, 3);
  await placement.acquire(buildDemand());
});

test('the servers of a data centre that is taken back are announced, and return gradually', () => {
  const {table, servers, update, find} = buildEntry();
  const returned: string[][] = [];
  table.addReturnListener(registrations =>
    returned.push(registrations.map(({id}) => id)),
  );
  update({servers, evacuation: {revision: 1, dataCentres: ['b', 'c']}});
  assert.deepEqual(returned, []);
  update({evacuation: {revision: 2, dataCentres: ['c']}});
  assert.deepEqual(returned, [['sb']]);
  assert.ok(table.isSlow(find('sb')));
  assert.equal(table.isSlow(find('sa')), false);
  clock.tick(2_001);
  assert.equal(table.isSlow(find('sb')), false);
  update({evacuation: {revision: 2, dataCentres: ['c']}});
  assert.equal(returned.length, 1);
});

test('the servers of a data centre whose order and end were both missed return like others', () => {
  const {table, servers, update, find} = buildEntry();
  const returned: string[][] = [];
  table.evacuation.expectState();
  table.addReturnListener(registrations =>
    returned.push(registrations.map(({id}) => id)),
  );
  // What ended before the entry started is no news.
  const first = {revision: 2, dataCentres: [], ended: {a: 2}};
  update({servers, evacuation: first});
  assert.deepEqual(returned, []);
  const second = {revision: 5, dataCentres: ['c'], ended: {a: 2, b: 4}};
  update({evacuation: second});
  assert.deepEqual(returned, [['sb']]);
  assert.ok(table.isSlow(find('sb')));
  // An end and a new order: it ends later.
  const third = {revision: 7, dataCentres: ['c'], ended: {a: 2, b: 4, c: 6}};
  update({evacuation: third});
  assert.equal(returned.length, 1);
  const last = {revision: 8, dataCentres: [], ended: {a: 2, b: 4, c: 8}};
  update({evacuation: last});
  assert.deepEqual(returned.slice(1), [['sc']]);
});

test('an evacuated server without a limit does not lengthen the wait for limited ones', async () => {
  const {placement, table, servers, update, find} = buildEntry({slots: 1}, [
    'a',
    'b',
  ]);
  update({servers, ...EVACUATED});
  const {registration} = find('sa').listing;
  table.limits.record(registration, {type: 'named', perSecond: 100}, 0);
  find('sa').inFlight = 1;
  const refused = assert.rejects(placement.acquire(buildDemand()));
  await clock.tickAsync(450);
  assert.equal(placement.countWaiting(), 0);
  await refused;
});
