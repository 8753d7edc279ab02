import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {JsonValue} from '@sycamorehead/schema';
import {RecordLimits, RequestRecords} from '../lib/RequestRecords.js';

const LIMITS: RecordLimits = {
  maxRecords: 3,
  retentionMs: 1_000,
  maxAnswerSize: 10,
  maxTotalSize: 15,
};

function begin(
  records: RequestRecords,
  requestKey: string,
  changes: {owner?: string; at?: number; isRepeatable?: boolean} = {},
) {
  const command = {
    type: 'begin_request',
    requestKey,
    bodyDigest: 'digest',
    owner: 'entry-1/req-1',
    isRepeatable: false,
    ownerLimitMs: 100,
    at: 0,
    ...changes,
  } as const;
  // The log index is the fencing number.
  index += 1;
  return records.begin(command, index);
}

let index = 0;

function finish(
  records: RequestRecords,
  requestKey: string,
  fencing: number,
  body = 'x',
) {
  return records.finish({
    type: 'finish_request',
    requestKey,
    fencing,
    outcome: 'done',
    answer: {status: 200, contentType: 'text/plain', body},
  });
}

function readFencing(result: ReturnType<typeof begin>): number {
  assert.ok(result.state === 'begun', result.state);
  return result.fencing;
}

test('the loss of an owner after dispatch leaves an unknown outcome and never causes a second run', () => {
  const records = new RequestRecords(LIMITS);
  const fencing = readFencing(begin(records, 'k'));
  const other = {owner: 'entry-2/req-2'};
  assert.deepEqual(begin(records, 'k', {...other, at: 100}), {
    state: 'in_progress',
  });
  for (const at of [101, 102, 999]) {
    assert.deepEqual(begin(records, 'k', {...other, at}), {
      state: 'outcome_unknown',
    });
  }
  // The owner was only slow, so its outcome replaces the unknown one.
  assert.deepEqual(finish(records, 'k', fencing), {isAccepted: true});
  assert.equal(begin(records, 'k', {...other, at: 1_000}).state, 'done');
});

test('a repeatable request is taken over, and its earlier owner is fenced off', () => {
  const records = new RequestRecords(LIMITS);
  const first = readFencing(begin(records, 'k', {isRepeatable: true}));
  const second = readFencing(
    begin(records, 'k', {owner: 'e2/r2', at: 101, isRepeatable: true}),
  );
  assert.ok(second > first);
  assert.deepEqual(finish(records, 'k', first), {isAccepted: false});
  assert.deepEqual(finish(records, 'k', second), {isAccepted: true});
  assert.deepEqual(finish(records, 'k', second), {isAccepted: true}, 'resent');
});

test('a full table refuses new keys instead of removing recent ones', () => {
  const records = new RequestRecords(LIMITS);
  for (const key of ['a', 'b', 'c']) begin(records, key, {at: 10});
  assert.deepEqual(begin(records, 'd', {at: 1_010}), {state: 'records_full'});
  assert.equal(begin(records, 'a', {at: 1_010}).state, 'begun');
  assert.equal(begin(records, 'd', {at: 1_011}).state, 'begun');
});

test('answers are removed before their records, oldest first, and likewise after a snapshot', () => {
  const records = new RequestRecords(LIMITS);
  const keys = ['a', 'b', 'c'];
  const numbers = keys.map(key => readFencing(begin(records, key)));
  // The requests finish in a different order than they began.
  finish(records, 'c', numbers[2]!, '12345678');
  finish(records, 'a', numbers[0]!, '1234567');
  const copy = new RequestRecords(LIMITS);
  copy.restore(JSON.parse(JSON.stringify(records.toJson())) as JsonValue);
  for (const voter of [records, copy]) {
    finish(voter, 'b', numbers[1]!, '12');
    assert.deepEqual(begin(voter, 'c'), {state: 'answer_not_kept'});
    assert.equal(begin(voter, 'a').state, 'done');
    assert.equal(begin(voter, 'b').state, 'done');
  }
  assert.deepEqual(records.toJson(), copy.toJson());
});

test('an answer above the size limit is not stored, and its request never runs again', () => {
  const records = new RequestRecords(LIMITS);
  const fencing = readFencing(begin(records, 'k'));
  assert.deepEqual(finish(records, 'k', fencing, '12345678901'), {
    isAccepted: true,
  });
  assert.deepEqual(begin(records, 'k', {at: 500}), {state: 'answer_not_kept'});
});
