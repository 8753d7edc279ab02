import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {buildReport} from '../lib/buildReport.js';
import {formatSeriesKey} from '../lib/collectSamples.js';
import {computeIncreases} from '../lib/computeIncreases.js';
import {DEFAULT_OBJECTIVES, classifyOutcome} from '../lib/objectives.js';
import {parseMetrics} from '../lib/parseMetrics.js';
import {renderHtml} from '../lib/renderHtml.js';
import {renderText} from '../lib/renderText.js';
import {Sample, SampleStore} from '../lib/SampleStore.js';

const HOUR_MS = 3_600_000;

function buildKey(outcome: string, version = 'm/v1'): string {
  return formatSeriesKey('sycamorehead_answers_total', {
    customer: 'clinic',
    kind: 'letter',
    version,
    outcome,
  });
}

function buildSample(at: number, values: Record<string, number>): Sample {
  return {at, entry: 'e1', values};
}

test('metrics pages are parsed with their labels', () => {
  const page = '# HELP a b\na{x="1",y="q\\"r"} 2\nb 3.5\nnonsense\n';
  assert.deepEqual(parseMetrics(page), [
    {name: 'a', labels: {x: '1', y: 'q"r'}, value: 2},
    {name: 'b', labels: {}, value: 3.5},
  ]);
});

test('a counter increase is computed across a restart of the entry', () => {
  const key = buildKey('ok');
  const samples = [10, 15, 2, 4].map((value, index) =>
    buildSample(index, {[key]: value}),
  );
  assert.equal(computeIncreases(samples, 0, 3).get(key), 5 + 2 + 2);
});

test('burn is the share of failures relative to the budget; caller errors are excluded', () => {
  const samples = [
    buildSample(0, {}),
    buildSample(HOUR_MS / 2, {
      [buildKey('ok')]: 980,
      [buildKey('overloaded')]: 20,
      [buildKey('malformed_request')]: 500,
    }),
  ];
  const {burn} = buildReport({samples, objectives: DEFAULT_OBJECTIVES});
  const hour = burn.find(({window}) => window === '1h');
  assert.equal(hour?.answered, 980);
  assert.equal(hour?.failed, 20);
  // 2% of the requests failed, 20 times the allowed 0.1%.
  assert.ok(Math.abs((hour?.availabilityBurn ?? 0) - 20) < 1e-9);
  assert.equal(hour?.isAlerting, true);
  assert.equal(classifyOutcome('rate_limited'), 'excluded');
});

test('slow first tokens burn their own budget', () => {
  const name = 'sycamorehead_first_token_seconds';
  const labels = {customer: 'clinic', kind: 'letter'};
  const samples = [
    buildSample(0, {}),
    buildSample(1_000, {
      [formatSeriesKey(`${name}_count`, labels)]: 100,
      [formatSeriesKey(`${name}_bucket`, {...labels, le: '1.6'})]: 90,
    }),
  ];
  const {burn} = buildReport({samples, objectives: DEFAULT_OBJECTIVES});
  assert.ok(Math.abs((burn[0]?.firstTokenBurn ?? 0) - 2) < 1e-9);
});

test('exposure counts the answers of quarantined versions, and the page escapes text', () => {
  const version = {
    model: 'm',
    version: 'v2',
    state: 'quarantined' as const,
    reason: '<b>rated low</b>',
    step: 0,
    inputPrice: 1,
    outputPrice: 1,
    contextTokens: 1,
    qualityPrior: 1,
    replicas: 0,
  };
  const report = buildReport({
    samples: [
      buildSample(0, {}),
      buildSample(9, {[buildKey('ok', 'm/v2')]: 7}),
    ],
    objectives: DEFAULT_OBJECTIVES,
    versions: {'m/v2': version},
  });
  assert.deepEqual(report.exposure, [
    {version: 'm/v2', reason: '<b>rated low</b>', answers: 7},
  ]);
  assert.deepEqual(
    report.rollouts.map(({state, reason}) => [state, reason]),
    [['quarantined', '<b>rated low</b>']],
  );
  const page = renderHtml(report);
  assert.ok(page.includes('&lt;b&gt;rated low'));
  assert.ok(!page.includes('<b>rated'));
  assert.match(renderText(report), /exposure version=m\/v2 answers=7/);
});

test('a truncated last line of the sample file is skipped', () => {
  const folder = mkdtempSync(path.join(tmpdir(), 'syc-report-'));
  const file = path.join(folder, 'samples.jsonl');
  const sample = buildSample(5, {a: 1});
  writeFileSync(file, JSON.stringify(sample) + '\n{"at":6,"ent');
  assert.deepEqual(new SampleStore(file).read(), [sample]);
  rmSync(folder, {recursive: true});
});
