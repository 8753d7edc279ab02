import assert from 'node:assert/strict';
import {afterEach, beforeEach, describe, mock, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {EntryMonitor} from '../lib/EntryMonitor.js';
import {createRandom} from './createRandom.js';
import {formatAnswer} from './FakeServer.js';
import {formatRequest} from './GatewayHarness.js';
import {startGateway, startServer, stopStarted, track} from './startGateway.js';

const SHORT_TARGET_MS = 200;
const LONG_TARGET_MS = 8_000;

/** Counts the requests of a thousand that are taken. */
function countTaken(monitor: EntryMonitor, targetMs: number): number {
  let taken = 0;
  for (let index = 0; index < 1_000; index += 1) {
    if (monitor.isTaking(targetMs)) taken += 1;
  }
  return taken;
}

describe('an entry and its own delay', () => {
  let clock: Clock;
  let queuedBytes = 0;
  let monitor: EntryMonitor;

  beforeEach(() => {
    mock.method(Math, 'random', createRandom(5));
    clock = FakeTimers.install({
      toFake: ['performance', 'setInterval', 'clearInterval'],
    });
    queuedBytes = 0;
    monitor = new EntryMonitor({
      linkMbps: 5.25,
      countQueuedBytes: () => queuedBytes,
    });
    monitor.start();
  });
  afterEach(() => {
    monitor.stop();
    clock.uninstall();
    mock.restoreAll();
  });

  /** Lets time pass in which each timer fires late. */
  function runLate(durationMs: number, stepMs: number): void {
    for (let at = 0; at < durationMs; at += stepMs) clock.jump(stepMs);
  }

  test('in calm, each request is taken', () => {
    clock.tick(3_000);
    assert.equal(countTaken(monitor, SHORT_TARGET_MS), 1_000);
    assert.equal(monitor.isOverloaded, false);
  });

  test('a delay refuses only what it makes late, and only a part of it', () => {
    runLate(3_000, 150);
    const taken = countTaken(monitor, SHORT_TARGET_MS);
    assert.ok(taken > 100 && taken < 600, `${taken} taken`);
    assert.equal(countTaken(monitor, LONG_TARGET_MS), 1_000);
    assert.equal(monitor.isOverloaded, false);
    clock.tick(4_000);
    assert.equal(countTaken(monitor, SHORT_TARGET_MS), 1_000);
  });

  test('neither one pause nor a freeze of the machine is a delay', () => {
    clock.tick(1_000);
    for (const pauseMs of [200, 800, 1_400]) {
      clock.jump(pauseMs);
      assert.equal(countTaken(monitor, SHORT_TARGET_MS), 1_000);
      assert.equal(monitor.isOverloaded, false);
      clock.tick(1_000);
    }
    clock.jump(5_000);
    clock.tick(1_000);
    assert.equal(countTaken(monitor, SHORT_TARGET_MS), 1_000);
    assert.equal(monitor.isOverloaded, false);
  });

  test('an entry that is late all the time is overloaded until it keeps up', () => {
    runLate(5_000, 500);
    assert.equal(monitor.isOverloaded, true);
    assert.ok(countTaken(monitor, SHORT_TARGET_MS) < 200);
    clock.tick(6_000);
    assert.equal(monitor.isOverloaded, false);
  });

  test('bytes that wait for a small link count by the time that they need', () => {
    queuedBytes = 130_000;
    clock.tick(5_000);
    assert.ok(Math.abs(monitor.pace.linkDelayMs - 198) < 10);
    assert.ok(countTaken(monitor, SHORT_TARGET_MS) < 700);
    assert.equal(countTaken(monitor, LONG_TARGET_MS), 1_000);
  });

  const TARGET_MS = 800;
  /** Work of one request on the processor, in milliseconds, done in as many turns of the event loop. */
  const WORK_MS = 100;
  const TURNS = 4;
  /** Requests a millisecond: half more than the processor can do. */
  const PER_MS = 1.5 / WORK_MS;

  // The load: 85 entries get the same number of callers each, and some have a third of the processor.
  test('an entry with a small processor answers in time what it takes of 1.5 times its capacity', () => {
    const served = [false, true].map(isJudging => {
      let turnMs = 0;
      let inTime = 0;
      let arrivals = 0;
      let due = 0;
      for (let at = 0; at < 30_000; at += turnMs) {
        // The work that is ready is done in one turn; what arrives meanwhile waits for the next.
        turnMs = Math.max(50, turnMs);
        clock.jump(turnMs);
        let workMs = 0;
        for (due += turnMs * PER_MS; due >= 1; due -= 1) {
          arrivals += 1;
          if (isJudging && !monitor.isTaking(TARGET_MS)) continue;
          workMs += WORK_MS;
          if (turnMs * TURNS <= TARGET_MS) inTime += 1;
        }
        turnMs = workMs;
      }
      return inTime / arrivals;
    });
    const [without = 0, judging = 0] = served;
    assert.ok(judging > without * 2, served.join(' '));
  });
});

describe('requests at an entry that does not keep up', () => {
  afterEach(stopStarted);

  test('are refused at once, as not run, and served once it keeps up', async () => {
    const server = await startServer('s1', (request, socket) =>
      socket.write(formatAnswer(request, 'served')),
    );
    const gateway = await startGateway({kind: 'unsafe'}, [server]);
    gateway.queuedBytes = 1e9;
    gateway.monitor.start();
    track({stop: () => Promise.resolve(gateway.monitor.stop())});
    while (!gateway.monitor.isOverloaded) await pause(10);
    mock.method(Math, 'random', () => 0);
    const refused = await gateway.exchange(formatRequest({method: 'POST'}));
    mock.restoreAll();
    assert.match(refused, /^HTTP\/1\.1 503 [^]*Retry-After: [^]*"ran":"no"/);
    assert.equal(server.received.length, 0);
    gateway.queuedBytes = 0;
    while (gateway.monitor.pace.linkDelayMs > 1) await pause(10);
    const served = await gateway.exchange(formatRequest({method: 'POST'}));
    assert.match(served, /^HTTP\/1\.1 200 /);
  });
});
