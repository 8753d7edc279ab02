import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeDigest} from '@sycamorehead/schema';
import {digestServiceCall} from '../lib/digestServiceCall.js';

const WORDS = ['POST', 'orders', '/once', '?a="b"'];

test('the digest of a call is that of the list of its words and its body', () => {
  for (const size of [0, 1, 2, 3, 49_151, 49_152, 49_153, 1_000_000]) {
    const body = Buffer.from(
      Array.from({length: size}, (_, index) => index % 251),
    );
    assert.equal(
      digestServiceCall(WORDS, body),
      computeDigest([...WORDS, body.toString('base64')]),
      `${size} bytes`,
    );
  }
});
