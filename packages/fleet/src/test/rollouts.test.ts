import assert from 'node:assert/strict';
import {test} from 'node:test';
import {NO_TIMES, countTimeRatio} from '@sycamorehead/schema';
import type {RolloutRecord} from '../lib/FleetState.js';
import {VersionAssessment, evaluateRollout} from '../lib/evaluateRollout.js';
import {RolloutView, planRollout} from '../lib/planRollout.js';
import {
  AnswerCounts,
  NO_COUNTS,
  RouteEvidence,
  groupByRoute,
  computeNewEvidence,
} from '../lib/rolloutEvidence.js';

const SERVERS = 4;
/** Shares of answers whose times are an octave apart, around the mean. */
const SPREAD = [0.2, 0.6, 0.2] as const;

/** Builds counts with answers that take the given multiple of the expected time. */
function buildCounts(
  answers: number,
  failures: number,
  timeRatio = 1,
): AnswerCounts {
  const times = [...NO_TIMES];
  SPREAD.forEach((share, index) => {
    const part = [...NO_TIMES];
    countTimeRatio(part, timeRatio * 2 ** (index - 1));
    part.forEach((count, place) => {
      times[place]! += count * share * (answers - failures);
    });
  });
  return {answers, failures, losses: 0, times};
}

/** Builds evidence whose answers of the new version are spread evenly over its servers. */
function buildRoute(
  old: AnswerCounts,
  fresh: AnswerCounts,
  route = 'drafts',
): RouteEvidence {
  const part = {
    answers: fresh.answers / SERVERS,
    failures: fresh.failures / SERVERS,
    losses: fresh.losses / SERVERS,
    times: fresh.times.map(count => count / SERVERS),
  };
  const ids = Array.from({length: SERVERS}, (_, index) => `s${index}`);
  return {route, old, servers: new Map(ids.map(id => [id, part]))};
}

function evaluate(...routes: RouteEvidence[]): VersionAssessment {
  return evaluateAt(routes, SERVERS);
}

function evaluateAt(
  routes: readonly RouteEvidence[],
  freshServers: number,
  sinceOrder = routes,
): VersionAssessment {
  const isSplit = true;
  return evaluateRollout({routes, sinceOrder, freshServers, isSplit});
}

test('a version that fails half of its requests is found bad after a few requests', () => {
  const route = buildRoute(buildCounts(200, 1), buildCounts(8, 4));
  assert.equal(evaluate(route).reason, 'failures');
});

test('a version that fails on one route only is found bad', () => {
  const good = buildRoute(buildCounts(900, 2), buildCounts(90, 0), 'good');
  const bad = buildRoute(buildCounts(100, 0), buildCounts(12, 6), 'bad');
  assert.equal(evaluate(good, bad).reason, 'failures');
});

test('a version that fails as often as the old one is not found bad', () => {
  const route = buildRoute(buildCounts(500, 70), buildCounts(50, 8));
  assert.notEqual(evaluate(route).verdict, 'bad');
});

test('a version that is several times slower is found slow, one that is slightly slower is not', () => {
  const old = buildCounts(100, 0, 1.4);
  const slow = buildRoute(old, buildCounts(16, 0, 5));
  assert.equal(evaluate(slow).reason, 'slow');
  const usual = buildRoute(old, buildCounts(16, 0, 1.8));
  assert.notEqual(evaluate(usual).verdict, 'bad');
});

test('a slow version was completed: three times slower is slow however many requests it serves', () => {
  const route = buildRoute(buildCounts(100, 0), buildCounts(400, 0, 3));
  assert.equal(evaluate(route).reason, 'slow');
});

test('a few failures do not make a version bad', () => {
  const route = buildRoute(buildCounts(400, 1), buildCounts(90, 4));
  assert.notEqual(evaluate(route).verdict, 'bad');
});

test('one server in trouble does not make a version bad, several do', () => {
  const old = buildCounts(200, 1);
  const buildServers = (count: number) =>
    new Map(
      Array.from({length: 8}, (_, index) => [
        `s${index}`,
        index < count ? buildCounts(6, 5, 8) : buildCounts(6, 0),
      ]),
    );
  const evaluateServers = (count: number) => {
    const routes = [{route: 'drafts', old, servers: buildServers(count)}];
    return evaluateAt(routes, 8).verdict;
  };
  assert.equal(evaluateServers(1), 'good');
  assert.equal(evaluateServers(6), 'bad');
});

test('servers that crash lose all their answers at once, which does not make a version bad', () => {
  const old = buildCounts(200, 1);
  const lost = {...NO_COUNTS, answers: 8, losses: 8};
  const routes = [
    {
      route: 'drafts',
      old,
      servers: new Map(
        Array.from({length: 8}, (_, index) => [
          `s${index}`,
          index < 3 ? lost : buildCounts(6, 0),
        ]),
      ),
    },
  ];
  assert.notEqual(evaluateAt(routes, 8).verdict, 'bad');
});

test('the only server of a version can show that it is bad', () => {
  const routes = [
    {
      route: 'drafts',
      old: buildCounts(200, 1),
      servers: new Map([['s0', buildCounts(10, 6)]]),
    },
  ];
  assert.equal(evaluateAt(routes, 1).reason, 'failures');
});

test('a bad version was completed: one without answers is neither good nor bad', () => {
  const route = buildRoute(buildCounts(100, 0), NO_COUNTS);
  assert.equal(evaluate(route).verdict, 'unknown');
  assert.equal(evaluate().verdict, 'unknown');
});

