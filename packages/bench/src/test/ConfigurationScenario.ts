import assert from 'node:assert/strict';
import {NO_FAULTS, PausedClock} from '@sycamorehead/consensus/testing';
import {InForceReport, PublishResult} from '@sycamorehead/control';
import {SycamoreheadError, parseReleaseNote} from '@sycamorehead/schema';
import {ControlGroup} from './ControlGroup.js';

const NAMES = ['c1', 'c2', 'c3'];
const ENTRIES = 3;
const STEP_MS = 50;
const RECOVERY_MS = 30_000;

/** What a step does. @internal */
export type ConfigurationStepType =
  | 'advance'
  | 'publish'
  | 'read'
  | 'drop_link'
  | 'drop_entry_link'
  | 'isolate'
  | 'restore_links'
  | 'lossy'
  | 'lose_power'
  | 'start'
  | 'restart_entry';

/** Every type of step. @internal */
export const CONFIGURATION_STEPS: readonly ConfigurationStepType[] = [
  'advance',
  'publish',
  'read',
  'drop_link',
  'drop_entry_link',
  'isolate',
  'restore_links',
  'lossy',
  'lose_power',
  'start',
  'restart_entry',
];

/** One step; the numbers pick instances and sizes. @internal */
export interface ConfigurationStep {
  readonly type: ConfigurationStepType;
  readonly target: number;
  readonly amount: number;
}

/**
 * Runs random steps on control and entries and checks what must always hold: an accepted note
 * stays the only one of its number, no reader's revision goes back, and no entry routes on a
 * revision below one that was reported in force.
 *
 * @internal
 */
export class ConfigurationScenario {
  private readonly control: ControlGroup;
  private readonly accepted = new Map<number, PublishResult>();
  private readonly violations: string[] = [];
  private readonly open = new Set<Promise<unknown>>();
  private seenRevision = 0;
  private reportedInForce = 0;
  private noteNumber = 0;

  private readonly steps: Record<
    ConfigurationStepType,
    (step: ConfigurationStep) => Promise<void> | void
  > = {
    advance: ({amount}) => this.advance(20 + amount * 15),
    publish: step => this.publish(step),
    read: ({target}) => this.read(pickName(target)),
    drop_link: ({target, amount}) =>
      this.network.dropLink(pickName(target), pickName(amount)),
    drop_entry_link: step => this.dropEntryLink(step),
    isolate: ({target}) => this.network.dropLinksOf(pickName(target)),
    restore_links: () => this.network.restoreLinks(),
    lossy: ({target, amount}) => this.setFaults(target, amount),
    lose_power: ({target}) => this.control.group.abort(pickName(target)),
    start: ({target}) => this.start(pickName(target)),
    restart_entry: ({target}) =>
      this.control.restartEntry(this.control.entries[target % ENTRIES]!),
  };

  constructor(clock: PausedClock, random: () => number) {
    this.control = new ControlGroup(clock, random, NAMES, {
      snapshotBytes: 2_000,
      trailingEntries: 3,
    });
  }

  /** Runs the steps, lets everything recover, and checks the outcome. */
  async run(steps: readonly ConfigurationStep[]): Promise<void> {
    await this.control.start(ENTRIES);
    for (const step of steps) {
      await this.steps[step.type](step);
      this.checkEntries();
      assert.deepEqual(this.violations, []);
    }
    await this.recover();
    assert.deepEqual(this.violations, []);
    this.control.stop();
  }

  private get network() {
    return this.control.group.network;
  }

  private async advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await this.control.advance(STEP_MS);
      this.checkEntries();
    }
  }

  /** Two operators often publish different notes under one number, and resend. */
  private publish({target, amount}: ConfigurationStep): void {
    const control = this.control.getControl(pickName(target));
    if (!control) return;
    const note = buildNote(this.noteNumber, `s${amount % 2}`);
    this.watch(
      control.publish(note).then(result => {
        const before = this.accepted.get(result.number) ?? result;
        if (before.digest !== result.digest) {
          this.violations.push(`note ${result.number} accepted twice`);
        }
        if (before.revision !== result.revision) {
          this.violations.push(`note ${result.number} has two revisions`);
        }
        this.accepted.set(result.number, result);
        this.noteNumber = Math.max(this.noteNumber, result.number);
        this.seenRevision = Math.max(this.seenRevision, result.revision);
      }),
    );
  }

  private read(name: string): void {
    const control = this.control.getControl(name);
    if (!control) return;
    const {seenRevision, reportedInForce} = this;
    this.watch(
      control.readInForce().then(report => {
        if (report.revision < seenRevision) {
          this.violations.push(`read ${report.revision} after ${seenRevision}`);
        }
        if (report.inForceRevision < reportedInForce) {
          this.violations.push('in force went back');
        }
        this.noteReport(report);
      }),
    );
  }

  private noteReport({revision, inForceRevision}: InForceReport): void {
    this.seenRevision = Math.max(this.seenRevision, revision);
    this.reportedInForce = Math.max(this.reportedInForce, inForceRevision);
  }

  private checkEntries(): void {
    for (const entry of this.control.entries) {
      const routed = this.control.readRouted(entry);
      if (routed === undefined || routed >= this.reportedInForce) continue;
      this.violations.push(
        `${entry.name} routes on ${routed} while ${this.reportedInForce} is in force`,
      );
    }
  }

  private dropEntryLink({target, amount}: ConfigurationStep): void {
    const {name} = this.control.entries[target % ENTRIES]!;
    const other = pickName(amount);
    if (amount % 2 === 0) this.network.dropLink(name, other);
    else this.network.dropLink(other, name);
  }

  private setFaults(target: number, amount: number): void {
    this.network.faults = {
      dropRate: (amount % 4) / 10,
      duplicateRate: (target % 4) / 10,
      minDelayMs: 1,
      maxDelayMs: 1 + amount * 5,
    };
  }

  private async start(name: string): Promise<void> {
    const {group} = this.control;
    if (!group.get(name).node) await group.start(name);
  }

  private async recover(): Promise<void> {
    this.network.faults = NO_FAULTS;
    this.network.restoreLinks();
    for (const name of NAMES) await this.start(name);
    const deadline = performance.now() + RECOVERY_MS;
    while (!(await this.isRecovered())) {
      assert.ok(performance.now() < deadline, 'nothing came into force');
    }
  }

  private async isRecovered(): Promise<boolean> {
    this.publish({type: 'publish', target: 0, amount: 0});
    this.publish({type: 'publish', target: 1, amount: 0});
    this.publish({type: 'publish', target: 2, amount: 0});
    for (const name of NAMES) this.read(name);
    await this.advance(500);
    const revisions = this.control.entries.map(entry =>
      this.control.readRouted(entry),
    );
    return (
      this.reportedInForce > 0 &&
      revisions.every(revision => revision === this.seenRevision)
    );
  }

  private watch(work: Promise<unknown>): void {
    const settled = work
      .catch((error: unknown) => {
        if (error instanceof SycamoreheadError && error.kind !== 'internal') {
          return;
        }
        this.violations.push(String(error));
      })
      .finally(() => this.open.delete(settled));
    this.open.add(settled);
  }
}

/** Builds the note that follows another. @internal */
export function buildNote(follows: number, summary: string) {
  const number = follows + 1;
  return parseReleaseNote(
    `number: ${number}\nfollows: ${follows}\nsummary: ${summary}\n`,
  );
}

function pickName(number: number): string {
  return NAMES[number % NAMES.length]!;
}
