import assert from 'node:assert/strict';
import {afterEach, beforeEach, mock, test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import type {Clock} from '@sinonjs/fake-timers';
import {PrefillRates} from '@sycamorehead/routing';
import {AnswerTimes} from '../lib/AnswerTimes.js';
import type {KnownServer} from '../lib/KnownServer.js';
import {Placement} from '../lib/Placement.js';
import {ServerTable} from '../lib/ServerTable.js';
import {VersionSplit} from '../lib/VersionSplit.js';
import {buildPlacementRequest} from './buildPlacementRequest.js';
import {createRandom} from './createRandom.js';
import {describeServer} from './FakeServer.js';
import {buildConfiguration} from './GatewayHarness.js';

const SERVERS = 4;
const KIND = 'drafts';
/** Time from one request of the entry to the next, in milliseconds. */
const INTERVAL_MS = 60;
/** Time that an answer takes, in milliseconds, and by how much it varies. */
const ANSWER_MS = 20;
const JITTER = 0.2;
const LIMIT = {type: 'named', perSecond: 2} as const;

const [SERVICE] = buildConfiguration([]).services;

let clock: Clock;
beforeEach(() => {
  clock = FakeTimers.install({toFake: ['performance']});
  clock.tick(1_000);
});
afterEach(() => {
  clock.uninstall();
  mock.restoreAll();
});

/** One entry with one request at a time, in front of servers that are no engines. */
class SingleEntry {
  readonly table = new ServerTable();
  readonly servers: readonly KnownServer[];
  private readonly times = new AnswerTimes();
  private readonly placement: Placement;

  constructor(private readonly random: () => number) {
    mock.method(Math, 'random', random);
    this.table.update({
      servers: Array.from({length: SERVERS}, (_, index) =>
        describeServer(`s${index}`, `10.0.0.${index + 1}:80`),
      ),
    });
    this.servers = this.table.listReady('drafts');
    this.placement = new Placement({
      servers: this.table,
      versions: new VersionSplit(5_000),
      rates: new PrefillRates(),
      times: this.times,
      policy: 'sampled',
      dataCentre: 'a',
      countEntries: () => 1,
    });
  }

  /** Sends requests one after the other, and returns the indexes of the servers that got them. */
  async sendRequests(
    count: number,
    computeAnswerMs: (index: number) => number = () => ANSWER_MS,
  ): Promise<number[]> {
    const indexes: number[] = [];
    for (let sent = 0; sent < count; sent += 1) {
      indexes.push(await this.sendRequest(computeAnswerMs));
    }
    return indexes;
  }

  private async sendRequest(
    computeAnswerMs: (index: number) => number,
  ): Promise<number> {
    assert.ok(SERVICE);
    const {server, markStarted, release} = await this.placement.acquire({
      ...buildPlacementRequest('own'),
      service: SERVICE,
    });
    const index = this.servers.indexOf(server);
    const jitter = 1 + (this.random() - 0.5) * JITTER;
    const answerMs = computeAnswerMs(index) * jitter;
    clock.tick(answerMs);
    markStarted();
    this.table.recordAnswer(server, this.times.recordTime(KIND, answerMs));
    release();
    clock.tick(Math.max(0, INTERVAL_MS - answerMs));
    return index;
  }
}

function countFirst(indexes: readonly number[]): number {
  return indexes.filter(index => index === 0).length;
}

for (let seed = 1; seed <= 5; seed += 1) {
  test(`a server that gave a slow answer once gets its share again, seed ${seed}`, async () => {
    const entry = new SingleEntry(createRandom(seed));
    await entry.sendRequests(20);
    const [first] = entry.servers;
    assert.ok(first);
    entry.table.recordAnswer(first, 8);
    await entry.sendRequests(60);
    const count = countFirst(await entry.sendRequests(100));
    assert.ok(count > 100 / SERVERS / 2, `${count} of 100`);
  });

  test(`a server that got no request while all became faster gets its share, seed ${seed}`, async () => {
    const entry = new SingleEntry(createRandom(seed));
    const [first] = entry.servers;
    assert.ok(first);
    entry.table.limits.record(first.listing.registration, LIMIT, 0);
    // The first answers of the connections and the process take longer.
    await entry.sendRequests(10, () => ANSWER_MS * 5);
    await entry.sendRequests(40);
    clock.tick(1);
    const none = {type: 'none'} as const;
    entry.table.limits.record(
      first.listing.registration,
      none,
      performance.now(),
    );
    // As it has lifted its limit, it returns gradually.
    await entry.sendRequests(35);
    const count = countFirst(await entry.sendRequests(100));
    assert.ok(count > 100 / SERVERS / 2, `${count} of 100`);
  });

  test(`a server that stays slow is passed over but for a few requests, seed ${seed}`, async () => {
    const entry = new SingleEntry(createRandom(seed));
    const computeAnswerMs = (index: number) =>
      index === 0 ? ANSWER_MS * 8 : ANSWER_MS;
    await entry.sendRequests(100, computeAnswerMs);
    const count = countFirst(await entry.sendRequests(200, computeAnswerMs));
    assert.ok(count < 200 / SERVERS / 4, `${count} of 200`);
  });
}

test('a permit of a server that seems slow is used once its limit has not been heard of for a while', async () => {
  const entry = new SingleEntry(createRandom(1));
  const [first] = entry.servers;
  assert.ok(first);
  const {registration} = first.listing;
  const {limits} = entry.table;
  limits.record(registration, LIMIT, 0);
  await entry.sendRequests(20);
  const sentAt: number[] = [];
  for (let sent = 0; sent < 100; sent += 1) {
    entry.table.recordSlowness(first, 8);
    limits.applyReply(
      {entries: 1, load: {}, permits: {'s0 1': 1}},
      performance.now(),
    );
    const [index] = await entry.sendRequests(1);
    if (index !== 0) continue;
    sentAt.push(performance.now());
    limits.record(registration, LIMIT, performance.now() - ANSWER_MS);
  }
  // A check each 0.5 s; the answers are slow, so there are no other sends.
  assert.ok(sentAt.length >= 9, `${sentAt.length} sends`);
  assert.ok(sentAt.length <= 13, `${sentAt.length} sends`);
});
