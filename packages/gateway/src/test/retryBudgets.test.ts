import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RetryBudgets} from '../lib/RetryBudgets.js';

function countSends(budgets: RetryBudgets): number {
  let sends = 0;
  while (budgets.acquire('drafts')) sends += 1;
  return sends;
}

function buildBudgets(): RetryBudgets {
  return new RetryBudgets({ratio: 0, slack: 400, windowMs: 10_000});
}

test('an entry that sees only a part of the fleet for a while keeps to its share of the slack', () => {
  const budgets = buildBudgets();
  budgets.updateEntryCount(200);
  for (let round = 0; round < 50; round += 1) budgets.updateEntryCount(40);
  const sends = countSends(budgets);
  assert.ok(sends >= 1 && sends <= 2, `${sends} sends`);
});

test('the share grows once the fleet has become smaller for good', () => {
  const budgets = buildBudgets();
  budgets.updateEntryCount(200);
  for (let round = 0; round < 2_000; round += 1) budgets.updateEntryCount(40);
  assert.equal(countSends(budgets), 8);
});
