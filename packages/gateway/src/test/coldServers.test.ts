import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {ServerRegistry} from '@sycamorehead/fleet';
import type {RoutedService, ServerRegistration} from '@sycamorehead/schema';
import {PrefillRates} from '@sycamorehead/routing';
import {AnswerTimes} from '../lib/AnswerTimes.js';
import {ColdServers} from '../lib/ColdServers.js';
import {Placement} from '../lib/Placement.js';
import {ServerTable} from '../lib/ServerTable.js';
import {VersionSplit} from '../lib/VersionSplit.js';
import {buildPlacementRequest} from './buildPlacementRequest.js';
import {describeServer} from './FakeServer.js';

const KEY = 's1 1';
const SERVICE: RoutedService = {
  name: 'drafts',
  healthPath: '/',
  maxConnections: 50,
  engine: undefined,
  warmup: {durationMs: 3_000, perSecond: 10},
};

let clock: Clock;
let cold: ColdServers;
beforeEach(() => {
  clock = FakeTimers.install({
    now: 1_000_000,
    toFake: ['performance', 'Date'],
  });
  clock.tick(1_000);
  cold = new ColdServers();
  cold.setServices([SERVICE]);
});
afterEach(() => clock.uninstall());

function build(overrides: Partial<ServerRegistration> = {}) {
  return describeServer('s1', '10.0.0.1:80', overrides).registration;
}

/** Lets a report be answered with permits for the server. */
function issuePermits(count: number, reply: object = {}): void {
  const sentAt = performance.now();
  cold.takeReport([build()], () => 0);
  cold.applyReply({coldPermits: {[KEY]: count}, ...reply}, sentAt);
}

test('a server is cold for as long as its heartbeat says', () => {
  cold.recordRegistration(build({slowStartMs: 2_000}));
  clock.tick(1_999);
  assert.equal(cold.isCold(build()), true);
  clock.tick(1);
  assert.equal(cold.isCold(build()), false);
  assert.equal(cold.isPermitted(build()), true);
});

test('a service without a warm-up has no cold servers', () => {
  cold.setServices([{...SERVICE, warmup: undefined} as RoutedService]);
  cold.recordRegistration(build({slowStartMs: 2_000}));
  cold.recordNotice(build(), 2_000);
  cold.expectCold([build()]);
  assert.equal(cold.isCold(build()), false);
});

test('a server that names an absurd time is believed for ten minutes, in an answer for one', () => {
  cold.recordRegistration(build({slowStartMs: 1e12}));
  clock.tick(10 * 60_000 - 1);
  assert.equal(cold.isCold(build()), true);
  clock.tick(1);
  assert.equal(cold.isCold(build()), false);
  cold.recordNotice(build(), 999_999_999);
  clock.tick(59_999);
  assert.equal(cold.isCold(build()), true);
  clock.tick(1);
  assert.equal(cold.isCold(build()), false);
});

test('a server that counts down a long warm-up stays cold to its end', () => {
  const registry = new ServerRegistry(
    {silentMs: 5_000, expiryMs: 20_000, tombstoneMs: 20_000},
    () => true,
  );
  for (let second = 0; second < 120; second += 1) {
    const slowStartMs = 120_000 - second * 1_000;
    const registration = build({slowStartMs, sequence: second + 1});
    if (registry.accept(registration)) cold.recordRegistration(registration);
    assert.equal(cold.isCold(build()), true, `after ${second} s`);
    clock.tick(1_000);
  }
});

test('a later start of a server says for itself whether it is cold', () => {
  cold.recordRegistration(build({slowStartMs: 2_000}));
  assert.equal(cold.isCold(build({startedAtMs: 2})), false);
});

