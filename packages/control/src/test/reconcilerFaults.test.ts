import assert from 'node:assert/strict';
import {test} from 'node:test';
import FakeTimers from '@sinonjs/fake-timers';
import fc from 'fast-check';
import type {Configuration} from '@sycamorehead/schema';
import {computeReplicaRequirements} from '../lib/reconciler/computeReplicaRequirements.js';
import type {EngineOrderMessage} from '../lib/reconciler/sendOrder.js';
import {FakeEngine, FakeEngines, buildConfiguration} from './FakeEngines.js';

const ENGINES = 6;
const SHARES = [0.25, 0.5, 1];
const TICK_MS = 250;
const CALM_MS = 60_000;

type Fault =
  | {readonly kind: 'elect'; readonly leader: 'c1' | 'c2' | 'nobody'}
  | {readonly kind: 'advance'}
  | {readonly kind: 'withdraw'}
  | {readonly kind: 'restart'; readonly engine: number}
  | {readonly kind: 'stick'; readonly engine: number};

interface TimedFault {
  readonly fault: Fault;
  readonly afterMs: number;
}

const engineIndex = fc.integer({min: 0, max: ENGINES - 1});
const faults: fc.Arbitrary<TimedFault[]> = fc.array(
  fc.record({
    afterMs: fc.integer({min: 0, max: 8_000}),
    fault: fc.oneof(
      fc.record({
        kind: fc.constant('elect' as const),
        leader: fc.constantFrom(
          'c1' as const,
          'c2' as const,
          'nobody' as const,
        ),
      }),
      fc.record({kind: fc.constant('advance' as const)}),
      fc.record({kind: fc.constant('withdraw' as const)}),
      fc.record({kind: fc.constant('restart' as const), engine: engineIndex}),
      fc.record({kind: fc.constant('stick' as const), engine: engineIndex}),
    ),
  }),
  {maxLength: 8},
);

/** A roll-out of v2 over v1 on full engines, with faults to bring about. */
class FaultyRollout {
  readonly fakes = new FakeEngines(
    Array.from(
      {length: ENGINES},
      (unused, index) =>
        new FakeEngine(
          `s${index}`,
          ['v1'],
          index % 2 === 0 ? 'checked' : 'ignored',
          1 + (index % 2),
        ),
    ),
  );
  private step = 0;
  private isWithdrawn = false;
  private readonly reconcilers = ['c1', 'c2'].map(name =>
    this.fakes.createReconciler(name, {
      loadTimeoutMs: 3_000,
      sendOrder: async (address, order) => {
        this.assertSafe(order);
        return this.fakes.execute(address, order);
      },
    }),
  );

  constructor(private readonly clock: ReturnType<typeof FakeTimers.install>) {
    this.updateConfiguration();
  }

  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      for (const reconciler of this.reconcilers) {
        this.fakes.report(reconciler);
      }
      await this.clock.tickAsync(TICK_MS);
    }
  }

  apply(fault: Fault): void {
    const handlers: Record<Fault['kind'], () => void> = {
      elect: () => this.elect('leader' in fault ? fault.leader : 'c1'),
      advance: () => (this.step = Math.min(this.step + 1, SHARES.length - 1)),
      withdraw: () => (this.isWithdrawn = true),
      restart: () => this.getEngine(fault).restart(),
      stick: () => (this.getEngine(fault).isStuck = true),
    };
    handlers[fault.kind]();
    this.updateConfiguration();
  }

  /** Ends every fault. */
  recover(): void {
    this.elect('c1');
    for (const engine of this.fakes.engines) engine.isStuck = false;
  }

  stop(): void {
    for (const reconciler of this.reconcilers) reconciler.stop();
  }

  private elect(leader: string): void {
    if (this.fakes.leader !== leader) this.fakes.term += 1;
    this.fakes.leader = leader;
  }

  private getEngine(fault: Fault): FakeEngine {
    const index = 'engine' in fault ? fault.engine : 0;
    const engine = this.fakes.engines[index];
    assert.ok(engine);
    return engine;
  }

  private updateConfiguration(): void {
    const state = this.isWithdrawn ? {state: 'withdrawn' as const} : {};
    this.fakes.configuration = buildConfiguration([
      {version: 'v1', replicas: ENGINES},
      {
        version: 'v2',
        replicas: ENGINES,
        replaces: 'v1',
        shares: SHARES,
        step: this.step,
        ...state,
      },
    ]);
  }

  /** Fails where an unload would take a needed version below its need. */
  private assertSafe({action, model, version}: EngineOrderMessage): void {
    if (action === 'load') return;
    const key = `${model}/${version}`;
    const needs = readNeeds(this.fakes.configuration);
    const need = needs.get(key)?.minimum ?? 0;
    const left = this.fakes.count(key) - 1;
    assert.ok(left >= need || need === 0, `${key}: ${left} left, need ${need}`);
  }

  assertSettled(): void {
    const needs = readNeeds(this.fakes.configuration);
    for (const [key, {minimum: need}] of needs) {
      const count = this.fakes.count(key);
      assert.ok(count >= need, `${key}: ${count} of ${need} after all faults`);
    }
    if (this.isWithdrawn) assert.equal(this.fakes.count('m/v2'), 0);
  }
}

function readNeeds(configuration: Configuration) {
  return computeReplicaRequirements(
    configuration,
    () => 0,
    () => 0,
  );
}

test('whatever fails in a roll-out, no unload goes below a need and all ends as declared', () =>
  fc.assert(
    fc.asyncProperty(faults, async sequence => {
      const clock = FakeTimers.install();
      const rollout = new FaultyRollout(clock);
      try {
        for (const {fault, afterMs} of sequence) {
          await rollout.run(afterMs);
          rollout.apply(fault);
        }
        rollout.recover();
        await rollout.run(CALM_MS);
        rollout.assertSettled();
      } finally {
        rollout.stop();
        clock.uninstall();
      }
    }),
    {numRuns: 25},
  ));
