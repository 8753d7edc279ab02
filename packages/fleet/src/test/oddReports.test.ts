import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import {EntryReports} from '../lib/EntryReports.js';
import type {ExchangeRequest, LoadDigest} from '../lib/fleetMessages.js';

/** Time that one exchange may take beside an odd report, in milliseconds of the machine's clock. */
const MAX_EXCHANGE_MS = 500;
/** Names that every object has, and values of the wrong kind or size, as JSON can carry them. */
const ODD_VALUES: readonly string[] = [
  'null',
  '7',
  '"text"',
  '[null]',
  '[7]',
  '[{}]',
  '{"k":null}',
  '{"k":{}}',
  '{"k":3}',
  '{"k":-3}',
  '{"k":1e308}',
  '{"k":"text"}',
  '{"k":[null]}',
  '{"k":["text",{}]}',
  '{"k":{"length":1e8}}',
  ...['constructor', '__proto__', 'toString'].flatMap(name => [
    `{"${name}":[7,8]}`,
    `{"${name}":7}`,
    `{"${name}":{"placesPerSecond":1,"waiting":[],"customers":{},"outcomes":{}}}`,
    `{"k":{"placesPerSecond":1,"waiting":[],"customers":{"${name}":1},"outcomes":{"${name}":[3,2]}}}`,
  ]),
  '{"k":{"placesPerSecond":1,"waiting":{"length":1e8},"customers":{},"outcomes":{}}}',
  '{"k":{"placesPerSecond":-1,"waiting":[1e300,null],"customers":null,"outcomes":{"k":3}}}',
  '{"k":{"placesPerSecond":"1","waiting":null,"customers":{"k":"text"},"outcomes":null}}',
  '[{"incarnation":7,"ageMs":"text","segments":null}]',
  '[{"service":"drafts","number":1,"counts":{"drafts|old":null}}]',
  '[{"service":"drafts","number":1,"counts":{"drafts|old":{"times":7}}}]',
];
const FIELDS = [
  'load',
  'evidence',
  'leaving',
  'kept',
  'prefill',
  'prompts',
  'crashes',
  'survivals',
  'demand',
  'limits',
  'hearsay',
  'wanted',
  'coldWanted',
  'arrived',
  'waiting',
  'isBrief',
] as const;

let clock: ReturnType<typeof fakeTimers.install>;

beforeEach(() => {
  clock = fakeTimers.install({toFake: ['performance']});
});

afterEach(() => {
  clock.uninstall();
});

function buildReports(): EntryReports {
  return new EntryReports({
    instance: 'c1',
    incarnation: 'c1 1',
    countControls: () => 1,
    listQuarantined: () => [],
  });
}

const HONEST = {
  load: {s1: [2, 100, 1, 900]},
  evidence: [],
  leaving: ['s7 1'],
  prompts: {s1: [77]},
  demand: {
    drafts: {
      placesPerSecond: 5,
      waiting: [3],
      customers: {clinic: 4},
      outcomes: {drafts: [6, 2]},
    },
  },
} satisfies Partial<ExchangeRequest>;

/** Exchanges the reports of two honest entries and returns what the second one learns. */
function exchangeHonest(reports: EntryReports) {
  const startedAt = process.hrtime.bigint();
  reports.exchange({entry: 'e1', ...HONEST});
  clock.tick(60);
  const reply = reports.exchange({entry: 'e2', load: {}, evidence: []});
  JSON.stringify(reports.describeDigest());
  reports.load.listEvidence('drafts', 1);
  const tookMs = Number(process.hrtime.bigint() - startedAt) / 1e6;
  assert.ok(tookMs < MAX_EXCHANGE_MS, `the loop was blocked for ${tookMs} ms`);
  return reply;
}

function assertHonest(reply: ReturnType<typeof exchangeHonest>) {
  const [inFlight = 0, pendingMs = 0] = reply.load['s1'] ?? [];
  assert.deepEqual([inFlight, pendingMs], [2, 100]);
  assert.ok(reply.leaving?.includes('s7 1'));
  assert.deepEqual(reply.prompts?.['s1'], [77]);
  assert.deepEqual(reply.demand?.['drafts'], HONEST.demand.drafts);
  const text = JSON.stringify(reply);
  assert.ok(!/:-\d|null/.test(text), text);
}

for (const field of FIELDS) {
  test(`honest entries are answered whatever one reports as ${field}`, () => {
    for (const odd of ODD_VALUES) {
      const values = JSON.parse(`{"${field}":${odd}}`) as object;
      const fromEntry = buildReports();
      const report = {entry: 'odd', load: {}, evidence: [], ...values};
      assert.doesNotThrow(() => {
        fromEntry.exchange(report as ExchangeRequest);
        assertHonest(exchangeHonest(fromEntry));
      }, `${field} ${odd} of an entry`);
      const fromControl = buildReports();
      const digest = {
        ...{instance: 'c2', entries: 1, load: {}, evidence: []},
        ...{leaving: [], arrived: [], ...values},
      };
      assert.doesNotThrow(() => {
        fromControl.acceptDigest(digest as LoadDigest);
        assertHonest(exchangeHonest(fromControl));
      }, `${field} ${odd} of a control instance`);
    }
  });
}

test('negative numbers of one entry cancel nothing that others hold', () => {
  const reports = buildReports();
  const load = JSON.parse('{"s1":[-9,-500,-1,-1e6,-5,-2,-1e9]}') as object;
  reports.exchange({entry: 'odd', load, evidence: []} as ExchangeRequest);
  const {load: others} = exchangeHonest(reports);
  assert.deepEqual(others['s1']?.slice(0, 4), [2, 100, 1, 900]);
});

test('the waiting requests of one entry count up to a bound', () => {
  const reports = buildReports();
  const demand = {drafts: {...HONEST.demand.drafts, waiting: [1e9]}};
  reports.exchange({entry: 'odd', load: {}, evidence: [], demand});
  const reply = exchangeHonest(reports);
  assert.deepEqual(reply.demand?.['drafts']?.waiting, [503]);
});
