import assert from 'node:assert/strict';
import {SycamoreheadError} from '@sycamorehead/schema';
import type {RaftNode} from '../lib/RaftNode.js';
import {
  AppliedCommand,
  FakeGroup,
  FakeInstance,
  NO_FAULTS,
  PausedClock,
  RecordingMachine,
} from '../testing/index.js';

/** Number of disks that may be missing at a time, by the size of the group. */
const FAULTS: Readonly<Record<GroupSize, number>> = {3: 1, 5: 2};
const RECOVERY_MS = 120_000;
/**
 * Time within which all members must catch up, in milliseconds. It exceeds the timeout of a
 * snapshot chunk, since one may have been lost just before.
 */
const CATCH_UP_MS = 5_000;
const LAST_ATTEMPTS = 5;
const RETRY_MS = 200;

/** Number of members of a group. @internal */
export type GroupSize = 3 | 5;

/** One step of a scenario; its numbers select instances and sizes. @internal */
export interface FaultStep {
  readonly type: FaultStepType;
  readonly target: number;
  readonly amount: number;
}

/** The type of a step. @internal */
export type FaultStepType =
  | 'advance'
  | 'propose'
  | 'read'
  | 'drop_link'
  | 'isolate'
  | 'restore_links'
  | 'lossy'
  | 'lose_power'
  | 'kill'
  | 'start'
  | 'stop'
  | 'lose_disk';

/** All types of steps. @internal */
export const FAULT_STEPS: readonly FaultStepType[] = [
  'advance',
  'propose',
  'read',
  'drop_link',
  'isolate',
  'restore_links',
  'lossy',
  'lose_power',
  'kill',
  'start',
  'stop',
  'lose_disk',
];

/**
 * Runs random steps on a group of three or five and checks the invariants: an acknowledged command keeps
 * its index, no index has two commands, no term has two leaders, and no confirmed read sees fewer
 * commands than an earlier one.
 *
 * @internal
 */
export class FaultScenario {
  private readonly group: FakeGroup<RecordingMachine>;
  private readonly byIndex = new Map<number, string>();
  private readonly leaders = new Map<number, string>();
  private readonly acknowledged = new Map<number, string>();
  private readonly violations: string[] = [];
  private readonly pendingWork = new Set<Promise<unknown>>();
  /** Number of commands that every later confirmed read must see. */
  private minVisible = 0;
  private proposals = 0;
  private readonly names: readonly string[];
  /** Instances whose empty disk has not replaced the lost one in the group yet. */
  private readonly repairs = new Set<string>();

  private readonly steps: Record<
    FaultStepType,
    (step: FaultStep) => Promise<void> | void
  > = {
    advance: ({amount}) => this.clock.advance(20 + amount * 15),
    propose: step => this.propose(step),
    read: step => this.read(step),
    drop_link: ({target, amount}) =>
      this.group.network.dropLink(this.pickName(target), this.pickName(amount)),
    isolate: ({target}) =>
      this.group.network.dropLinksOf(this.pickName(target)),
    restore_links: () => this.group.network.restoreLinks(),
    lossy: ({target, amount}) => this.setFaults(target, amount),
    lose_power: ({target}) => this.group.abort(this.pickName(target)),
    kill: ({target}) => this.group.abortProcess(this.pickName(target)),
    start: ({target}) => this.start(this.pickName(target)),
    stop: ({target}) => this.stop(this.pickName(target)),
    lose_disk: ({target}) => this.replaceDisk(this.pickName(target)),
  };

  constructor(
    private readonly clock: PausedClock,
    random: () => number,
    private readonly size: GroupSize,
  ) {
    this.names = ['c1', 'c2', 'c3', 'c4', 'c5'].slice(0, size);
    this.group = new FakeGroup({
      clock,
      random,
      createMachine: () =>
        new RecordingMachine(applied => this.checkApplied(applied)),
      node: {snapshotBytes: 1_500, segmentBytes: 500, trailingEntries: 3},
      syncMs: Math.floor(random() * 15),
    });
  }

  /** Runs the steps, lets the group recover, and checks the outcome. */
  async run(steps: readonly FaultStep[]): Promise<void> {
    await this.group.createGroup(this.names);
    for (const step of steps) {
      await this.steps[step.type](step);
      this.checkLeaders();
      assert.deepEqual(this.violations, []);
    }
    await this.recover();
    await this.checkOutcome();
    this.group.stop();
  }

  private propose({target, amount}: FaultStep): void {
    const {node} = this.group.get(this.pickName(target));
    for (let count = 0; node && count <= amount % 5; count++) {
      const command = `p${(this.proposals += 1)}`;
      this.watch(
        node.propose(command).then(index => {
          this.acknowledged.set(Number(index), command);
          this.minVisible = Math.max(this.minVisible, Number(index));
        }),
      );
    }
  }

  private read({target}: FaultStep): void {
    const instance = this.group.get(this.pickName(target));
    const {node, machine} = instance;
    if (!node) return;
    const expected = this.minVisible;
    this.watch(
      node.confirmLeadership().then(() => {
        const count = machine.applied.length;
        if (count < expected) {
          this.violations.push(`read of ${count} commands after ${expected}`);
        }
        this.minVisible = Math.max(this.minVisible, count);
      }),
    );
  }

