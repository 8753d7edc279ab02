import assert from 'node:assert/strict';
import {test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import fc from 'fast-check';
import {LoadPacer} from '../lib/reconciler/LoadPacer.js';

test('no window contains more loads than the store allows, even after idle times and late calls', () => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 10}),
      fc.array(fc.integer({min: 0, max: 700}), {minLength: 20, maxLength: 60}),
      (loads, pauses) => {
        const clock = FakeTimers.install();
        try {
          const windowMs = 1_000;
          const pacer = new LoadPacer({loads, windowMs});
          const starts: number[] = [];
          for (const pause of pauses) {
            clock.tick(pause);
            while (pacer.tryAcquire()) starts.push(performance.now());
          }
          starts.forEach((start, index) => {
            const later = starts[index + loads];
            assert.ok(later === undefined || later - start >= windowMs);
          });
          assert.ok(starts.length > 0);
        } finally {
          clock.uninstall();
        }
      },
    ),
  );
});
