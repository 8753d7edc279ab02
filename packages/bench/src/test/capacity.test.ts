import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {test} from 'node:test';
import {readCapacityInputs} from '../lib/capacity/readCapacityInputs.js';
import {renderCapacity} from '../lib/capacity/renderCapacity.js';
import {TARGET_SIZE} from '../lib/capacity/targetSize.js';
import {computeSlope} from '../lib/slopes/slopeTypes.js';

const DOCS = path.resolve(import.meta.dirname, '../../../../docs');

test('the capacity page matches the stored results', () => {
  const inputs = readCapacityInputs(path.join(DOCS, 'capacity'));
  const page = readFileSync(path.join(DOCS, 'CAPACITY.md'), 'utf8');
  assert.equal(page, renderCapacity(inputs, TARGET_SIZE));
});

test('a slope is computed from the least-squares line through the measured values', () => {
  const points = [1, 2, 4].map(size => ({size, value: 3 * size + 5}));
  const {perUnit, base} = computeSlope('s', 'u', points);
  assert.ok(Math.abs(perUnit - 3) < 1e-9);
  assert.ok(Math.abs(base - 5) < 1e-9);
});
