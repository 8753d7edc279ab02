import assert from 'node:assert/strict';
import {test} from 'node:test';
import {buildRequestSegment} from '../lib/forwarding/requestSegments.js';
import type {
  CrashEvidence,
  CrashObservation,
} from '../lib/forwarding/countCrashes.js';
import {findCrashSuspects} from '../lib/forwarding/findCrashSuspects.js';

function buildCrash(at: number, ...segments: string[]): CrashObservation {
  return {at, segments: new Set(segments)};
}

function listConvicted(
  crashes: CrashObservation[],
  overrides: {
    quarantined?: CrashEvidence['quarantined'];
    survivals?: Readonly<Record<string, number>>;
  } = {},
): string[] {
  const {quarantined = [], survivals = {}} = overrides;
  return findCrashSuspects({
    crashes,
    quarantined,
    getSurvivalAt: segment => survivals[segment],
  })
    .filter(({isConvicted}) => isConvicted)
    .map(({segments}) => segments.join(','));
}

test('three crashes convict a segment that was never answered', () => {
  const crashes = [
    buildCrash(1_000, 'bad', 'a'),
    buildCrash(2_000, 'b', 'bad'),
    buildCrash(3_000, 'bad', 'c'),
  ];
  assert.deepEqual(listConvicted(crashes.slice(0, 2)), []);
  assert.deepEqual(listConvicted(crashes), ['bad']);
});

test('a common segment that is in progress at every crash is acquitted by any answer', () => {
  const crashes = Array.from({length: 9}, (_, index) =>
    buildCrash(1_000 * index, 'common', ...(index > 5 ? ['bad'] : [])),
  );
  const survivals = {common: 8_900};
  assert.deepEqual(listConvicted(crashes, {survivals}), ['bad']);
});

test('an answer shortly before the crashes acquits, a long time before them it does not', () => {
  const crashes = [31_000, 32_000, 33_000].map(at => buildCrash(at, 'turned'));
  assert.deepEqual(listConvicted(crashes, {survivals: {turned: 25_000}}), []);
  assert.deepEqual(listConvicted(crashes, {survivals: {turned: 15_000}}), [
    'turned',
  ]);
});

test('servers that are lost together count once', () => {
  const crashes = Array.from({length: 20}, (_, index) =>
    buildCrash(1_000 + index * 4, 'hot'),
  );
  assert.deepEqual(listConvicted(crashes), []);
});

test('a crash of several servers counts only against what was in progress on all of them', () => {
  const events = [1_000, 3_000, 5_000];
  const crashes = events.flatMap(at => [
    buildCrash(at, 'rare', 'a'),
    buildCrash(at + 10, 'b'),
  ]);
  assert.deepEqual(listConvicted(crashes), []);
  const burst = events.flatMap(at => [
    buildCrash(at, 'bad', 'a'),
    buildCrash(at + 10, 'bad', 'b'),
  ]);
  assert.deepEqual(listConvicted(burst), ['bad']);
});

test('crashes under a segment in quarantine count against no other', () => {
  const crashes = [1_000, 2_000, 3_000, 4_000].map(at =>
    buildCrash(at, 'bad', 'rare'),
  );
  assert.deepEqual(listConvicted(crashes, {quarantined: [['bad']]}), []);
});

test('segments with the same crashes are convicted together, and apart once they differ by two', () => {
  const crashes = [1_000, 2_000, 3_000].map(at =>
    buildCrash(at, 'bad', 'companion'),
  );
  assert.deepEqual(listConvicted(crashes), ['bad,companion']);
  const quarantined = [['bad', 'companion']];
  crashes.push(buildCrash(4_000, 'bad', 'other'));
  assert.deepEqual(listConvicted(crashes, {quarantined}), []);
  crashes.push(buildCrash(5_000, 'bad', 'third'));
  assert.deepEqual(listConvicted(crashes, {quarantined}), ['bad']);
});

test('a crash that the entry of the crashing prompt never reports does not convict a sound segment', () => {
  const crashes = [1_000, 2_000, 3_000, 4_000].map(at =>
    buildCrash(at, 'bad', 'companion'),
  );
  const quarantined = [['bad', 'companion']];
  crashes.push(buildCrash(5_000, 'companion', 'other'));
  assert.deepEqual(listConvicted(crashes, {quarantined}), []);
  // Without a quarantine, only prompts with both are refused.
  assert.deepEqual(listConvicted(crashes), ['bad,companion']);
});

test('a segment with fewer crashes than another is judged after it', () => {
  const crashes = [1_000, 2_000, 3_000, 4_000, 5_000].map(at =>
    buildCrash(at, 'bad', ...(at > 2_000 ? ['rare'] : [])),
  );
  assert.deepEqual(listConvicted(crashes), ['bad']);
});

