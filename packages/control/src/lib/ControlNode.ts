import {
  BeginResult,
  Bill,
  Configuration,
  ControlApi,
  EvidenceBatch,
  EvidenceReceipt,
  EvidenceSink,
  FinishResult,
  JsonValue,
  LeaseGrant,
  ReleaseNote,
  SessionPin,
  computeDigest,
  readErrorBody,
} from '@sycamorehead/schema';
import {LogStatus, ReplicatedLog, StateMachine} from '@sycamorehead/consensus';
import {createLogger} from '@sycamorehead/telemetry';
import type {
  ControlCommand,
  ControlResults,
  PublishResult,
} from './controlCommands.js';
import {ControlState} from './ControlState.js';
import {RolloutGuard, RolloutGuardParts} from './guard/RolloutGuard.js';
import {EntryConfirmation, LeaseTable} from './LeaseTable.js';

const log = createLogger('control');

/** Lease on a configuration, in milliseconds. @public */
export const DEFAULT_LEASE_MS = 3_000;
const FORGET_ENTRY_MS = 60_000;

/** What is in force. @public */
export interface InForceReport {
  readonly revision: number;
  readonly noteNumber: number;
  readonly noteDigest: string;
  readonly configurationDigest: string;
  /** Whether no entry can still route on an older revision. */
  readonly inForce: boolean;
  readonly entries: readonly EntryConfirmation[];
  readonly configuration: Configuration;
}

/** Settings of a ControlNode. @public */
export interface ControlNodeOptions {
  readonly name: string;
  readonly createLog: (machine: StateMachine) => ReplicatedLog;
  readonly leaseMs?: number;
  /** Tells whether a roll-out's replicas are in place for a share. */
  readonly isPlaced?: RolloutGuardParts['isPlaced'];
}

/**
 * One control instance: the replicated state with its commands and queries.
 *
 * @public
 */
export class ControlNode implements ControlApi, EvidenceSink {
  readonly name: string;
  private readonly state = new ControlState();
  private readonly replicatedLog: ReplicatedLog;
  private readonly leaseMs: number;
  private readonly leases: LeaseTable;
  private readonly guard: RolloutGuard;

  constructor(options: ControlNodeOptions) {
    this.name = options.name;
    this.leaseMs = options.leaseMs ?? DEFAULT_LEASE_MS;
    this.leases = new LeaseTable(this.leaseMs, FORGET_ENTRY_MS);
    this.replicatedLog = options.createLog(this.state);
    this.guard = new RolloutGuard({
      getConfiguration: () => this.state.getConfiguration(),
      isLeader: () => this.readStatus().role === 'leader',
      quarantine: (version, reason) =>
        this.propose({type: 'quarantine', version, reason}),
      advance: (version, fromStep) =>
        this.propose({type: 'advance_rollout', version, fromStep}),
      isPlaced: options.isPlaced,
    });
    this.guard.start();
  }

  // Commands.

  /**
   * Publishes a release note: compare-and-set on its number.
   *
   * @throws SycamoreheadError `note_invalid`, `note_conflict`, `note_out_of_order`, `not_leader`,
   * `control_unavailable`.
   */
  async publish(note: ReleaseNote): Promise<PublishResult> {
    const result = await this.propose({type: 'publish', note});
    if ('error' in result) throw readErrorBody(result.error);
    log('note_published', {
      number: result.number,
      revision: result.revision,
      state: result.state,
    });
    return result;
  }

  async renewLease(params: {
    entry: string;
    confirmedRevision: number;
  }): Promise<LeaseGrant> {
    await this.replicatedLog.confirmLeadership();
    const configuration = this.state.getConfiguration();
    this.leases.record(params.entry, params.confirmedRevision);
    const isCurrent = params.confirmedRevision === configuration.revision;
    return {
      revision: configuration.revision,
      leaseMs: this.leaseMs,
      ...(!isCurrent && {configuration}),
    };
  }

  async pinSession(
    params: Parameters<ControlApi['pinSession']>[0],
  ): Promise<SessionPin> {
    return this.propose({type: 'pin_session', ...params, at: Date.now()});
  }

  async beginRequest(
    params: Parameters<ControlApi['beginRequest']>[0],
  ): Promise<BeginResult> {
    return this.propose({type: 'begin_request', ...params, at: Date.now()});
  }

  async finishRequest(
    params: Parameters<ControlApi['finishRequest']>[0],
  ): Promise<FinishResult> {
    return this.propose({type: 'finish_request', ...params});
  }

  async recordBill(bill: Bill): Promise<{isNew: boolean}> {
    return this.propose({type: 'record_bill', bill});
  }

  async reportEvidence(batch: EvidenceBatch): Promise<EvidenceReceipt> {
    await this.replicatedLog.confirmLeadership();
    return this.guard.accept(batch);
  }

  /** Hands leadership over and stops. */
  async stop(): Promise<void> {
    this.guard.stop();
    await this.replicatedLog.stop();
  }

  // Queries.

  /** Reads what is in force, confirmed with a quorum. */
  async readInForce(): Promise<InForceReport> {
    await this.replicatedLog.confirmLeadership();
    const configuration = this.state.getConfiguration();
    return {
      revision: configuration.revision,
      noteNumber: configuration.noteNumber,
      noteDigest: configuration.noteDigest,
      configurationDigest: computeDigest(configuration),
      inForce: this.leases.isInForce(configuration.revision),
      entries: this.leases.list(),
      configuration,
    };
  }

  /** Lists the bills, of one customer where one is named. */
  async listBills(customer?: string): Promise<Bill[]> {
    await this.replicatedLog.confirmLeadership();
    return this.state.listBills(customer);
  }

  /** Reads this instance's own view of the log. */
  readStatus(): LogStatus {
    return this.replicatedLog.getStatus();
  }

  private async propose<Command extends ControlCommand>(
    command: Command,
  ): Promise<ControlResults[Command['type']]> {
    const result = await this.replicatedLog.propose(
      command as unknown as JsonValue,
    );
    return result as unknown as ControlResults[Command['type']];
  }
}
