import assert from 'node:assert/strict';
import {NO_FAULTS, PausedClock} from '@sycamorehead/consensus/testing';
import {InForceReport, PublishResult} from '@sycamorehead/control';
import {SycamoreheadError, parseReleaseNote} from '@sycamorehead/schema';
import {ControlGroup} from './ControlGroup.js';

const CONTROL_NAMES = ['c1', 'c2', 'c3'];
const ENTRY_COUNT = 3;
const STEP_MS = 50;
const RECOVERY_TIMEOUT_MS = 30_000;

/** Type of a step. @internal */
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

/** All step types. @internal */
export const CONFIGURATION_STEP_TYPES: readonly ConfigurationStepType[] = [
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

/** One step; `target` and `amount` select instances, durations and fault rates. @internal */
export interface ConfigurationStep {
  readonly type: ConfigurationStepType;
  readonly target: number;
  readonly amount: number;
}

/**
 * Runs random steps on control and entries and checks the invariants: each note number is accepted
 * with one digest and one revision, the revision that is read never decreases, and no entry routes
 * on a revision below one that was reported in force.
 *
 * @internal
 */
export class ConfigurationScenario {
  private readonly controlGroup: ControlGroup;
  private readonly acceptedNotes = new Map<number, PublishResult>();
  private readonly violations: string[] = [];
  private readonly pendingCalls = new Set<Promise<unknown>>();
  private highestReportedRevision = 0;
  private highestInForceRevision = 0;
  private lastNoteNumber = 0;

  private readonly steps: Record<
    ConfigurationStepType,
    (step: ConfigurationStep) => Promise<void> | void
  > = {
    advance: ({amount}) => this.advance(20 + amount * 15),
    publish: step => this.publish(step),
    read: ({target}) => this.read(pickControlName(target)),
    drop_link: ({target, amount}) =>
      this.network.dropLink(pickControlName(target), pickControlName(amount)),
    drop_entry_link: step => this.dropEntryLink(step),
    isolate: ({target}) => this.network.dropLinksOf(pickControlName(target)),
    restore_links: () => this.network.restoreLinks(),
    lossy: ({target, amount}) => this.setFaults(target, amount),
    lose_power: ({target}) =>
      this.controlGroup.group.abort(pickControlName(target)),
    start: ({target}) => this.start(pickControlName(target)),
    restart_entry: ({target}) =>
      this.controlGroup.restartEntry(
        this.controlGroup.entries[target % ENTRY_COUNT]!,
      ),
  };

  constructor(clock: PausedClock, random: () => number) {
    this.controlGroup = new ControlGroup(clock, random, CONTROL_NAMES, {
      snapshotBytes: 2_000,
      trailingEntries: 3,
    });
  }

  /** Runs the steps, ends all faults, waits for recovery and checks that nothing was violated. */
  async run(steps: readonly ConfigurationStep[]): Promise<void> {
    await this.controlGroup.start(ENTRY_COUNT);
    for (const step of steps) {
      await this.steps[step.type](step);
      this.checkEntries();
      assert.deepEqual(this.violations, []);
    }
    await this.recover();
    assert.deepEqual(this.violations, []);
    this.controlGroup.stop();
  }

  private get network() {
    return this.controlGroup.group.network;
  }

  private async advance(ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      await this.controlGroup.advance(STEP_MS);
      this.checkEntries();
    }
  }

  /** Publishes one of two notes with the next number, so that operators often conflict or resend. */
  private publish({target, amount}: ConfigurationStep): void {
    const control = this.controlGroup.getControl(pickControlName(target));
    if (!control) return;
    const note = buildNote(this.lastNoteNumber, `s${amount % 2}`);
    this.trackCall(
      control.publish(note).then(result => {
        const first = this.acceptedNotes.get(result.number) ?? result;
        if (first.digest !== result.digest) {
          this.violations.push(
            `note ${result.number} was accepted with two digests`,
          );
        }
        if (first.revision !== result.revision) {
          this.violations.push(
            `note ${result.number} was accepted with two revisions`,
          );
        }
        this.acceptedNotes.set(result.number, result);
        this.lastNoteNumber = Math.max(this.lastNoteNumber, result.number);
        this.highestReportedRevision = Math.max(
          this.highestReportedRevision,
          result.revision,
        );
      }),
    );
  }

  private read(name: string): void {
    const control = this.controlGroup.getControl(name);
    if (!control) return;
    const {highestReportedRevision, highestInForceRevision} = this;
    this.trackCall(
      control.readInForce().then(report => {
        if (report.revision < highestReportedRevision) {
          this.violations.push(
            `read revision ${report.revision} after revision ${highestReportedRevision}`,
          );
        }
        if (report.inForceRevision < highestInForceRevision) {
          this.violations.push('the revision in force decreased');
        }
        this.recordReport(report);
      }),
    );
  }

  private recordReport({revision, inForceRevision}: InForceReport): void {
    this.highestReportedRevision = Math.max(
      this.highestReportedRevision,
      revision,
    );
    this.highestInForceRevision = Math.max(
      this.highestInForceRevision,
      inForceRevision,
    );
  }

  private checkEntries(): void {
    for (const entry of this.controlGroup.entries) {
      const revision = this.controlGroup.readRoutingRevision(entry);
      if (revision === undefined || revision >= this.highestInForceRevision)
        continue;
      this.violations.push(
        `${entry.name} routes on revision ${revision} while revision ${this.highestInForceRevision} is in force`,
      );
    }
  }

  private dropEntryLink({target, amount}: ConfigurationStep): void {
    const {name} = this.controlGroup.entries[target % ENTRY_COUNT]!;
    const controlName = pickControlName(amount);
    if (amount % 2 === 0) this.network.dropLink(name, controlName);
    else this.network.dropLink(controlName, name);
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
    const {group} = this.controlGroup;
    if (!group.get(name).node) await group.start(name);
  }

  private async recover(): Promise<void> {
    this.network.faults = NO_FAULTS;
    this.network.restoreLinks();
    for (const name of CONTROL_NAMES) await this.start(name);
    const deadline = performance.now() + RECOVERY_TIMEOUT_MS;
    while (!(await this.isRecovered())) {
      assert.ok(
        performance.now() < deadline,
        'the entries did not route on the newest revision within the recovery timeout',
      );
    }
  }

  private async isRecovered(): Promise<boolean> {
    this.publish({type: 'publish', target: 0, amount: 0});
    this.publish({type: 'publish', target: 1, amount: 0});
    this.publish({type: 'publish', target: 2, amount: 0});
    for (const name of CONTROL_NAMES) this.read(name);
    await this.advance(500);
    const revisions = this.controlGroup.entries.map(entry =>
      this.controlGroup.readRoutingRevision(entry),
    );
    return (
      this.highestInForceRevision > 0 &&
      revisions.every(revision => revision === this.highestReportedRevision)
    );
  }

  private trackCall(call: Promise<unknown>): void {
    const settled = call
      .catch((error: unknown) => {
        if (error instanceof SycamoreheadError && error.kind !== 'internal') {
          return;
        }
        this.violations.push(String(error));
      })
      .finally(() => this.pendingCalls.delete(settled));
    this.pendingCalls.add(settled);
  }
}

/** Builds the release note that follows the note with the given number. @internal */
export function buildNote(previousNumber: number, summary: string) {
  const number = previousNumber + 1;
  return parseReleaseNote(
    `number: ${number}\nfollows: ${previousNumber}\nsummary: ${summary}\n`,
  );
}

function pickControlName(number: number): string {
  return CONTROL_NAMES[number % CONTROL_NAMES.length]!;
}
