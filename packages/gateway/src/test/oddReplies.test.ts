import assert from 'node:assert/strict';
import {mock, test} from 'node:test';
import type {ExchangeReply} from '@sycamorehead/fleet';
import {Placement} from '../lib/Placement.js';
import {GatewayHarness} from './GatewayHarness.js';

test('an entry takes over of the demand in a reply only what has its shape', async () => {
  const update = mock.method(Placement.prototype, 'updateOthersDemand');
  const demand = `{"none":null,"empty":{},"constructor":{},
    "drafts":{"placesPerSecond":"x","waiting":[-4,1e9],"customers":{"k":-1},"outcomes":{"k":3}}}`;
  const reporter = new GatewayHarness().buildReporter('e1', async () => {
    const reply = {entries: 2, load: {}, demand: JSON.parse(demand) as unknown};
    return reply as ExchangeReply;
  });
  await reporter.exchangeReports();
  const [table] = update.mock.calls[0]?.arguments ?? [];
  assert.ok(table);
  const nothing = {placesPerSecond: 0, waiting: [], customers: {}};
  assert.deepEqual(JSON.parse(JSON.stringify(table)), {
    empty: {...nothing, outcomes: {}},
    drafts: {...nothing, waiting: [0, 1_000], outcomes: {}},
  });
  assert.equal(table['constructor'], undefined);
});
