import {
  BeginRequestResult,
  Bill,
  ControlApi,
  EvidenceBatch,
  EvidenceReceipt,
  EvidenceSink,
  FinishRequestResult,
  JsonValue,
  LeaseGrant,
  LeaseRequest,
  PlacementApi,
  ReleaseNote,
  ServerReport,
  ServerReportResponse,
  SessionPin,
  SycamoreheadError,
  readErrorBody,
} from '@sycamorehead/schema';
import {
  LogStatus,
  Membership,
  MembershipCommands,
  ReplicatedLog,
  StateMachine,
} from '@sycamorehead/consensus';
import {createLogger} from '@sycamorehead/telemetry';
import type {
  ControlCommand,
  ControlResults,
  PublishResult,
} from './controlCommands.js';
import {ControlState} from './ControlState.js';
import {RolloutGuard} from './guard/RolloutGuard.js';
import {
  ConfigurationService,
  DEFAULT_LEASE_MS,
  InForceReport,
} from './configuration/ConfigurationService.js';
import type {LedgerReport} from './Ledger.js';
import type {RolloutStatus} from './reconciler/describeRollout.js';
import {Reconciler, ReconcilerOptions} from './reconciler/Reconciler.js';

const log = createLogger('control');

/** Settings of a ControlNode. @public */
export interface ControlNodeOptions {
  readonly name: string;
  readonly createLog: (
    machine: StateMachine,
  ) => ReplicatedLog & Partial<MembershipCommands>;
  readonly leaseMs?: number;
  readonly reconciler?: Partial<ReconcilerOptions>;
}

/**
 * One control instance: the replicated state with its commands and queries.
 *
 * @public
 */
export class ControlNode implements ControlApi, EvidenceSink, PlacementApi {
  readonly name: string;
  readonly reconciler: Reconciler;
  private readonly state = new ControlState();
  private readonly replicatedLog: ReplicatedLog & Partial<MembershipCommands>;
  private readonly configuration: ConfigurationService;
  private readonly guard: RolloutGuard;

  constructor(options: ControlNodeOptions) {
    this.name = options.name;
    this.replicatedLog = options.createLog(this.state);
    this.configuration = new ConfigurationService({
      log: this.replicatedLog,
      state: this.state,
      leaseMs: options.leaseMs ?? DEFAULT_LEASE_MS,
      markInForce: revision => this.propose({type: 'mark_in_force', revision}),
    });
    this.reconciler = this.createReconciler(options.reconciler);
    this.guard = new RolloutGuard({
      getConfiguration: () => this.state.getConfiguration(),
      isLeader: () => this.readStatus().role === 'leader',
      quarantine: (version, reason) =>
        this.propose({type: 'quarantine', version, reason}),
      advance: (version, fromStep) =>
        this.propose({type: 'advance_rollout', version, fromStep}),
      isPlacementReady: version => this.reconciler.isPlacementReady(version),
    });
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

  async renewLease(request: LeaseRequest): Promise<LeaseGrant> {
    return this.configuration.renewLease(request);
  }

  /** Adds a control instance: a learner first, a voter once it has caught up. */
  async addMember(instance: string, address: string): Promise<Membership> {
    return this.requireMembership().addMember(instance, address);
  }

  /** Removes a control instance, named by its name or its member id. */
  async removeMember(name: string): Promise<Membership> {
    return this.requireMembership().removeMember(name);
  }

  async pinSession(
    params: Parameters<ControlApi['pinSession']>[0],
  ): Promise<SessionPin> {
    return this.propose({type: 'pin_session', ...params, at: Date.now()});
  }

  async beginRequest(
    params: Parameters<ControlApi['beginRequest']>[0],
  ): Promise<BeginRequestResult> {
    return this.propose({type: 'begin_request', ...params, at: Date.now()});
  }

  async finishRequest(
    params: Parameters<ControlApi['finishRequest']>[0],
  ): Promise<FinishRequestResult> {
    return this.propose({type: 'finish_request', ...params});
  }

  async recordBill(bill: Bill): Promise<{isNew: boolean}> {
    return this.propose({type: 'record_bill', bill});
  }

  async reportEvidence(batch: EvidenceBatch): Promise<EvidenceReceipt> {
    await this.replicatedLog.confirmLeadership();
    return this.guard.accept(batch);
  }

  async reportServers(report: ServerReport): Promise<ServerReportResponse> {
    return this.reconciler.receive(report);
  }

  /** Hands leadership over and stops. */
  async stop(): Promise<void> {
    this.guard.stop();
    this.reconciler.stop();
    this.configuration.stop();
    await this.replicatedLog.stop();
  }

  // Queries.

  /** Reads what is in force, confirmed with a quorum. */
  async readInForce(): Promise<InForceReport> {
    return this.configuration.readInForce();
  }

  async watchRevision(params: {
    knownRevision: number;
    waitMs: number;
  }): Promise<{revision: number}> {
    return this.configuration.watchRevision(params);
  }

  /** Lists the bills, of one customer where one is named. */
  async listBills(customer?: string): Promise<Bill[]> {
    await this.replicatedLog.confirmLeadership();
    return this.state.listBills(customer);
  }

  /** Reads the ledger's totals, checked against the request records. */
  async checkLedger(): Promise<LedgerReport> {
    await this.replicatedLog.confirmLeadership();
    return this.state.checkLedger();
  }

  /** Reads the members of the group, confirmed with a quorum. */
  async readMembers(): Promise<Membership> {
    await this.replicatedLog.confirmLeadership();
    return this.replicatedLog.getStatus().members ?? [];
  }

  /** Reads this instance's own view of the log. */
  readStatus(): LogStatus {
    return this.replicatedLog.getStatus();
  }

  /** Describes where each version's roll-out stands and what it waits for. */
  async listRollouts(): Promise<RolloutStatus[]> {
    await this.replicatedLog.confirmLeadership();
    return this.reconciler.listRollouts();
  }

  private createReconciler(options?: Partial<ReconcilerOptions>): Reconciler {
    const {replicatedLog, state} = this;
    return new Reconciler(
      {
        confirmLeadership: () => replicatedLog.confirmLeadership(),
        getStatus: () => replicatedLog.getStatus(),
        getConfiguration: () => state.getConfiguration(),
        commitOrder: async order => {
          const {fencing} = await this.propose({type: 'issue_order', ...order});
          return fencing;
        },
      },
      options,
    );
  }

  private requireMembership(): MembershipCommands {
    const {replicatedLog} = this;
    if (replicatedLog.addMember && replicatedLog.removeMember) {
      return replicatedLog as ReplicatedLog & MembershipCommands;
    }
    throw new SycamoreheadError(
      'malformed_request',
      'this control instance keeps its state in memory only',
    );
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