test('two segments that crash servers in turn are both convicted', () => {
  const crashes = Array.from({length: 8}, (_, index) =>
    buildCrash(1_000 * index, index % 2 === 0 ? 'bad1' : 'bad2'),
  );
  assert.deepEqual(listConvicted(crashes.slice(0, 6)), []);
  assert.deepEqual(listConvicted(crashes), ['bad1', 'bad2']);
});

const BAD = buildRequestSegment('bad');
const OTHER = buildRequestSegment('other');
const SOUND = buildRequestSegment('sound');

test('a request that crashes one server after the other within one event is convicted at the third', () => {
  const crashes = [
    buildCrash(1_000, BAD),
    buildCrash(1_040, BAD),
    buildCrash(4_000, BAD),
  ];
  assert.deepEqual(listConvicted(crashes.slice(0, 2)), []);
  assert.deepEqual(listConvicted(crashes), [BAD]);
});

test('a popular request that was on all servers that were lost together is acquitted by its answers', () => {
  const crashes = Array.from({length: 6}, (_, index) =>
    buildCrash(21_000 + index * 10, SOUND),
  );
  // Without any answer before or after, it cannot be told from one that crashes servers.
  assert.deepEqual(listConvicted(crashes), [SOUND]);
  for (const survivedAt of [12_000, 22_000]) {
    const survivals = {[SOUND]: survivedAt};
    assert.deepEqual(listConvicted(crashes, {survivals}), []);
  }
});

test('crashes of another service at the same moment do not hide those under a request', () => {
  const crashes = [1_000, 2_000, 3_000].flatMap(at => [
    {...buildCrash(at, `prompt${at}`), service: 'engines'},
    {...buildCrash(at + 20, BAD), service: 'orders'},
  ]);
  assert.deepEqual(listConvicted(crashes), [BAD]);
});

test('two requests that were on the same servers are told apart by two crashes, and both convicted', () => {
  const crashes = [
    buildCrash(1_000, BAD, OTHER),
    buildCrash(2_000, BAD),
    buildCrash(3_000, OTHER),
    buildCrash(4_000, BAD),
    buildCrash(5_000, OTHER),
  ];
  assert.deepEqual(listConvicted(crashes).sort(), [BAD, OTHER].sort());
});

test('a sound request beside one that crashes servers is not convicted with it', () => {
  const crashes = [1_000, 2_000, 3_000].map(at => buildCrash(at, BAD, SOUND));
  assert.deepEqual(listConvicted(crashes), []);
  crashes.push(buildCrash(4_000, BAD));
  assert.deepEqual(listConvicted(crashes), [BAD]);
});

test('requests that were on the same servers at four crashes are convicted each by itself', () => {
  const crashes = [1_000, 2_000, 3_000, 4_000].map(at =>
    buildCrash(at, BAD, OTHER),
  );
  assert.deepEqual(listConvicted(crashes).sort(), [BAD, OTHER].sort());
});

test('where one request explains the crashes, no segment of its prompt is convicted', () => {
  const crashes = [1_000, 2_000, 3_000, 4_000].map(at =>
    buildCrash(at, BAD, 'rare'),
  );
  assert.deepEqual(listConvicted(crashes), [BAD]);
  assert.deepEqual(listConvicted(crashes, {quarantined: [[BAD]]}), []);
});

test('a segment under which different requests crash servers is convicted, not the requests', () => {
  const crashes = [BAD, OTHER, SOUND].flatMap((id, index) => {
    const at = 1_000 * (index + 1);
    return [buildCrash(at, 'bad', id), buildCrash(at + 40, 'bad', id)];
  });
  assert.deepEqual(listConvicted(crashes.slice(0, 4)), []);
  assert.deepEqual(listConvicted(crashes), ['bad']);
});

test('a segment is convicted by two more crashes after one request with it is in quarantine', () => {
  const crashes = [1_000, 2_000, 3_000].map(at => buildCrash(at, 'bad', BAD));
  const quarantined = [[BAD]];
  crashes.push(buildCrash(4_000, 'bad', OTHER));
  assert.deepEqual(listConvicted(crashes, {quarantined}), []);
  crashes.push(buildCrash(5_000, 'bad', SOUND));
  assert.deepEqual(listConvicted(crashes, {quarantined}), ['bad']);
});

test('an answer acquits a popular request that is in progress at every crash', () => {
  const crashes = [1_000, 2_000, 3_000, 4_000, 5_000].map(at =>
    buildCrash(at, SOUND, ...(at > 2_000 ? [BAD] : [])),
  );
  const survivals = {[SOUND]: 2_500};
  assert.deepEqual(listConvicted(crashes, {survivals}), [BAD]);
});

test('a sound request that was beside three others that crash servers is not convicted with them', () => {
  const others = ['one', 'two', 'three'].map(buildRequestSegment);
  const crashes = others.flatMap((id, index) => {
    const at = 10_000 * (index + 1);
    return [
      buildCrash(at, id, SOUND),
      buildCrash(at + 1_000, id),
      buildCrash(at + 2_000, id),
    ];
  });
  assert.deepEqual(listConvicted(crashes).sort(), [...others].sort());
});
