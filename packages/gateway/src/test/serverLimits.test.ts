import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {ServerLimits} from '../lib/ServerLimits.js';
import {describeServer} from './FakeServer.js';

const {registration: SERVER} = describeServer('s1', '10.0.0.1:80');
const KEY = 's1 1';
const NONE = {type: 'none'} as const;

let clock: Clock;
beforeEach(() => {
  clock = FakeTimers.install({toFake: ['performance']});
  clock.tick(1_000);
});
afterEach(() => clock.uninstall());

function buildNamed(perSecond: number) {
  return {type: 'named', perSecond} as const;
}

function takeReport(limits: ServerLimits) {
  return limits.takeReport([SERVER], () => 0);
}

test('an answer without a limit ends it only if its request was sent after the limit was heard', () => {
  const limits = new ServerLimits();
  limits.record(SERVER, buildNamed(2), 900);
  clock.tick(10);
  limits.record(SERVER, NONE, 950);
  assert.equal(limits.getPerSecond(SERVER), 2);
  limits.record(SERVER, NONE, 1_005);
  assert.equal(limits.getPerSecond(SERVER), undefined);
});

test('the newest of what several entries heard holds, in any order', () => {
  const limits = new ServerLimits();
  limits.addTable({[KEY]: [3, 100]});
  limits.addTable({[KEY]: [2, 400]});
  assert.equal(limits.getPerSecond(SERVER), 3);
  limits.addTable({[KEY]: [null, 50]});
  limits.addTable({[KEY]: [3, 80]});
  assert.equal(limits.getPerSecond(SERVER), undefined);
});

test('a malformed limit changes nothing', () => {
  const limits = new ServerLimits();
  limits.record(SERVER, {type: 'malformed', text: '3,4'}, 900);
  assert.equal(limits.isLimited(SERVER), false);
  limits.record(SERVER, buildNamed(2), 900);
  limits.record(SERVER, {type: 'malformed', text: '-1'}, 1_000);
  assert.equal(limits.getPerSecond(SERVER), 2);
});

test('a later start of a server has no limit', () => {
  const limits = new ServerLimits();
  limits.record(SERVER, buildNamed(2), 900);
  assert.equal(limits.isLimited({id: 's1', startedAtMs: 2}), false);
});

test('what an entry was told is reported only to an instance that does not know it', () => {
  const limits = new ServerLimits();
  limits.addTable({[KEY]: [2, 100]});
  limits.applyReply({entries: 2, load: {}, limits: {[KEY]: [2, 100]}}, 1_000);
  assert.deepEqual(takeReport(limits).hearsay, {});
  limits.applyReply({entries: 2, load: {}, limits: {}}, 1_000);
  assert.deepEqual(takeReport(limits).hearsay, {[KEY]: [2, 100]});
  assert.deepEqual(takeReport(limits).limits, {});
});

test('nothing is reported of a server that is no longer listed', () => {
  const limits = new ServerLimits();
  limits.record(SERVER, buildNamed(2), 900);
  assert.deepEqual(
    limits.takeReport([], () => 0),
    {limits: {}, hearsay: {}, wanted: {}},
  );
});

test('requests since the last report and those that wait are wanted, less what is granted', () => {
  const limits = new ServerLimits();
  limits.record(SERVER, buildNamed(2), 900);
  for (let count = 0; count < 3; count += 1) limits.recordDemand('drafts');
  limits.applyReply({entries: 2, load: {}, permits: {[KEY]: 1}}, 1_000);
  assert.deepEqual(limits.takeReport([SERVER], () => 2).wanted, {[KEY]: 4});
  assert.deepEqual(takeReport(limits).wanted, {});
});

test('a permit is used once and expires', () => {
  const limits = new ServerLimits();
  limits.record(SERVER, buildNamed(2), 900);
  assert.equal(limits.isPermitted(SERVER), false);
  limits.applyReply({entries: 2, load: {}, permits: {[KEY]: 2}}, 1_000);
  assert.equal(limits.isPermitted(SERVER), true);
  limits.takePermit(SERVER);
  assert.equal(limits.isPermitted(SERVER), true);
  clock.tick(1_000);
  assert.equal(limits.isPermitted(SERVER), false);
});

test('a reply that comes late grants nothing', () => {
  const limits = new ServerLimits();
  limits.record(SERVER, buildNamed(2), 900);
  clock.tick(3_000);
  limits.applyReply({entries: 2, load: {}, permits: {[KEY]: 2}}, 1_000);
  assert.equal(limits.hasPermit(SERVER), false);
});

test('an instance that hears too few others counts as none', () => {
  const limits = new ServerLimits();
  limits.record(SERVER, buildNamed(10), 900);
  for (let count = 0; count < 20; count += 1) {
    clock.tick(100);
    limits.applyReply(
      {entries: 1, load: {}, permits: {}, isIsolated: true},
      performance.now(),
    );
    takeReport(limits);
    if (limits.hasPermit(SERVER)) return;
  }
  assert.fail('no request was permitted');
});

test('a frozen entry does not save up what it may send without control', () => {
  const limits = new ServerLimits();
  limits.record(SERVER, buildNamed(1), 900);
  clock.tick(2_000);
  limits.advance(SERVER);
  clock.tick(60_000);
  let sent = 0;
  for (; sent < 10; sent += 1) {
    limits.advance(SERVER);
    if (!limits.hasPermit(SERVER)) break;
    limits.takePermit(SERVER);
  }
  assert.ok(sent <= 1, `${sent} sent`);
});

test('an entry that knows no limit reports nothing', () => {
  const limits = new ServerLimits();
  limits.recordDemand('drafts');
  limits.record(SERVER, NONE, 900);
  assert.deepEqual(takeReport(limits), {});
});
