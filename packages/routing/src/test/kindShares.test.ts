import assert from 'node:assert/strict';
import {test} from 'node:test';
import {KindShares} from '../lib/forwarding/KindShares.js';

test('a route may have the name of what every object has', () => {
  for (const kind of ['constructor', 'toString', '__proto__']) {
    const shares = new KindShares();
    shares.classifySize(kind, 1, 100);
    for (let count = 0; count < 10; count += 1) {
      shares.recordOutcome({kind, size: 'usual', priority: 1}, true);
    }
    assert.equal(shares.isStarved(kind, 'usual'), false);
  }
});
