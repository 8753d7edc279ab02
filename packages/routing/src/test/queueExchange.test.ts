import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import {SharedPlaces} from './SharedPlaces.js';

let clock: ReturnType<typeof fakeTimers.install>;

beforeEach(() => {
  clock = fakeTimers.install({
    toFake: ['performance', 'setTimeout', 'clearTimeout'],
  });
});

afterEach(() => {
  clock.uninstall();
});

/** Plays more demand than places; the urgent requests come to one entry, which has no places yet. */
async function runBadLuck(isExchanging: boolean) {
  const shared = new SharedPlaces(clock, {isExchanging});
  await shared.run(5_000, () => shared.sendToOthers());
  await shared.run(6_000, () => {
    shared.sendToOthers();
    if (shared.random() < 0.15) {
      shared.send(0, {priority: 0, label: 'unlucky'});
    }
  });
  await clock.tickAsync(3_000);
  const {freeMs} = shared;
  const [others = 0] = shared.counts.get('other') ?? [];
  return {served: shared.computeServed('unlucky'), others, freeMs};
}

test("urgent requests at one of sixty entries without places are served if entries know each other's queues", async t => {
  const alone = await runBadLuck(false);
  const pooled = await runBadLuck(true);
  const note = JSON.stringify({alone, pooled});
  t.diagnostic(note);
  assert.ok(pooled.served > 0.9, note);
  assert.ok(alone.served < 0.9, note);
});
