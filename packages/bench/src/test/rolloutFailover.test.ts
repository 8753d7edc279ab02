import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseReleaseNote} from '@sycamorehead/schema';
import {Demo} from '../lib/Demo.js';

const WAIT_TIMEOUT_MS = 30_000;
const POLL_INTERVAL_MS = 20;

const ROLLOUT_NOTE = parseReleaseNote(`
number: 2
follows: 1
add:
  versions:
    - model: inscription
      version: v3
      inputPrice: 1
      outputPrice: 3
      contextTokens: 8192
      qualityPrior: 0.9
      replicas: 2
      rollout:
        replaces: v2
        steps: [{share: 1, soakSeconds: 60}]
        guard: {minQuality: 0.5, maxErrorRate: 0.5}
`);

async function waitFor(
  isDone: () => boolean | Promise<boolean>,
  message: string,
): Promise<void> {
  const deadline = performance.now() + WAIT_TIMEOUT_MS;
  while (!(await isDone())) {
    assert.ok(performance.now() < deadline, message);
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

// Guards against a new leader that forgets or repeats the load orders of its predecessor.
test('a new control leader finishes the roll-out of a stopped one and repeats no order', async () => {
  const demo = new Demo();
  await demo.start();
  try {
    const operator = demo.createOperator();
    await operator.publish(ROLLOUT_NOTE);
    const listOrders = () => demo.engines.flatMap(({orders}) => orders);
    await waitFor(
      () => listOrders().length > 0,
      'no engine received an order within the wait timeout',
    );
    const leader = demo.controls.find(
      ({node}) => node.readStatus().role === 'leader',
    );
    assert.ok(leader);
    await leader.stop();
    await waitFor(
      () =>
        demo.engines.every(engine =>
          engine.listVersions().some(({version}) => version === 'v3'),
        ),
      'not every engine loaded v3 within the wait timeout',
    );
    const isAtGuard = async () => {
      const rollouts = await operator.listRollouts().catch(() => []);
      const status = rollouts.find(({version}) => version === 'v3');
      return status?.serving === 2 && status.waitsFor === 'guard';
    };
    await waitFor(
      isAtGuard,
      'the roll-out did not reach its guard within the wait timeout',
    );
    const orders = [...listOrders()].sort(
      (left, right) => left.fencing - right.fencing,
    );
    assert.equal(orders.length, 2);
    assert.ok((orders[0]?.fencing ?? 0) < (orders[1]?.fencing ?? 0));
    for (const engine of demo.engines) {
      assert.equal(
        engine.listVersions().length,
        3,
        'an engine unloaded a version',
      );
    }
  } finally {
    await demo.stop();
  }
});
