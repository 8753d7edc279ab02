import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Bill, JsonValue} from '@sycamorehead/schema';
import {Ledger} from '../lib/Ledger.js';
import {RequestRecords} from '../lib/RequestRecords.js';

function buildBill(requestKey: string, amountMicros = 2): Bill {
  const rest = {requestId: 'r', item: 'orders', revision: 1};
  return {requestKey, customer: 'c', amountMicros, ...rest};
}

/** Commits one request that is done, with or without a bill. */
function finishRequest(
  records: RequestRecords,
  requestKey: string,
  bill?: Bill,
): void {
  const begun = records.begin(
    {
      type: 'begin_request',
      requestKey,
      bodyDigest: 'd',
      owner: 'e/r',
      isRepeatable: false,
      ownerLimitMs: 1,
      at: 0,
    },
    1,
  );
  assert.ok(begun.state === 'begun');
  const {fencing} = begun;
  records.finish({
    type: 'finish_request',
    requestKey,
    fencing,
    outcome: 'done',
    bill,
  });
}

test('a second bill with the same key changes nothing, also after a snapshot', () => {
  const ledger = new Ledger();
  assert.deepEqual(ledger.record(buildBill('a')), {isNew: true});
  const copy = new Ledger();
  copy.restore(JSON.parse(JSON.stringify(ledger.toJson())) as JsonValue);
  assert.deepEqual(copy.record(buildBill('a', 9)), {isNew: false});
  const {totals} = copy.check(new RequestRecords());
  const total = {customer: 'c', item: 'orders', bills: 1, amountMicros: 2};
  assert.deepEqual(totals, [total]);
});

test('folded bills stay in the totals', () => {
  const ledger = new Ledger(2);
  for (const key of ['a', 'b', 'c']) ledger.record(buildBill(key));
  const report = ledger.check(new RequestRecords());
  assert.equal(report.foldedBills, 1);
  assert.equal(report.totals[0]?.bills, 3);
  assert.deepEqual(
    ledger.list().map(({requestKey}) => requestKey),
    ['b', 'c'],
  );
});

test('a request that is done without a bill is found, with or without folded bills', () => {
  for (const limit of [100, 1]) {
    const ledger = new Ledger(limit);
    const records = new RequestRecords();
    for (const key of ['a', 'b']) {
      ledger.record(buildBill(key));
      finishRequest(records, key, buildBill(key));
    }
    assert.deepEqual(ledger.check(records).unbilled, []);
    finishRequest(records, 'c');
    assert.deepEqual(ledger.check(records).unbilled, ['c']);
  }
});