test('a late heartbeat does not end a coldness that a later one began', () => {
  const table = new ServerTable();
  table.cold.setServices([SERVICE]);
  const list = (sequence: number, slowStartMs: number) =>
    table.update({
      servers: [describeServer('s1', '10.0.0.1:80', {sequence, slowStartMs})],
    });
  list(1, 0);
  list(3, 2_000);
  list(2, 0);
  assert.equal(table.cold.isCold(build()), true);
  list(4, 0);
  assert.equal(table.cold.isCold(build()), false);
});

test('what the head of an answer says is not ended by a heartbeat', () => {
  cold.recordNotice(build(), 500);
  cold.recordRegistration(build({sequence: 2, slowStartMs: 0}));
  assert.equal(cold.isCold(build()), true);
  cold.recordNotice(build(), 0);
  cold.recordNotice(build(), undefined);
  assert.equal(cold.isCold(build()), true);
  clock.tick(500);
  assert.equal(cold.isCold(build()), false);
});

test('an expected coldness ends with a newer heartbeat or with the warm-up', () => {
  cold.expectCold([build({sequence: 5})]);
  assert.equal(cold.isCold(build()), true);
  cold.recordRegistration(build({sequence: 5}));
  assert.equal(cold.isCold(build()), true);
  cold.recordRegistration(build({sequence: 6}));
  assert.equal(cold.isCold(build()), false);
  cold.expectCold([build({sequence: 6})]);
  clock.tick(3_000);
  assert.equal(cold.isCold(build()), false);
});

test('an entry without grants sends nothing to a cold server', () => {
  cold.recordRegistration(build({slowStartMs: 50_000}));
  for (let count = 0; count < 400; count += 1) {
    clock.tick(100);
    cold.takeReport([build()], () => 3);
    assert.equal(cold.isPermitted(build()), false);
  }
});

test('a permit is used once and expires', () => {
  cold.recordRegistration(build({slowStartMs: 2_000}));
  issuePermits(2);
  assert.ok(cold.takePermit(build()));
  assert.equal(cold.isPermitted(build()), true);
  clock.tick(300);
  assert.equal(cold.isPermitted(build()), false);
  assert.equal(cold.takePermit(build()), undefined);
});

test('permits of an instance that hears too few others, or of absurd number, are not used', () => {
  cold.recordRegistration(build({slowStartMs: 2_000}));
  issuePermits(1, {isIsolated: true});
  issuePermits(1e9);
  issuePermits(NaN);
  assert.equal(cold.isPermitted(build()), false);
});

test('a permit whose send was not made or counted is given back while it lives', () => {
  cold.recordRegistration(build({slowStartMs: 2_000}));
  issuePermits(1);
  const permit = cold.takePermit(build());
  assert.ok(permit);
  clock.tick(200);
  cold.restorePermit(build(), permit);
  assert.equal(cold.isPermitted(build()), true);
  cold.takePermit(build());
  clock.tick(200);
  cold.restorePermit(build(), permit);
  assert.equal(cold.isPermitted(build()), false);
});

test('a planned send is confirmed only with a permit that still lives', () => {
  assert.equal(cold.isConfirmed(build(), undefined), true);
  cold.recordRegistration(build({slowStartMs: 2_000}));
  assert.equal(cold.isConfirmed(build(), undefined), false);
  issuePermits(1);
  const permit = cold.takePermit(build());
  assert.equal(cold.isConfirmed(build(), permit), true);
  clock.tick(300);
  assert.equal(cold.isConfirmed(build(), permit), false);
});

test('permits do not survive a suspension in which the monotonic clock stands still', () => {
  cold.recordRegistration(build({slowStartMs: 2_000}));
  issuePermits(2);
  const permit = cold.takePermit(build());
  clock.setSystemTime(Date.now() + 5_000);
  assert.equal(cold.isPermitted(build()), false);
  assert.equal(cold.isConfirmed(build(), permit), false);
  cold.takeReport([build()], () => 1);
  const sentAt = performance.now();
  clock.setSystemTime(Date.now() + 5_000);
  cold.applyReply({coldPermits: {[KEY]: 1}}, sentAt);
  assert.equal(cold.isPermitted(build()), false);
  issuePermits(1);
  assert.equal(cold.isPermitted(build()), true);
});

