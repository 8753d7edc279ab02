import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PrefillRates} from '@sycamorehead/routing';
import {AnswerTimes} from '../lib/AnswerTimes.js';
import {Placement} from '../lib/Placement.js';
import {ServerTable} from '../lib/ServerTable.js';
import {VersionSplit} from '../lib/VersionSplit.js';
import {buildPlacementRequest} from './buildPlacementRequest.js';
import {describeServer} from './FakeServer.js';

const ENTRIES = 8;
const REQUESTS_PER_ENTRY = 10;
/** What a server that has just started may get in a second, relative to the mean, and beyond it. */
const MAX_OVERSHOOT = 1.5;
const SLACK = 5;

/** An entry that knows some servers, each with its slow start in milliseconds, if any. */
class Entry {
  readonly table = new ServerTable();
  private readonly placement: Placement;

  constructor(slowStarts: ReadonlyArray<number | undefined>) {
    this.table.update({
      servers: slowStarts.map((slowStartMs, index) =>
        describeServer(`s${index}`, `10.0.0.${index + 1}:80`, {
          slots: 64,
          slowStartMs,
        }),
      ),
    });
    this.placement = new Placement({
      servers: this.table,
      versions: new VersionSplit(5_000),
      rates: new PrefillRates(),
      times: new AnswerTimes(),
      policy: 'sampled',
      dataCentre: 'a',
      countEntries: () => ENTRIES,
    });
  }

  /** Places a request and returns the id of its server. */
  async reserveServer(count: number): Promise<string> {
    const {server} = await this.placement.acquire(
      buildPlacementRequest(`own${count}`),
    );
    return server.listing.registration.id;
  }
}

/** Places requests through all entries, between two exchanges of load, and counts them by server. */
async function sendRequests(
  slowStarts: ReadonlyArray<number | undefined>,
): Promise<Map<string, number>> {
  const counts = new Map<string, number>();
  const entries = Array.from({length: ENTRIES}, () => new Entry(slowStarts));
  for (const {table} of entries) {
    // The servers that are not slow have been at work for long.
    const load = slowStarts.map((slowStartMs, index) => [
      `s${index}`,
      slowStartMs === undefined ? [12, 400] : [0, 0],
    ]);
    table.setOthersLoad(Object.fromEntries(load));
  }
  for (let count = 0; count < REQUESTS_PER_ENTRY; count += 1) {
    for (const entry of entries) {
      const id = await entry.reserveServer(count);
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
  }
  return counts;
}

test('a server that has just started gets no more than its share from entries that all see it idle', async () => {
  const servers = 8;
  const mean = (ENTRIES * REQUESTS_PER_ENTRY) / servers;
  for (let run = 0; run < 20; run += 1) {
    const slowStarts = Array.from({length: servers}, (_, index) =>
      index === 3 ? 4_000 : undefined,
    );
    const counts = await sendRequests(slowStarts);
    const count = counts.get('s3') ?? 0;
    assert.ok(count <= MAX_OVERSHOOT * mean + SLACK, `${count} requests`);
    assert.ok(count > 0, 'it gets none');
  }
});

test('servers that have all just started get all requests', async () => {
  const counts = await sendRequests([4_000, 4_000, 4_000]);
  const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
  assert.equal(total, ENTRIES * REQUESTS_PER_ENTRY);
  assert.ok([...counts.values()].every(count => count < total / 2));
});

test('a later registration ends a slow start', async () => {
  const entry = new Entry([undefined, undefined, 30]);
  const findServer = () =>
    entry.table
      .listReady('drafts')
      .find(({listing}) => listing.registration.id === 's2');
  assert.ok((findServer()?.slowUntil ?? 0) > performance.now());
  entry.table.update({
    servers: [
      describeServer('s2', '10.0.0.3:80', {sequence: 2, slowStartMs: 0}),
    ],
  });
  assert.ok((findServer()?.slowUntil ?? Infinity) <= performance.now());
});
