import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeWaitLimits, renewWaitLimits} from '../lib/computeWaitLimits.js';

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

test('a wait that begins later has the limits that are computed then', () => {
  for (const now of [0, 2_000, 4_000, 6_000, 18_000]) {
    for (const laterMs of [0, 500, 3_000, 9_000]) {
      const input = {...INPUT, now};
      const {deadlineAt} = input;
      const limits = {...computeWaitLimits(input), deadlineAt};
      const {abandonAt, reviewAt} = computeWaitLimits({
        ...input,
        now: now + laterMs,
      });
      const renewed = renewWaitLimits(limits, laterMs);
      assert.deepEqual(renewed, {abandonAt, reviewAt});
    }
  }
});
