import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Bill} from '@sycamorehead/schema';
import {compareAnswers} from '../compareAnswers.js';

const LOG = [
  'event=answer_released request=req-1 request_key=c/models/req-1',
  'event=answer_released request=req-2 request_key="c/services/orders/key with spaces"',
  'event=answer_released request=req-3 request_key="c/services/orders/key with spaces" replayed=true',
  'event=request_failed request=req-4 kind=overloaded',
  'event=answer_released request=req-5 request_key=d/models/req-5',
].join('\n');

function buildBill(requestKey: string): Bill {
  const customer = requestKey.split('/')[0]!;
  const rest = {requestId: 'r', item: 'm/v1', amountMicros: 1, revision: 1};
  return {requestKey, customer, ...rest};
}

test('each released answer is matched to a bill by its request key', () => {
  const bills = [
    buildBill('c/models/req-1'),
    buildBill('c/services/orders/key with spaces'),
  ];
  assert.deepEqual(compareAnswers(LOG, bills), {
    answers: 3,
    billedOnce: 2,
    missing: ['d/models/req-5'],
  });
  assert.deepEqual(compareAnswers(LOG, bills, 'c').missing, []);
});
