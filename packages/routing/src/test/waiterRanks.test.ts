import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fakeTimers from '@sinonjs/fake-timers';
import {compareRanks} from '../lib/forwarding/chooseNextWaiter.js';
import {QueuePolicy} from '../lib/forwarding/QueuePolicy.js';
import {RatedWaiter, WaiterRanks} from '../lib/forwarding/WaiterRanks.js';

const SEEDS = 20;
const STEPS = 2_000;
const CUSTOMERS = 4;
const KINDS = 3;

let clock: ReturnType<typeof fakeTimers.install>;

beforeEach(() => {
  clock = fakeTimers.install({toFake: ['performance']});
});

afterEach(() => {
  clock.uninstall();
});

/** Returns a function that draws whole numbers below a bound. */
function createDraw(seed: number): (below: number) => number {
  let state = seed + 1;
  return below => {
    state = (state * 48_271) % 2_147_483_647;
    return state % below;
  };
}

function buildWaiter(
  policy: QueuePolicy,
  draw: (below: number) => number,
): RatedWaiter {
  const now = performance.now();
  const kind = draw(KINDS);
  const classified = policy.classifyRequest({
    priority: kind,
    customer: `customer ${draw(CUSTOMERS)}`,
    kind: `kind ${kind}`,
    work: 1 + draw(100),
    draw: draw(1_000) / 1_000,
    startBy: now + draw(300) - 20,
    deadlineAt: now + 5_000,
  });
  return {classified, rank: policy.rateRequest(classified)};
}

test('ranks that are kept equal those of rating all anew, whoever is placed or becomes late', () => {
  let late = 0;
  for (let seed = 0; seed < SEEDS; seed += 1) {
    const draw = createDraw(seed);
    const policy = new QueuePolicy(() => draw(1_000) / 1_000);
    const ranks = new WaiterRanks(policy);
    const waiters: RatedWaiter[] = [];
    for (let step = 0; step < STEPS; step += 1) {
      clock.tick(draw(7));
      if (waiters.length < 30 || draw(2) === 0) {
        const waiter = buildWaiter(policy, draw);
        ranks.add(waiter);
        waiters.push(waiter);
      }
      if (draw(3) === 0) policy.updateOthers(undefined);
      const now = performance.now();
      if (draw(4) > 0) {
        ranks.update(waiters, now);
        for (const {classified, rank} of waiters) {
          const expected = policy.rateRequest(classified, now);
          assert.deepEqual(rank, expected, `seed ${seed}, step ${step}`);
          if (now > classified.request.startBy) late += 1;
        }
      }
      waiters.sort((one, other) => compareRanks(one.rank, other.rank));
      const [first] = draw(2) === 0 ? waiters.splice(0, 1) : [];
      if (first && draw(2) === 0) policy.recordPlaced(first.classified);
      else if (first) policy.refuse(first.classified, 'expired');
    }
  }
  assert.ok(late > 0);
});
