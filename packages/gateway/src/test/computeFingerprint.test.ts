import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeFingerprint} from '../lib/computeFingerprint.js';

const REQUEST = {
  host: 'shop.example',
  method: 'POST',
  target: '/orders/1?draft=1',
  body: Buffer.from('{"spoons":2}'),
};

/** Requests that differ in one part from the first one. */
const OTHERS: Readonly<Record<string, Partial<typeof REQUEST>>> = {
  host: {host: 'other.example'},
  method: {method: 'PUT'},
  path: {target: '/orders/2?draft=1'},
  query: {target: '/orders/1'},
  body: {body: Buffer.from('{"spoons":3}')},
};

test('a request that is sent again has the same fingerprint', () => {
  const fingerprint = computeFingerprint(REQUEST, 'clinic');
  assert.match(fingerprint, /^[\w-]{16}$/);
  const copy = {...REQUEST, body: Buffer.from(REQUEST.body), id: 'r2'};
  assert.equal(computeFingerprint(copy, 'clinic'), fingerprint);
});

for (const [part, overrides] of Object.entries(OTHERS)) {
  test(`requests with a different ${part} have different fingerprints`, () => {
    assert.notEqual(
      computeFingerprint({...REQUEST, ...overrides}, 'clinic'),
      computeFingerprint(REQUEST, 'clinic'),
    );
  });
}

test('requests of different customers, or without any, have different fingerprints', () => {
  const fingerprints = ['clinic', 'shop', undefined].map(customer =>
    computeFingerprint(REQUEST, customer),
  );
  assert.equal(new Set(fingerprints).size, 3);
});

test('parts of a request cannot be shifted into each other', () => {
  const one = {...REQUEST, target: '/a","clinic', body: Buffer.alloc(0)};
  const other = {...REQUEST, target: '/a', body: Buffer.from('"clinic')};
  assert.notEqual(
    computeFingerprint(one, 'clinic'),
    computeFingerprint(other, 'clinic'),
  );
});
