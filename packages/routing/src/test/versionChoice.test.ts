import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  Configuration,
  EMPTY_CONFIGURATION,
  VersionRef,
  applyReleaseNote,
  formatVersionKey,
  hashKey,
  parseReleaseNote,
} from '@sycamorehead/schema';
import {createCheapestAtTarget} from '../lib/cheapestAtTarget.js';
import {QualityTable} from '../lib/QualityTable.js';
import type {RoutedRequest} from '../lib/routingTypes.js';
import {selectRolloutVersions} from '../lib/selectRolloutVersions.js';

const BASE = applyReleaseNote(
  EMPTY_CONFIGURATION,
  parseReleaseNote(`
number: 1
follows: 0
add:
  versions:
    - {model: small, version: v1, inputPrice: 0.1, outputPrice: 0.1, contextTokens: 1000, qualityPrior: 0.8}
    - {model: large, version: v1, inputPrice: 1, outputPrice: 1, contextTokens: 9000, qualityPrior: 0.95}
  customers:
    - customer: c
      keyHash: ${hashKey('k')}
      models: [{model: small, versions: any}, {model: large, versions: any}]
      limits: {requestsPerSecond: 9, tokensPerSecond: 9}
      qualityTarget: 0.75
`),
);

function addRollout(
  configuration: Configuration,
  share: number,
): Configuration {
  return applyReleaseNote(
    configuration,
    parseReleaseNote(`
number: ${configuration.noteNumber + 1}
follows: ${configuration.noteNumber}
add:
  versions:
    - model: large
      version: v2
      inputPrice: 1
      outputPrice: 1
      contextTokens: 9000
      qualityPrior: 0.95
      rollout:
        replaces: v1
        steps: [{share: ${share}, soakSeconds: 0}]
        guard: {minQuality: 0.8, maxErrorRate: 0.05}
`),
  );
}

function setState(
  configuration: Configuration,
  key: string,
  state: 'active' | 'quarantined' | 'withdrawn',
): Configuration {
  const version = {...configuration.versions[key]!, state};
  const versions = {...configuration.versions, [key]: version};
  return {...configuration, versions};
}

function buildRequest(
  id: number,
  change: Partial<RoutedRequest> = {},
): RoutedRequest {
  return {
    requestId: `r${id}`,
    customer: BASE.customers.c!,
    model: 'auto',
    kind: 'note',
    promptTokens: 10,
    prefixKey: `p${id}`,
    deadlineAt: Infinity,
    ...change,
  };
}