  private setFaults(target: number, amount: number): void {
    this.group.network.faults = {
      dropRate: (amount % 4) / 10,
      duplicateRate: (target % 4) / 10,
      minDelayMs: 1,
      maxDelayMs: 1 + amount * 2,
    };
  }

  private async start(name: string): Promise<void> {
    if (!this.group.get(name).node) await this.group.start(name);
  }

  private async stop(name: string): Promise<void> {
    const {node} = this.group.get(name);
    if (!node) return;
    await this.clock.settle(node.stop());
    this.group.abort(name);
  }

  /** Replaces a disk, unless as many are being replaced as may be missing at a time. */
  private async replaceDisk(name: string): Promise<void> {
    const isRefused =
      this.repairs.has(name) || this.repairs.size >= FAULTS[this.size];
    if (isRefused) return;
    this.repairs.add(name);
    const lostId = this.group.get(name).id;
    await this.group.resetDisk(name);
    await this.group.start(name);
    const repair = this.repair(name, lostId).finally(() => {
      this.repairs.delete(name);
    });
    this.watch(repair);
  }

  private async repair(name: string, lostId: string): Promise<void> {
    while (!(await this.tryRepair(name, lostId))) {
      await new Promise(resolve => setTimeout(resolve, RETRY_MS));
    }
  }

  private async tryRepair(name: string, lostId: string): Promise<boolean> {
    const node = this.group.findLeader()?.node;
    if (!node) return false;
    try {
      // Two members that are replaced catch up at the same time.
      if (this.size === 3) await node.addMember(name, name);
      else await this.addAndAdmit(node, name);
      await node.removeMember(lostId);
      return true;
    } catch (error) {
      // The removal has been made already if the reply to an earlier attempt was lost.
      if (!isKind(error, 'not_found')) return false;
    }
    return node.confirmLeadership().then(
      () => true,
      () => false,
    );
  }

  private async addAndAdmit(node: RaftNode, name: string): Promise<void> {
    const {id} = this.group.get(name);
    await node.addLearner({id, instance: name, address: name});
    while (!node.isCaughtUp(id)) {
      if (node.getStatus().role !== 'leader') throw new Error('not leading');
      await new Promise(resolve => setTimeout(resolve, RETRY_MS));
    }
    await node.admitVoter(id);
  }

  private async recover(): Promise<void> {
    this.group.network.faults = NO_FAULTS;
    this.group.network.restoreLinks();
    for (const name of this.names) await this.start(name);
    const isIdle = await this.clock.advanceUntil(
      () => this.repairs.size === 0 && this.pendingWork.size === 0,
      RECOVERY_MS,
      200,
    );
    assert.ok(isIdle, 'operations are still pending after the recovery');
    const index = await this.proposeLast();
    const isCaughtUp = await this.clock.advanceUntil(
      () =>
        this.names.every(
          name => this.group.get(name).machine.applied.length >= index,
        ),
      CATCH_UP_MS,
    );
    assert.ok(isCaughtUp, 'a member has not caught up');
  }

  /** Proposes a last command, with retries, since an election may still be running. */
  private async proposeLast(): Promise<number> {
    for (let attempt = 1; ; attempt++) {
      try {
        const command = `last${attempt}`;
        const index = Number(await this.group.propose(command));
        this.acknowledged.set(index, command);
        return index;
      } catch (error) {
        if (attempt === LAST_ATTEMPTS) throw error;
        await this.clock.advance(500);
      }
    }
  }

  private async checkOutcome(): Promise<void> {
    assert.deepEqual(this.violations, []);
    const lists = this.names.map(name => this.group.get(name).machine.list());
    const [list = []] = lists;
    for (const other of lists) assert.deepEqual(other, list);
    for (const [index, command] of this.acknowledged) {
      assert.equal(list[index - 1], command);
    }
  }

  private checkApplied({index, command}: AppliedCommand): void {
    const before = this.byIndex.get(index) ?? command;
    if (before !== command) {
      this.violations.push(`index ${index}: ${before} and ${command}`);
    }
    this.byIndex.set(index, command);
  }

  private checkLeaders(): void {
    for (const {node, failure, id} of this.group.instances.values()) {
      this.checkFailure(id, failure);
      const status = node?.getStatus();
      if (status?.role !== 'leader') continue;
      const before = this.leaders.get(status.term) ?? id;
      if (before !== id) {
        this.violations.push(`term ${status.term}: ${before} and ${id}`);
      }
      this.leaders.set(status.term, id);
    }
  }

  private checkFailure(
    id: string,
    failure: FakeInstance<RecordingMachine>['failure'],
  ): void {
    if (failure) this.violations.push(`${id}: ${failure.message}`);
  }

  private pickName(number: number): string {
    return this.names[number % this.names.length]!;
  }

  private watch(work: Promise<unknown>): void {
    const settled = work
      .catch((error: unknown) => {
        // Rejections and unknown outcomes are expected; anything else is a violation.
        if (error instanceof SycamoreheadError && error.kind !== 'internal') {
          return;
        }
        this.violations.push(String(error));
      })
      .finally(() => this.pendingWork.delete(settled));
    this.pendingWork.add(settled);
  }
}

function isKind(error: unknown, kind: SycamoreheadError['kind']): boolean {
  return error instanceof SycamoreheadError && error.kind === kind;
}
