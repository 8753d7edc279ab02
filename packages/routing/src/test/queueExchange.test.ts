import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import {PlacementQueue} from '../lib/forwarding/PlacementQueue.js';
import {QueuePolicy} from '../lib/forwarding/QueuePolicy.js';
import {
  computeOthersDemand,
  sumDemand,
} from '../lib/forwarding/serviceDemand.js';
import {createSequence} from './QueueReplay.js';

const ENTRIES = 60;
const PLACES = 240;
const HOLD_MS = 1_000;
const STEP_MS = 10;
/** Time between two exchanges, and age of what they bring, in milliseconds. */
const EXCHANGE_MS = 100;
const EXCHANGE_AGE_MS = 200;

let clock: ReturnType<typeof fakeTimers.install>;

beforeEach(() => {
  clock = fakeTimers.install({
    toFake: ['performance', 'setTimeout', 'clearTimeout'],
  });
});

afterEach(() => {
  clock.uninstall();
});

/**
 * Sixty entries that share places. An entry knows at once what it has freed itself, and what others
 * have with the next exchange.
 */
class SharedPlaces {
  readonly random = createSequence(7);
  readonly entries = Array.from(
    {length: ENTRIES},
    () => new PlacementQueue(new QueuePolicy(this.random)),
  );
  readonly counts = {urgent: [0, 0], other: [0, 0], unlucky: [0, 0]};
  freeMs = 0;
  private free = PLACES;
  /** Places that each entry believes to be free, beside those that it freed itself. */
  private readonly seen = this.entries.map(() => PLACES);
  private readonly isExchanging: boolean;

  constructor(isExchanging: boolean) {
    this.isExchanging = isExchanging;
  }

  send(index: number, priority: number, label: 'urgent' | 'other' | 'unlucky') {
    const entry = this.entries[index];
    assert.ok(entry);
    const counts = this.counts[label];
    counts[1]! += 1;
    const now = performance.now();
    void entry
      .acquire({
        priority,
        customer: 'c',
        kind: `kind ${priority}`,
        work: 1,
        draw: 0,
        needs: '',
        size: 1,
        startBy: now + 1_500,
        abandonAt: now + 1_500,
        deadlineAt: now + 10_000,
        signal: new AbortController().signal,
        tryReserveSlot: () => {
          if (this.free === 0 || this.seen[index] === 0) return undefined;
          this.free -= 1;
          this.seen[index]! -= 1;
          return true;
        },
      })
      .then(
        () => {
          counts[0]! += 1;
          setTimeout(() => {
            this.free += 1;
            this.seen[index]! += 1;
            entry.recordFreed();
          }, HOLD_MS);
        },
        () => {},
      );
  }

  async run(durationMs: number, sendStep: () => void): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      sendStep();
      await clock.tickAsync(STEP_MS);
      if (ms % EXCHANGE_MS === 0) this.exchange();
      const waiting = this.entries.some(({length}) => length > 0);
      if (waiting) this.freeMs += this.free * STEP_MS;
    }
  }

  private exchange(): void {
    const reports = this.entries.map(entry => ({
      drafts: entry.describeDemand(),
    }));
    const total = sumDemand(reports);
    const {free} = this;
    setTimeout(() => {
      this.entries.forEach((entry, index) => {
        this.seen[index] = free;
        const others = computeOthersDemand(total, reports[index] ?? {});
        entry.updateOthers(this.isExchanging ? others.drafts : undefined);
        entry.offerSlots();
      });
    }, EXCHANGE_AGE_MS);
  }
}

/** Plays more demand than places; the urgent requests come to one entry, which has no places yet. */
async function runBadLuck(isExchanging: boolean) {
  const shared = new SharedPlaces(isExchanging);
  const sendMany = () => {
    // 1.5 times what the places can serve, at all entries but the first.
    for (let count = 0; count < 4; count += 1) {
      if (shared.random() > 0.9) continue;
      const index = 1 + Math.floor(shared.random() * (ENTRIES - 1));
      shared.send(index, 2, 'other');
    }
  };
  await shared.run(5_000, sendMany);
  await shared.run(6_000, () => {
    sendMany();
    if (shared.random() < 0.15) shared.send(0, 0, 'unlucky');
  });
  await clock.tickAsync(3_000);
  const [served = 0, sent = 1] = shared.counts.unlucky;
  const [others = 0] = shared.counts.other;
  return {served: served / sent, others, freeMs: shared.freeMs};
}

test("urgent requests at one of sixty entries without places are served if entries know each other's queues", async t => {
  const alone = await runBadLuck(false);
  const pooled = await runBadLuck(true);
  const note = JSON.stringify({alone, pooled});
  t.diagnostic(note);
  assert.ok(pooled.served > 0.9, note);
  assert.ok(alone.served < 0.9, note);
});
