import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseRateLimit} from '../lib/forwarding/parseRateLimit.js';

for (const [header, perSecond] of [
  ['2.5', 2.5],
  ['0', 0],
  [' 3 ', 3],
  ['4, 4', 4],
  ['9'.repeat(400), 1_000_000],
] as const) {
  test(`a limit of ${header.slice(0, 8)} is read`, () => {
    assert.deepEqual(parseRateLimit(header), {type: 'named', perSecond});
  });
}

for (const header of ['', 'abc', '-1', 'NaN', '1e999', '3,4', '3,', '0x10']) {
  test(`a limit of "${header}" is malformed`, () => {
    assert.equal(parseRateLimit(header).type, 'malformed');
  });
}

test('an answer without the header names no limit', () => {
  assert.deepEqual(parseRateLimit(undefined), {type: 'none'});
});
