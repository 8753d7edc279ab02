import {
  Bill,
  Configuration,
  EMPTY_CONFIGURATION,
  JsonValue,
  SycamoreheadError,
  applyReleaseNote,
  computeDigest,
  evictOldest,
  formatVersionKey,
  isServing,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import type {StateMachine} from '@sycamorehead/consensus';
import type {
  ControlCommand,
  ControlCommandType,
  ControlResults,
  PublishResult,
} from './controlCommands.js';
import {Ledger, LedgerReport} from './Ledger.js';
import {RequestRecords} from './RequestRecords.js';
import {SessionPins} from './SessionPins.js';

type CommandOf<Type extends ControlCommandType> = Extract<
  ControlCommand,
  {type: Type}
>;
type HandlerTable = {
  [Type in ControlCommandType]: (
    command: CommandOf<Type>,
    index: number,
  ) => ControlResults[Type];
};

/** An accepted note, retained so that a resend gets the same answer. */
interface AcceptedNote {
  readonly number: number;
  readonly digest: string;
  readonly revision: number;
}

const MAX_ACCEPTED_NOTES = 10_000;

/**
 * The replicated state of control: configuration, sessions, request records and bills.
 * Applying the same commands in the same order gives the same state on every voter.
 *
 * @public
 */
export class ControlState implements StateMachine {
  private configuration: Configuration = EMPTY_CONFIGURATION;
  private accepted = new Map<number, AcceptedNote>();
  private inForceRevision = 0;
  private readonly revisionListeners: Array<() => void> = [];
  private readonly sessions = new SessionPins();
  private readonly requests = new RequestRecords();
  private readonly ledger = new Ledger();

  private readonly handlers: HandlerTable = {
    publish: command => this.publish(command),
    mark_in_force: command => this.markInForce(command),
    quarantine: command => this.quarantine(command),
    advance_rollout: command => this.advanceRollout(command),
    pin_session: command => this.sessions.pin(command, this.configuration),
    begin_request: (command, index) => this.requests.begin(command, index),
    finish_request: command => this.finishRequest(command),
    record_bill: ({bill}) => this.ledger.record(bill),
    // The log only assigns the fencing number of an order; its effect is announced by the server.
    issue_order: (command, index) => ({fencing: index}),
  };

  apply(command: JsonValue, index: number): JsonValue {
    const typed = command as unknown as ControlCommand;
    const handler = this.handlers[typed.type] as (
      command: ControlCommand,
      index: number,
    ) => unknown;
    const before = this.configuration;
    const result = handler(typed, index) as JsonValue;
    if (this.configuration !== before) this.notifyRevision();
    return result;
  }

  takeSnapshot(): JsonValue {
    return {
      configuration: this.configuration,
      accepted: [...this.accepted.values()],
      inForceRevision: this.inForceRevision,
      sessions: this.sessions.toJson(),
      requests: this.requests.toJson(),
      ledger: this.ledger.toJson(),
    } as unknown as JsonValue;
  }

  restoreSnapshot(snapshot: JsonValue): void {
    const state = snapshot as unknown as {
      configuration: Configuration;
      accepted: AcceptedNote[];
      inForceRevision: number;
      sessions: JsonValue;
      requests: JsonValue;
      ledger: JsonValue;
    };
    this.configuration = state.configuration;
    this.accepted = new Map(state.accepted.map(note => [note.number, note]));
    this.inForceRevision = state.inForceRevision;
    this.sessions.restore(state.sessions);
    this.requests.restore(state.requests);
    this.ledger.restore(state.ledger);
    this.notifyRevision();
  }

  /** Returns the committed configuration. */
  getConfiguration(): Configuration {
    return this.configuration;
  }

  /** Returns the newest revision that is known to be in force on every entry. */
  getInForceRevision(): number {
    return this.inForceRevision;
  }

  /** Calls the listener after each change of the configuration. */
  addRevisionListener(listener: () => void): void {
    this.revisionListeners.push(listener);
  }

  /** Returns the bills, of one customer if given. */
  listBills(customer?: string): Bill[] {
    return this.ledger.list(customer);
  }

  /** Returns the totals of the ledger, and lists the requests that are done but have no bill. */
  checkLedger(): LedgerReport {
    return this.ledger.check(this.requests);
  }

  private publish({note}: CommandOf<'publish'>): ControlResults['publish'] {
    try {
      return this.acceptNote(note);
    } catch (error) {
      return {error: toSycamoreheadError(error).toBody()};
    }
  }

  private acceptNote(note: CommandOf<'publish'>['note']): PublishResult {
    const digest = computeDigest(note);
    const earlier = this.accepted.get(note.number);
    if (earlier && earlier.digest !== digest) {
      throw new SycamoreheadError(
        'note_conflict',
        `number ${note.number} was accepted with digest ${earlier.digest}`,
        {field: 'number'},
      );
    }
    if (earlier) return {state: 'already_in_force', ...earlier};
    const {noteNumber} = this.configuration;
    if (note.follows !== noteNumber) {
      throw new SycamoreheadError(
        'note_out_of_order',
        `note ${note.number} follows ${note.follows}, but ${noteNumber} is in force`,
        {field: 'follows'},
      );
    }
    if (note.number <= noteNumber) {
      throw new SycamoreheadError(
        'note_out_of_order',
        `expected a number above ${noteNumber}`,
        {field: 'number'},
      );
    }
    this.configuration = applyReleaseNote(this.configuration, note);
    const {revision} = this.configuration;
    this.accepted.set(note.number, {number: note.number, digest, revision});
    evictOldest(this.accepted, MAX_ACCEPTED_NOTES);
    return {state: 'accepted', number: note.number, digest, revision};
  }

  private markInForce({
    revision,
  }: CommandOf<'mark_in_force'>): ControlResults['mark_in_force'] {
    const isNewer =
      revision > this.inForceRevision &&
      revision <= this.configuration.revision;
    if (isNewer) this.inForceRevision = revision;
    return {changed: isNewer};
  }

  private notifyRevision(): void {
    for (const listener of this.revisionListeners) listener();
  }

  private quarantine(
    command: CommandOf<'quarantine'>,
  ): ControlResults['quarantine'] {
    const {version, reason} = command;
    return this.changeVersion(formatVersionKey(version), before =>
      isServing(before) ? {...before, state: 'quarantined', reason} : before,
    );
  }

  private advanceRollout(
    command: CommandOf<'advance_rollout'>,
  ): ControlResults['advance_rollout'] {
    const {version, fromStep} = command;
    return this.changeVersion(formatVersionKey(version), before => {
      if (before.state !== 'rolling_out' || before.step !== fromStep) {
        return before;
      }
      const lastStep = (before.rollout?.steps.length ?? 1) - 1;
      if (before.step >= lastStep) return {...before, state: 'active'};
      return {...before, step: before.step + 1};
    });
  }

  private changeVersion(
    key: string,
    change: (
      before: Configuration['versions'][string],
    ) => Configuration['versions'][string],
  ): {changed: boolean} {
    const before = this.configuration.versions[key];
    if (!before) return {changed: false};
    const after = change(before);
    if (after === before) return {changed: false};
    this.configuration = {
      ...this.configuration,
      revision: this.configuration.revision + 1,
      versions: {...this.configuration.versions, [key]: after},
    };
    return {changed: true};
  }

  private finishRequest(
    command: CommandOf<'finish_request'>,
  ): ControlResults['finish_request'] {
    const result = this.requests.finish(command);
    if (result.isAccepted && command.outcome === 'done' && command.bill) {
      this.ledger.record(command.bill);
    }
    return result;
  }
}