test('a version is good after some good answers on each route', () => {
  const old = buildCounts(100, 1, 1.3);
  const few = buildRoute(old, buildCounts(4, 0, 1.3));
  assert.equal(evaluate(few).verdict, 'unknown');
  const enough = buildRoute(old, buildCounts(32, 0, 1.3));
  assert.equal(evaluate(enough).verdict, 'good');
  const silent = buildRoute(old, NO_COUNTS, 'other');
  assert.equal(evaluate(enough, silent).verdict, 'unknown');
});

test('a version that has just turned bad is found by its recent answers', () => {
  const before = [buildRoute(buildCounts(300, 1), buildCounts(120, 0))];
  const now = [buildRoute(buildCounts(320, 1), buildCounts(132, 8))];
  assert.notEqual(evaluate(...now).verdict, 'bad');
  const recent = computeNewEvidence(now, before);
  assert.equal(evaluateAt(recent, SERVERS, now).reason, 'failures');
});

test('answer times of earlier builds, which are not comparable, are left out', () => {
  const old = {answers: 10, failures: 0, timed: 10, logTimeSum: 50};
  const counts = {'drafts|old': old, 'drafts small|new': old};
  const evidence = {service: 'drafts', number: 1, counts};
  const [route] = groupByRoute([evidence], 'drafts', 1);
  assert.deepEqual(route?.old, {...NO_COUNTS, answers: 10});
});

const NO_ANSWERS: VersionAssessment = {
  verdict: 'unknown',
  reason: undefined,
  scores: {failures: 0, slow: 0},
  answers: 0,
};
const GOOD: VersionAssessment = {...NO_ANSWERS, verdict: 'good'};
const SUSPICIOUS: VersionAssessment = {...NO_ANSWERS, verdict: 'suspicious'};
const BAD: VersionAssessment = {
  ...NO_ANSWERS,
  verdict: 'bad',
  reason: 'failures',
};

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
    sinceStepMs: 2_000,
    assessment: GOOD,
    recent: GOOD,
    answersSinceStep: 50,
    freshServers: 3,
    runningOnOld: 4,
    maxCanaryShare: 0.15,
    ...overrides,
  };
}

test('the canary share stays below its limit, and sessions stay on their version in the first half', () => {
  const step = planRollout(buildView({}));
  assert.ok(step.share > 0 && step.share < 0.15);
  assert.equal(step.isEarly, true);
  const late = planRollout(buildView({elapsedMs: 10_500}));
  assert.equal(late.isEarly, false);
});

test('a version receives no requests before it has servers', () => {
  assert.equal(planRollout(buildView({freshServers: 0})).share, 0);
});

test('a bad version is rolled back at any time', () => {
  for (const elapsedMs of [500, 11_000, 19_900]) {
    for (const overrides of [{assessment: BAD}, {recent: BAD}]) {
      const step = planRollout(buildView({elapsedMs, ...overrides}));
      assert.equal(step.phase, 'rolled_back');
      assert.equal(step.share, 0);
    }
  }
});

function buildViewAt(
  share: number,
  overrides: Partial<RolloutView>,
): RolloutView {
  const view = buildView(overrides);
  return {...view, rollout: {...view.rollout, share}};
}

test('a bad version was completed: the share is not raised without evidence, and rolled back at the deadline', () => {
  for (const [share, assessment] of [
    [0.135, NO_ANSWERS],
    [0.135, SUSPICIOUS],
    [0.5, NO_ANSWERS],
    [1, NO_ANSWERS],
  ] as const) {
    const view = buildViewAt(share, {elapsedMs: 16_000, assessment});
    assert.equal(planRollout(view).share, share);
    const late = planRollout({...view, elapsedMs: 20_100});
    assert.equal(late.phase, 'rolled_back');
  }
});

test('a bad version was completed: past the canary it is rolled back as soon as it may be bad', () => {
  for (const share of [0.5, 1]) {
    const view = buildViewAt(share, {elapsedMs: 14_000, runningOnOld: 0});
    for (const overrides of [{assessment: SUSPICIOUS}, {recent: SUSPICIOUS}]) {
      assert.equal(planRollout({...view, ...overrides}).phase, 'rolled_back');
    }
  }
});

test('a good version goes on to half of the requests, then to all', () => {
  const view = buildViewAt(0.135, {elapsedMs: 9_000});
  assert.equal(planRollout(view).share, 0.135);
  const late = {...view, elapsedMs: 10_100};
  assert.equal(planRollout(late).share, 0.5);
  assert.equal(planRollout({...late, recent: SUSPICIOUS}).share, 0.135);
  const middle = buildViewAt(0.5, {elapsedMs: 12_000});
  assert.equal(planRollout(middle).share, 1);
  assert.equal(planRollout({...middle, sinceStepMs: 500}).share, 0.5);
  assert.equal(planRollout({...middle, answersSinceStep: 3}).share, 0.5);
});

test('a roll-out completes once nothing runs on the old version', () => {
  const view = buildViewAt(1, {elapsedMs: 14_000});
  assert.equal(planRollout(view).phase, 'in_progress');
  assert.equal(planRollout(view).share, 1);
  const idle = {...view, runningOnOld: 0};
  assert.equal(planRollout(idle).phase, 'completed');
  assert.equal(planRollout({...idle, sinceStepMs: 400}).phase, 'in_progress');
});

test('a roll-out at full share completes in time even if requests remain on the old version', () => {
  const step = planRollout(buildViewAt(1, {elapsedMs: 19_600}));
  assert.equal(step.phase, 'completed');
});