test('requests since the last report and those that wait are wanted, less what is in hand', () => {
  const servers = ['s1', 's2', 's3'].map(
    id => describeServer(id, '10.0.0.1:80').registration,
  );
  for (const server of servers) {
    cold.recordRegistration({...server, slowStartMs: 2_000});
  }
  const countWanted = (waiting: number) => {
    const {coldWanted = {}} = cold.takeReport(servers, () => waiting);
    return Object.values(coldWanted).reduce((sum, count) => sum + count, 0);
  };
  cold.recordDemand('drafts');
  cold.recordDemand('drafts');
  assert.equal(countWanted(2), 4);
  assert.equal(countWanted(0), 0);
  issuePermits(1);
  assert.equal(countWanted(4), 3);
  const {coldWanted} = cold.takeReport(servers, () => 7);
  assert.deepEqual(Object.values(coldWanted ?? {}), [2, 2, 2]);
});

test('an entry that knows no cold server reports nothing', () => {
  cold.recordDemand('drafts');
  assert.deepEqual(
    cold.takeReport([], () => 5),
    {},
  );
});

test('permits are wanted of the cold servers that can take a request now', () => {
  const table = new ServerTable();
  table.cold.setServices([SERVICE]);
  const ids = ['free', 'full', 'ejected', 'held', 'leaving', 'warm'];
  table.update({
    servers: ids.map((id, index) =>
      describeServer(id, `10.0.0.${index + 1}:80`, {
        slots: 8,
        slowStartMs: id === 'warm' ? 0 : 2_000,
      }),
    ),
  });
  table.setOthersLoad({full: [8, 0]});
  for (const server of table.listReady('drafts')) {
    const {registration} = server.listing;
    const {id} = registration;
    if (id === 'ejected') table.recordFailure(server, 'refused', true);
    if (id !== 'held' && id !== 'leaving') continue;
    table.notices.record(registration, {
      isLeaving: id === 'leaving',
      holdMs: id === 'held' ? 500 : undefined,
    });
  }
  assert.deepEqual(
    table.listCold().map(({id}) => id),
    ['free'],
  );
});

/** Reserves a slot of a server that is cold if it is told so before. */
function reserve(table: ServerTable) {
  const placement = new Placement({
    servers: table,
    versions: new VersionSplit(5_000),
    rates: new PrefillRates(),
    times: new AnswerTimes(),
    policy: 'sampled',
    dataCentre: 'a',
    countEntries: () => 1,
  });
  const reservation = placement.tryAcquire({
    ...buildPlacementRequest('own'),
    service: SERVICE,
  });
  assert.ok(reservation);
  return reservation;
}

/** Builds a table with a cold server, and grants a permit for it. */
function buildColdTable(): ServerTable {
  const table = new ServerTable();
  cold = table.cold;
  cold.setServices([SERVICE]);
  table.update({
    servers: [describeServer('s1', '10.0.0.1:80', {slowStartMs: 9_000})],
  });
  issuePermits(1);
  return table;
}

test('a reservation without a send gives its permit back', () => {
  const table = buildColdTable();
  const reservation = reserve(table);
  assert.equal(cold.isPermitted(build()), false);
  reservation.release();
  assert.equal(cold.isPermitted(build()), true);
});

test('a permit of a send that was made is not given back with its slot', () => {
  const reservation = reserve(buildColdTable());
  assert.equal(reservation.confirmSend(), true);
  reservation.release();
  assert.equal(cold.isPermitted(build()), false);
});

test('a send whose permit has expired takes another one that is in hand', () => {
  const reservation = reserve(buildColdTable());
  clock.tick(300);
  assert.equal(reservation.confirmSend(), false);
  issuePermits(1);
  assert.equal(reservation.confirmSend(), true);
  assert.equal(cold.isPermitted(build()), false);
});
