import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseReleaseNote, hashKey} from '@sycamorehead/schema';
import {WorkKind, generateArrivals} from '../lib/load/arrivals.js';
import {Fleet} from '../lib/load/Fleet.js';
import {runLoad} from '../lib/load/runLoad.js';

const KINDS: WorkKind[] = [
  {
    kind: 'proof',
    weight: 3,
    promptTokens: 40,
    outputTokens: 8,
    sigma: 0.3,
    deadlineMs: 2_000,
  },
  {
    kind: 'deposit',
    weight: 1,
    promptTokens: 1,
    outputTokens: 1,
    sigma: 0,
    deadlineMs: 1_000,
    service: {
      name: 'orders',
      method: 'POST',
      path: '/deposits',
      isRepeatable: false,
    },
  },
];

const PLAN = {
  seed: 3,
  durationMs: 600,
  ratePerSecond: 100,
  kinds: KINDS,
  customers: [{customer: 'a', weight: 1}],
};

test('arrivals depend only on the seed, and a surge multiplies them', () => {
  assert.deepEqual(generateArrivals(PLAN), generateArrivals(PLAN));
  const surge = {atMs: 0, durationMs: 600, factor: 5};
  const surged = generateArrivals({...PLAN, surges: [surge]});
  assert.ok(surged.length > 3 * generateArrivals(PLAN).length);
});

test('every request of a light load is answered completely and billed once', async () => {
  const note = parseReleaseNote(`
number: 1
follows: 0
add:
  versions:
    - {model: m, version: v1, inputPrice: 1, outputPrice: 1, contextTokens: 8192, qualityPrior: 0.9}
  services:
    - service: orders
      calls: [{method: POST, path: /deposits, repeatable: false, priceMicros: 5}]
  customers:
    - customer: a
      keyHash: ${hashKey('key-a')}
      models: [{model: m, versions: any}]
      services: [orders]
      limits: {requestsPerSecond: 1000, tokensPerSecond: 100000}
      qualityTarget: 0.5
`);
  const fleet = new Fleet({
    note,
    entries: 2,
    engines: 2,
    services: {name: 'orders', replicas: 1},
    engineSpeed: {
      slots: 8,
      stepMs: 1,
      stepMsPerJob: 0,
      prefillTokensPerMs: 100,
    },
  });
  await fleet.start();
  const arrivals = generateArrivals(PLAN);
  const records = await runLoad(
    {entryUrls: fleet.entryUrls, getKey: customer => `key-${customer}`},
    arrivals,
  );
  const bills = await fleet.control.listBills();
  await fleet.stop();
  assert.deepEqual(
    records.filter(({outcome}) => outcome !== 'ok'),
    [],
  );
  for (const {arrival, tokens} of records) {
    if (!arrival.kind.service) assert.equal(tokens, arrival.outputTokens);
  }
  assert.equal(bills.length, arrivals.length);
});
