import assert from 'node:assert/strict';
import {test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import {SERVER_POLICIES} from '../lib/serverPolicies.js';
import type {RoutingContext} from '../lib/RoutingContext.js';
import {
  buildContext,
  buildRequest,
  buildServer,
  recordSpeed,
} from './fixtures.js';

const SERVERS = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7', 'e8'];

function buildServers() {
  return SERVERS.map(id => buildServer(id));
}

function countChoices(
  context: RoutingContext,
  servers: ReturnType<typeof buildServers>,
  times: number,
): Map<string, number> {
  const policy = SERVER_POLICIES.expected_finish(context);
  const counts = new Map<string, number>();
  for (let time = 0; time < times; time++) {
    const {choice} = policy.choose(buildRequest(), servers);
    const {id} = choice.announcement;
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

async function runWithFakeClock(
  run: (clock: ReturnType<typeof FakeTimers.install>) => void | Promise<void>,
): Promise<void> {
  const clock = FakeTimers.install();
  try {
    await run(clock);
  } finally {
    clock.uninstall();
  }
}

test('a straggler is ejected although its load report shows it idle', () =>
  runWithFakeClock(() => {
    const idle = {running: 0, queued: 0, tokensPerSecond: 0, ageMs: 5_000};
    const servers = SERVERS.map(id => buildServer(id, idle));
    const context = buildContext(servers);
    recordSpeed(context, servers, 10);
    recordSpeed(context, servers.slice(0, 1), 100);
    const counts = countChoices(context, servers, 200);
    assert.equal(counts.get('e1'), undefined);
    assert.equal(counts.size, 7);
  }));

test('no server is ejected if all are slow at once', () =>
  runWithFakeClock(() => {
    const servers = buildServers();
    const context = buildContext(servers);
    recordSpeed(context, servers, 10);
    recordSpeed(context, servers, 100);
    assert.ok(
      context.view.describe(servers).every(({isEjected}) => !isEjected),
    );
    assert.equal(countChoices(context, servers, 200).size, 8);
  }));

test('at most a third of the servers is ejected as they slow down one after another', () =>
  runWithFakeClock(() => {
    const servers = buildServers();
    const context = buildContext(servers);
    recordSpeed(context, servers, 10);
    for (const server of servers) {
      recordSpeed(context, [server], 100);
      const ejected = context.view
        .describe(servers)
        .filter(({isEjected}) => isEjected);
      assert.ok(ejected.length <= 2, `${ejected.length} are ejected`);
    }
  }));

test('an ejected server without measurements is probed by one request and returns once it is fast', () =>
  runWithFakeClock(clock => {
    const servers = buildServers();
    const context = buildContext(servers);
    recordSpeed(context, servers, 10);
    recordSpeed(context, servers.slice(0, 1), 100);
    const policy = SERVER_POLICIES.expected_finish(context);
    clock.tick(2_100);
    recordSpeed(context, servers.slice(1), 10);
    const reasons = Array.from(
      {length: 50},
      () => policy.choose(buildRequest(), servers).reason,
    );
    assert.equal(reasons.filter(reason => reason === 'probe').length, 1);
    recordSpeed(context, servers.slice(0, 1), 10);
    const [state] = context.view.describe(servers);
    assert.equal(state?.isEjected, false);
  }));

test("one entry's wrong measurement of a server does not eject it at other entries", () =>
  runWithFakeClock(() => {
    const servers = buildServers();
    const context = buildContext(servers);
    recordSpeed(context, servers, 10);
    for (const [index, tokenMs] of [500, 10, 10].entries()) {
      context.peers.receive({
        entry: `entry-${index}`,
        sequence: 1,
        queued: {short: 0, long: 0},
        servers: [
          {server: 'e1', count: 0, long: 0, speed: {tokenMs, ageMs: 0}},
        ],
        customers: [],
      });
    }
    assert.ok(
      context.view.describe(servers).every(({isEjected}) => !isEjected),
    );
  }));

test('entries with the same information do not all choose the same idle server', () =>
  runWithFakeClock(() => {
    const servers = buildServers();
    const contexts = SERVERS.map(() => buildContext(servers));
    for (const context of contexts) recordSpeed(context, servers, 10);
    const chosen = contexts.map(
      context =>
        SERVER_POLICIES.expected_finish(context).choose(buildRequest(), servers)
          .choice.announcement.id,
    );
    assert.ok(new Set(chosen).size >= 3, chosen.join());
  }));

test('long work leaves the reserved slots to short work', () =>
  runWithFakeClock(clock => {
    const servers = buildServers();
    const context = buildContext(servers);
    recordSpeed(context, servers, 10);
    clock.tick(10_000);
    context.reserve.update(16);
    context.reserve.record({outputTokens: 8, units: 900, isLong: false});
    context.reserve.record({outputTokens: 200, units: 100, isLong: true});
    const policy = SERVER_POLICIES.expected_finish(context);
    const buildLong = () => buildRequest({kind: 'brief'});
    for (let time = 0; time < 8; time++) {
      const request = buildLong();
      const {choice} = policy.choose(request, servers);
      context.tracker.begin(request, choice.announcement.id);
    }
    const most = Math.max(
      ...SERVERS.map(id => context.tracker.readWork(id).long),
    );
    assert.equal(most, 1, 'one on each server');
  }));
