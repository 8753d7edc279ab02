import assert from 'node:assert/strict';
import {test} from 'node:test';
import {WorkEstimator} from '../lib/WorkEstimator.js';
import {buildCustomer, buildRequest} from './fixtures.js';

test('unknown work counts as short', () => {
  const estimate = new WorkEstimator().estimate(buildRequest());
  assert.equal(estimate.isLong, false);
});

test('the token limit of a caller only lowers the estimate', () => {
  const estimator = new WorkEstimator();
  for (let round = 0; round < 8; round++) {
    estimator.record(buildRequest(), 8);
    estimator.record(buildRequest({kind: 'brief'}), 200);
  }
  const overstated = buildRequest({kind: 'brief', maxTokens: 1_000_000});
  assert.equal(estimator.estimate(overstated).outputTokens, 200);
  const bounded = buildRequest({kind: 'brief', maxTokens: 20});
  assert.equal(estimator.estimate(bounded).outputTokens, 20);
});

test('a customer that labels long work as a short kind is estimated separately', () => {
  const estimator = new WorkEstimator();
  const customer = buildCustomer('mislabels');
  for (let round = 0; round < 8; round++) {
    estimator.record(buildRequest(), 8);
    estimator.record(buildRequest({customer}), 300);
  }
  assert.equal(estimator.estimate(buildRequest()).isLong, false);
  assert.equal(estimator.estimate(buildRequest({customer})).isLong, true);
});

test('an estimate is corrected as tokens arrive', () => {
  const estimator = new WorkEstimator();
  for (const tokens of [10, 10, 10, 100]) {
    estimator.record(buildRequest(), tokens);
  }
  const request = buildRequest();
  assert.equal(estimator.estimateRemaining(request, 20), 80);
  assert.equal(estimator.estimateRemaining(request, 200), 100);
});
