import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {PrefillRates} from '@sycamorehead/routing';
import {AnswerTimes} from '../lib/AnswerTimes.js';
import {Placement} from '../lib/Placement.js';
import type {KnownServer} from '../lib/KnownServer.js';
import {ServerTable} from '../lib/ServerTable.js';
import {VersionSplit} from '../lib/VersionSplit.js';
import {buildPlacementRequest} from './buildPlacementRequest.js';
import {describeServer} from './FakeServer.js';

const SERVERS = 69;
const REQUESTS_PER_ENTRY = 2;
const HOLD_MS = 10;
/** Longer than the first ejection of a server, in milliseconds. */
const EJECTED_MS = 450;
/** What a server that returns may get, relative to the mean, and beyond it. */
const MAX_OVERSHOOT = 1.5;
const SLACK = 5;

/** How a server returns, as all entries learn of it at the same time. */
interface Return {
  /** Makes the server take no requests. */
  readonly pause: (table: ServerTable) => void;
  /** Time after which it may get requests again, in milliseconds. */
  readonly pauseMs: number;
}

const RETURNS: Readonly<Record<string, Return>> = {
  'wanted a pause': {
    pause: table => {
      const {registration} = describeServer('s3', '10.0.0.4:80');
      table.notices.record(registration, {isLeaving: false, holdMs: HOLD_MS});
    },
    pauseMs: HOLD_MS * 2,
  },
  'had a limit': {
    pause: table => {
      table.limits.addTable({'s3 1': [2, 100]});
      table.limits.addTable({'s3 1': [null, 50]});
    },
    pauseMs: HOLD_MS * 2,
  },
  'was ejected by all': {
    pause: table => table.recordFailure(findReturning(table), 'refused', true),
    pauseMs: EJECTED_MS,
  },
};

function findReturning(table: ServerTable): KnownServer {
  const found = table
    .listReady('drafts')
    .find(({listing}) => listing.registration.id === 's3');
  assert.ok(found);
  return found;
}

function buildTable(): ServerTable {
  const table = new ServerTable();
  const ids = Array.from({length: SERVERS}, (_, index) => `s${index}`);
  table.update({
    servers: ids.map((id, index) =>
      describeServer(id, `10.0.0.${index + 1}:80`, {slots: 64}),
    ),
  });
  table.setOthersLoad(
    Object.fromEntries(
      ids.map(id => [id, id === 's3' ? [0, 0] : [12, 400]] as const),
    ),
  );
  return table;
}

for (const [name, {pause, pauseMs}] of Object.entries(RETURNS)) {
  for (const entries of [7, 195]) {
    test(`a server that ${name} gets about its share when it returns, from ${entries} entries`, async () => {
      const tables = Array.from({length: entries}, buildTable);
      const placements = tables.map(
        servers =>
          new Placement({
            servers,
            versions: new VersionSplit(5_000),
            rates: new PrefillRates(),
            times: new AnswerTimes(),
            policy: 'sampled',
            dataCentre: 'a',
            countEntries: () => entries,
          }),
      );
      for (const table of tables) pause(table);
      await sleep(pauseMs);
      let received = 0;
      for (let count = 0; count < REQUESTS_PER_ENTRY; count += 1) {
        for (const [index, placement] of placements.entries()) {
          const {server} = await placement.acquire(
            buildPlacementRequest(`own${index}-${count}`),
          );
          if (server.listing.registration.id === 's3') received += 1;
        }
      }
      const mean = (entries * REQUESTS_PER_ENTRY) / SERVERS;
      assert.ok(received <= MAX_OVERSHOOT * mean + SLACK, `${received} sent`);
    });
  }
}
