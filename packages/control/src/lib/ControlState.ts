import {
  Bill,
  Configuration,
  EMPTY_CONFIGURATION,
  JsonValue,
  SycamoreheadError,
  applyReleaseNote,
  computeDigest,
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

/** An accepted note, kept so that a resend gets the same answer again. */
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
  private accepted: AcceptedNote[] = [];
  private readonly sessions = new SessionPins();
  private readonly requests = new RequestRecords();
  private readonly ledger = new Ledger();

  private readonly handlers: HandlerTable = {
    publish: command => this.publish(command),
    quarantine: command => this.quarantine(command),
    advance_rollout: command => this.advanceRollout(command),
    pin_session: command => this.sessions.pin(command, this.configuration),
    begin_request: (command, index) => this.requests.begin(command, index),
    finish_request: command => this.finishRequest(command),
    record_bill: ({bill}) => this.ledger.record(bill),
  };

  apply(command: JsonValue, index: number): JsonValue {
    const typed = command as unknown as ControlCommand;
    const handler = this.handlers[typed.type] as (
      command: ControlCommand,
      index: number,
    ) => unknown;
    return handler(typed, index) as JsonValue;
  }

  takeSnapshot(): JsonValue {
    return {
      configuration: this.configuration,
      accepted: this.accepted,
      sessions: this.sessions.toJson(),
      requests: this.requests.toJson(),
      ledger: this.ledger.toJson(),
    } as unknown as JsonValue;
  }

  restoreSnapshot(snapshot: JsonValue): void {
    const state = snapshot as unknown as {
      configuration: Configuration;
      accepted: AcceptedNote[];
      sessions: JsonValue;
      requests: JsonValue;
      ledger: JsonValue;
    };
    this.configuration = state.configuration;
    this.accepted = state.accepted;
    this.sessions.restore(state.sessions);
    this.requests.restore(state.requests);
    this.ledger.restore(state.ledger);
  }

  /** Returns the committed configuration. */
  getConfiguration(): Configuration {
    return this.configuration;
  }

  /** Returns the bills, of one customer where one is named. */
  listBills(customer?: string): Bill[] {
    return this.ledger.list(customer);
  }

  /** Returns the totals of the ledger and whether each request that is done has its bill. */
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
    const earlier = this.accepted.find(({number}) => number === note.number);
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
    this.accepted.push({number: note.number, digest, revision});
    if (this.accepted.length > MAX_ACCEPTED_NOTES) this.accepted.shift();
    return {state: 'accepted', number: note.number, digest, revision};
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
