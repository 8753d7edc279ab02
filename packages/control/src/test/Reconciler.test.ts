import assert from 'node:assert/strict';
import {test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import type {Reconciler} from '../lib/reconciler/Reconciler.js';
import type {EngineOrderMessage} from '../lib/reconciler/sendOrder.js';
import {FakeEngine, FakeEngines, buildConfiguration} from './FakeEngines.js';

type Advance = (ms: number, ...reconcilers: Reconciler[]) => Promise<void>;

/** Runs a test on a fake clock; `advance` proceeds in steps of 250 ms, each with reports. */
async function runPaused(
  fakes: FakeEngines,
  run: (advance: Advance) => Promise<void>,
): Promise<void> {
  const clock = FakeTimers.install();
  const used = new Set<Reconciler>();
  try {
    await run(async (ms, ...reconcilers) => {
      for (let passed = 0; passed < ms; passed += 250) {
        for (const reconciler of reconcilers) {
          used.add(reconciler);
          fakes.report(reconciler);
        }
        await clock.tickAsync(250);
      }
    });
  } finally {
    for (const reconciler of used) reconciler.stop();
    clock.uninstall();
  }
}

function createEngines(
  count: number,
  loaded: readonly string[],
  versionSlots = 2,
): FakeEngine[] {
  return Array.from(
    {length: count},
    (unused, index) =>
      new FakeEngine(
        `s${index}`,
        loaded,
        index % 2 === 0 ? 'checked' : 'ignored',
        versionSlots,
      ),
  );
}

function buildRollout(step: number) {
  return buildConfiguration([
    {version: 'v1', replicas: 8},
    {
      version: 'v2',
      replicas: 8,
      replaces: 'v1',
      shares: [0.25, 0.5, 1],
      step,
    },
  ]);
}

test('a roll-out step gets its replicas at the rate limit of the weight store, without a rejected load', async () => {
  const fakes = new FakeEngines(createEngines(8, ['v1']));
  fakes.configuration = buildRollout(0);
  const control = fakes.createReconciler('c1');
  await runPaused(fakes, async advance => {
    await advance(8_000, control);
    assert.equal(
      fakes.count('m/v2'),
      4,
      'two, and two ahead for the next step',
    );
    assert.equal(control.isPlacementReady({model: 'm', version: 'v2'}), true);
    fakes.configuration = buildRollout(2);
    await advance(500, control);
    assert.equal(control.isPlacementReady({model: 'm', version: 'v2'}), false);
    await advance(5_000, control);
    assert.equal(fakes.count('m/v2'), 8);
    assert.equal(fakes.refusedLoads, 0);
    assert.equal(fakes.listExecuted().length, 8, 'one order for each replica');
    assert.equal(fakes.count('m/v1'), 8, 'nothing is unloaded without cause');
  });
});

test('on full engines, replicas of the replaced version are evicted, but never below its minimum', async () => {
  const fakes = new FakeEngines(createEngines(8, ['v1'], 1));
  const control = fakes.createReconciler('c1');
  await runPaused(fakes, async advance => {
    const minimums = [6, 4, 1];
    for (const [step, minimum] of minimums.entries()) {
      fakes.configuration = buildRollout(step);
      fakes.lowestCounts.clear();
      await advance(12_000, control);
      assert.ok(
        (fakes.lowestCounts.get('m/v1') ?? 0) >= minimum,
        `step ${step}`,
      );
      assert.equal(control.isPlacementReady({model: 'm', version: 'v2'}), true);
    }
    assert.equal(fakes.count('m/v2'), 7);
    const [, rollout] = control.listRollouts();
    assert.equal(rollout?.declared, 8);
    assert.equal(rollout?.wanted, 7);
  });
});

test('a withdrawn version is unloaded, but never the last replica of a version in service', async () => {
  const engines = [
    new FakeEngine('s0', ['v1', 'v2']),
    new FakeEngine('s1', ['v1'], 'checked', 1),
  ];
  const fakes = new FakeEngines(engines);
  fakes.configuration = buildConfiguration([
    {version: 'v1', replicas: 2, state: 'withdrawn'},
    {version: 'v2', replicas: 1},
    {version: 'v3', replicas: 2},
  ]);
  const control = fakes.createReconciler('c1');
  await runPaused(fakes, async advance => {
    await advance(15_000, control);
    assert.equal(fakes.count('m/v1'), 0);
    assert.equal(fakes.count('m/v2'), 1);
    assert.equal(fakes.count('m/v3'), 2);
    assert.equal(fakes.lowestCounts.get('m/v2'), 1);
  });
});

test('the load of a version that is withdrawn meanwhile is cancelled, and no replica remains', async () => {
  const fakes = new FakeEngines(createEngines(2, ['v1']), {
    loadMs: 4_000,
    loadsPerSecond: 4,
  });
  const versions = [
    {version: 'v1', replicas: 2},
    {version: 'v2', replicas: 2},
  ];
  fakes.configuration = buildConfiguration(versions);
  const control = fakes.createReconciler('c1');
  await runPaused(fakes, async advance => {
    await advance(6_500, control);
    assert.equal(fakes.listExecuted().length, 2, 'both loads have begun');
    fakes.configuration = buildConfiguration([
      {version: 'v1', replicas: 2},
      {version: 'v2', replicas: 2, state: 'withdrawn'},
    ]);
    await advance(20_000, control);
    assert.equal(fakes.count('m/v2'), 0);
    assert.equal(fakes.lowestCounts.get('m/v1'), 2);
  });
});

test('a load that never finishes is ordered from another engine', async () => {
  const engines = createEngines(3, ['v1']);
  const [stuck] = engines;
  assert.ok(stuck);
  stuck.isStuck = true;
  const fakes = new FakeEngines(engines);
  fakes.configuration = buildConfiguration([
    {version: 'v1', replicas: 3},
    {version: 'v2', replicas: 2},
  ]);
  const control = fakes.createReconciler('c1');
  await runPaused(fakes, async advance => {
    await advance(20_000, control);
    assert.equal(fakes.count('m/v2'), 2);
    assert.equal(stuck.executed.length, 1, 'it is not asked again at once');
  });
});

test('a weight store that is slower than its declared rate delays loads, but none is lost', async () => {
  const fakes = new FakeEngines(createEngines(6, ['v1']), {
    loadMs: 300,
    loadsPerSecond: 2,
  });
  fakes.configuration = buildConfiguration([
    {version: 'v1', replicas: 6},
    {version: 'v2', replicas: 6},
  ]);
  const control = fakes.createReconciler('c1', {
    weightStore: {loads: 10, windowMs: 1_000},
  });
  await runPaused(fakes, async advance => {
    await advance(20_000, control);
    assert.ok(fakes.refusedLoads > 0);
    assert.equal(fakes.count('m/v2'), 6);
  });
});

test('after a minute without a leader, the next one finishes a roll-out without repeating an order', async () => {
  const fakes = new FakeEngines(createEngines(8, ['v1']));
  fakes.configuration = buildRollout(2);
  const former = fakes.createReconciler('c1');
  const next = fakes.createReconciler('c2');
  await runPaused(fakes, async advance => {
    await advance(6_000, former);
    const half = fakes.count('m/v2');
    assert.ok(half > 0 && half < 8, `stopped halfway at ${half}`);
    fakes.leader = 'nobody';
    await advance(60_000, former, next);
    const [, waiting] = former.listRollouts();
    assert.equal(waiting?.waitsFor, 'entry_reports');
    fakes.leader = 'c2';
    fakes.term = 2;
    await advance(12_000, former, next);
    assert.equal(fakes.count('m/v2'), 8);
    assert.equal(fakes.listExecuted().length, 8, 'no load is repeated');
  });
});

test("a deposed leader's late order is refused or undone", async () => {
  const engines = createEngines(4, ['v1', 'v2']);
  const fakes = new FakeEngines(engines);
  fakes.configuration = buildConfiguration([
    {version: 'v1', replicas: 4},
    {version: 'v2', replicas: 4, state: 'withdrawn'},
  ]);
  const delayed: Array<[string, EngineOrderMessage]> = [];
  const former = fakes.createReconciler('c1', {
    sendOrder: async (address, order) => {
      delayed.push([address, order]);
      return {state: 'unknown'};
    },
  });
  const next = fakes.createReconciler('c2');
  await runPaused(fakes, async advance => {
    await advance(6_000, former);
    assert.equal(delayed.length, 4, 'an unload for each engine is under way');
    fakes.leader = 'c2';
    fakes.term = 2;
    // Operators reactivate the version under the next leader.
    fakes.configuration = buildConfiguration([
      {version: 'v1', replicas: 4},
      {version: 'v2', replicas: 4},
    ]);
    await advance(2_000, next);
    for (const [address, order] of delayed) fakes.execute(address, order);
    assert.equal(fakes.count('m/v2'), 0);
    await advance(15_000, former, next);
    assert.equal(fakes.count('m/v2'), 4, 'the late unloads did not last');
    for (const [address, order] of delayed) {
      const {state} = fakes.execute(address, order);
      const engine = engines.find(({id}) => id === address);
      const expected = engine?.fencing === 'checked' ? 'fenced' : 'accepted';
      assert.equal(state, expected);
    }
    await advance(10_000, next);
    assert.equal(fakes.count('m/v2'), 4);
  });
});

test('a new leader orders nothing from servers that ignore fencing while the former one may still act', async () => {
  const engines = [
    new FakeEngine('checks', ['v1'], 'checked'),
    new FakeEngine('ignores', ['v1'], 'ignored'),
  ];
  const fakes = new FakeEngines(engines);
  fakes.configuration = buildConfiguration([
    {version: 'v1', replicas: 2},
    {version: 'v2', replicas: 2},
  ]);
  const control = fakes.createReconciler('c1', {
    settleMs: 1_000,
    leaderLeaseMs: 3_000,
    orderTimeoutMs: 2_000,
  });
  await runPaused(fakes, async advance => {
    await advance(4_500, control);
    assert.deepEqual(
      engines.map(({executed}) => executed.length),
      [1, 0],
    );
    await advance(2_000, control);
    assert.equal(engines[1]?.executed.length, 1);
  });
});

test('the status describes what each version waits for', async () => {
  const fakes = new FakeEngines(createEngines(2, ['v1']), {
    loadMs: 2_000,
    loadsPerSecond: 1,
  });
  const declared = [
    {version: 'v1', replicas: 2},
    {version: 'v2', replicas: 2, replaces: 'v1'},
    {version: 'v9', replicas: 0},
  ];
  fakes.configuration = buildConfiguration(declared);
  const control = fakes.createReconciler('c1');
  const listWaits = () => control.listRollouts().map(({waitsFor}) => waitsFor);
  await runPaused(fakes, async advance => {
    await advance(1_000, control);
    assert.deepEqual(new Set(listWaits()), new Set(['entry_reports']));
    await advance(4_500, control);
    assert.deepEqual(listWaits(), ['nothing', 'weight_store', 'replica']);
    await advance(1_500, control);
    assert.deepEqual(listWaits(), ['nothing', 'loading', 'replica']);
    await advance(3_000, control);
    assert.deepEqual(listWaits(), ['nothing', 'guard', 'replica']);
    fakes.configuration = buildConfiguration([
      {version: 'v1', replicas: 3},
      {version: 'v2', replicas: 2, state: 'withdrawn'},
      {version: 'v9', replicas: 0, state: 'quarantined'},
    ]);
    await advance(500, control);
    assert.deepEqual(listWaits(), ['room', 'unloading', 'nothing']);
    await advance(8_000, control);
    assert.deepEqual(listWaits(), ['room', 'nothing', 'nothing']);
  });
});
