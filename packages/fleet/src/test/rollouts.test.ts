import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {VersionCounts} from '@sycamorehead/schema';
import type {RolloutRecord} from '../lib/FleetState.js';
import {NO_COUNTS, evaluateRollout} from '../lib/evaluateRollout.js';
import {RolloutView, planRollout} from '../lib/planRollout.js';

function buildCounts(
  answers: number,
  failures: number,
  meanMs = 200,
): VersionCounts {
  const timed = answers - failures;
  return {answers, failures, timed, logTimeSum: timed * Math.log(meanMs)};
}

test('a version that fails half of its requests is bad after a few', () => {
  const pair = {old: buildCounts(200, 1), new: buildCounts(8, 4)};
  assert.equal(evaluateRollout([pair]), 'failures');
});

test('a version that is bad on one kind of work only is found', () => {
  const good = {old: buildCounts(900, 2), new: buildCounts(90, 0)};
  const bad = {old: buildCounts(100, 0), new: buildCounts(10, 4)};
  assert.equal(evaluateRollout([good, bad]), 'failures');
});

test('a version as faulty as the old one is not bad', () => {
  const pair = {old: buildCounts(500, 70), new: buildCounts(50, 8)};
  assert.equal(evaluateRollout([pair]), undefined);
});

test('a version several times slower is bad, one a little slower is not', () => {
  const old = buildCounts(100, 0, 200);
  assert.equal(evaluateRollout([{old, new: buildCounts(12, 0, 900)}]), 'slow');
  assert.equal(
    evaluateRollout([{old, new: buildCounts(12, 0, 300)}]),
    undefined,
  );
});

test('times from before the move are compared with more tolerance', () => {
  const pair = {old: buildCounts(100, 0, 200), new: buildCounts(300, 0, 600)};
  assert.equal(evaluateRollout([pair]), 'slow');
  assert.equal(evaluateRollout([pair], true), undefined);
});

test('a few losses beside a faulty server do not make a version bad', () => {
  const pair = {old: buildCounts(400, 1), new: buildCounts(90, 4)};
  assert.equal(evaluateRollout([pair]), undefined);
});

test('a version that got the longer work is not called slow', () => {
  const short = {old: buildCounts(90, 0, 100), new: buildCounts(10, 0, 100)};
  const long = {old: buildCounts(10, 0, 900), new: buildCounts(90, 0, 900)};
  assert.equal(evaluateRollout([short, long]), undefined);
});

test('nothing is said of a version without answers', () => {
  const pair = {old: buildCounts(100, 0), new: NO_COUNTS};
  assert.equal(evaluateRollout([pair]), undefined);
});

function buildView(overrides: Partial<RolloutView>): RolloutView {
  const rollout: RolloutRecord = {
    service: 'drafts',
    target: 'v2',
    durationMs: 20_000,
    phase: 'in_progress',
    share: 0,
    isEarly: true,
    number: 1,
    elapsedMs: 0,
  };
  return {
    rollout,
    elapsedMs: 1_000,
    verdict: undefined,
    evidence: [],
    freshServers: 3,
    runningOnOld: 4,
    maxCanaryShare: 0.15,
    ...overrides,
  };
}

test('the canary stays below the bound and sessions stay through the first half', () => {
  const step = planRollout(buildView({}));
  assert.ok(step.share > 0 && step.share < 0.15);
  assert.equal(step.isEarly, true);
  const late = planRollout(buildView({elapsedMs: 10_500}));
  assert.equal(late.isEarly, false);
});

test('a version is not used before it has servers', () => {
  assert.equal(planRollout(buildView({freshServers: 0})).share, 0);
});

test('a bad version is rolled back at any time', () => {
  for (const elapsedMs of [500, 11_000, 19_900]) {
    const step = planRollout(buildView({elapsedMs, verdict: 'failures'}));
    assert.equal(step.phase, 'rolled_back');
    assert.equal(step.share, 0);
  }
});

test('a roll-out completes once nothing runs on the old version', () => {
  const view = buildView({elapsedMs: 14_000});
  assert.equal(planRollout(view).phase, 'in_progress');
  assert.equal(planRollout(view).share, 1);
  const idle = planRollout({...view, runningOnOld: 0});
  assert.equal(idle.phase, 'completed');
});

test('a moved roll-out completes in time although some work is left', () => {
  const {rollout} = buildView({});
  const step = planRollout(
    buildView({rollout: {...rollout, share: 1}, elapsedMs: 19_600}),
  );
  assert.equal(step.phase, 'completed');
});
