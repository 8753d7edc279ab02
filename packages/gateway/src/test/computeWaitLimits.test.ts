import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeWaitLimits} from '../lib/computeWaitLimits.js';

const INPUT = {
  now: 0,
  arrivedAt: 0,
  targetLatencyMs: 8_000,
  typicalMs: 800,
  deadlineAt: 20_000,
  longestPauseMs: undefined,
};

test('where no places are known to come free, a request is held for less than half of its objective', () => {
  const {abandonAt, reviewAt} = computeWaitLimits(INPUT);
  assert.equal(abandonAt, 7_000);
  assert.equal(reviewAt, 3_200);
});

test('an answer whose typical time is unknown is left some of the objective', () => {
  const {startBy} = computeWaitLimits({...INPUT, typicalMs: undefined});
  assert.equal(startBy, 6_000);
});