function chooseMany(
  quality: QualityTable,
  options: {
    configuration?: Configuration;
    request?: Partial<RoutedRequest>;
    canExplore?: boolean;
    hasNoReplica?: (key: string) => boolean;
  } = {},
): Record<string, number> {
  const policy = createCheapestAtTarget({
    quality,
    hasReplica: (ref: VersionRef) =>
      !options.hasNoReplica?.(formatVersionKey(ref)),
    canExplore: () => options.canExplore ?? true,
  });
  const counts: Record<string, number> = {};
  for (let id = 0; id < 1_000; id++) {
    const request = buildRequest(id, options.request);
    const {choice} = policy.choose(request, options.configuration ?? BASE);
    const key = formatVersionKey(choice);
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}

function recordMany(
  quality: QualityTable,
  version: string,
  mean: number,
  count = 60,
): void {
  for (let index = 0; index < count; index++) {
    quality.record(version, 'note', mean + (index % 2 ? 0.05 : -0.05));
  }
}

test('a cheaper version serves all once its lower bound meets the target, none once its upper bound is below it', () => {
  const quality = new QualityTable();
  recordMany(quality, 'large/v1', 0.95);
  const before = chooseMany(quality);
  assert.ok(before['small/v1']! > 50 && before['small/v1']! <= 550);
  recordMany(quality, 'small/v1', 0.82);
  assert.deepEqual(chooseMany(quality), {'small/v1': 1_000});
  const other = new QualityTable();
  recordMany(other, 'large/v1', 0.95);
  recordMany(other, 'small/v1', 0.6);
  assert.deepEqual(chooseMany(other), {'large/v1': 1_000});
});

test('quality is learned for each kind: ratings of one kind do not qualify another', () => {
  const quality = new QualityTable();
  recordMany(quality, 'large/v1', 0.95);
  recordMany(quality, 'small/v1', 0.85);
  const unknown = quality.estimate('small/v1', 'brief', 0.8);
  assert.ok(unknown.lower < 0.75);
  assert.ok(unknown.mean > 0.82);
});

test('without ratings nothing is explored and the version with the highest lower bound serves', () => {
  const counts = chooseMany(new QualityTable(), {canExplore: false});
  assert.deepEqual(counts, {'large/v1': 1_000});
});

test('almost nothing is explored if the quality of the version chosen otherwise does not exceed the target', () => {
  const quality = new QualityTable();
  recordMany(quality, 'large/v1', 0.75, 400);
  const counts = chooseMany(quality);
  assert.ok((counts['small/v1'] ?? 0) < 60, JSON.stringify(counts));
});

test('pooled summaries are used if they have more ratings than own ones', () => {
  const quality = new QualityTable();
  recordMany(quality, 'small/v1', 0.9, 5);
  const pooled = {
    version: 'small/v1',
    kind: 'note',
    count: 100,
    mean: 0.5,
    variance: 0.01,
  };
  quality.replacePooled([pooled]);
  assert.ok(quality.estimate('small/v1', 'note', 0.8).upper < 0.6);
});

test('a roll-out gets its share of sessions, which is sticky and grows', () => {
  const few = addRollout(BASE, 0.05);
  const more = addRollout(BASE, 0.25);
  const isOffered = (configuration: Configuration, id: number) =>
    selectRolloutVersions(
      Object.values(configuration.versions),
      buildRequest(0, {session: `s${id}`, prefixKey: String(Math.random())}),
      configuration,
    ).some(({version}) => version.version === 'v2');
  const ids = Array.from({length: 4_000}, (unused, id) => id);
  const first = ids.filter(id => isOffered(few, id));
  assert.ok(Math.abs(first.length / ids.length - 0.05) < 0.015);
  assert.deepEqual(
    ids.filter(id => isOffered(few, id)),
    first,
  );
  assert.ok(first.every(id => isOffered(more, id)));
});

test('a version in roll-out serves instead of the one it replaces, except for a kind with low ratings', () => {
  const configuration = addRollout(BASE, 1);
  const request = {model: 'large'};
  const quality = new QualityTable();
  recordMany(quality, 'large/v1', 0.95);
  const counts = chooseMany(quality, {configuration, request});
  assert.deepEqual(counts, {'large/v2': 1_000});
  recordMany(quality, 'large/v2', 0.5);
  const after = chooseMany(quality, {configuration, request});
  assert.deepEqual(after, {'large/v1': 1_000});
});

test('a quarantined release falls back to the version that it had replaced', () => {
  const released = setState(addRollout(BASE, 1), 'large/v2', 'active');
  const request = {model: 'large'};
  const quality = new QualityTable();
  assert.deepEqual(chooseMany(quality, {configuration: released, request}), {
    'large/v2': 1_000,
  });
  const ended = setState(released, 'large/v2', 'quarantined');
  assert.deepEqual(chooseMany(quality, {configuration: ended, request}), {
    'large/v1': 1_000,
  });
});

test('another version is chosen if a version has lost all replicas', () => {
  const released = setState(addRollout(BASE, 1), 'large/v2', 'active');
  const counts = chooseMany(new QualityTable(), {
    configuration: released,
    request: {model: 'large'},
    hasNoReplica: key => key === 'large/v2',
  });
  assert.deepEqual(counts, {'large/v1': 1_000});
  assert.throws(
    () => chooseMany(new QualityTable(), {hasNoReplica: () => true}),
    {
      kind: 'no_backend_server',
      ran: 'no',
    },
  );
});

test('a prompt beyond the context of a version goes to one that accepts it, or is refused as too long', () => {
  const quality = new QualityTable();
  recordMany(quality, 'small/v1', 0.9);
  const counts = chooseMany(quality, {request: {promptTokens: 2_000}});
  assert.deepEqual(counts, {'large/v1': 1_000});
  assert.throws(() => chooseMany(quality, {request: {promptTokens: 20_000}}), {
    kind: 'context_too_long',
  });
});
