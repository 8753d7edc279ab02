import {
  Configuration,
  LeaseGrant,
  LeaseRequest,
  SycamoreheadError,
  computeDigest,
} from '@sycamorehead/schema';
import type {ReplicatedLog} from '@sycamorehead/consensus';
import {createLogger} from '@sycamorehead/telemetry';
import type {ControlState} from '../ControlState.js';
import {EntryConfirmation, LeaseTable} from '../LeaseTable.js';
import {ConfigurationHistory} from './ConfigurationHistory.js';
import {RevisionWatchers} from './RevisionWatchers.js';

const log = createLogger('control');

/** Default duration of a lease on the configuration, in milliseconds. @public */
export const DEFAULT_LEASE_MS = 3_000;
const ENTRY_EXPIRY_MS = 60_000;
/** Interval at which to check whether a new revision is in force, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** The committed configuration and the revision in force. @public */
export interface InForceReport {
  /** Newest accepted revision. */
  readonly revision: number;
  /** Newest revision such that no entry can still route on an older one; never decreases. */
  readonly inForceRevision: number;
  readonly noteNumber: number;
  readonly noteDigest: string;
  readonly configurationDigest: string;
  /** Whether no entry can still route on an older revision. */
  readonly inForce: boolean;
  readonly entries: readonly EntryConfirmation[];
  readonly configuration: Configuration;
}

/** Dependencies and settings of a ConfigurationService. @internal */
export interface ConfigurationServiceOptions {
  readonly log: ReplicatedLog;
  readonly state: ControlState;
  readonly leaseMs: number;
  /** Commits that a revision is in force. */
  markInForce(revision: number): Promise<unknown>;
}

/**
 * Grants leases on the configuration and determines the revision in force. A lease is granted only
 * by a leader that a quorum has confirmed after the request arrived, so a partitioned control
 * instance grants none.
 *
 * @internal
 */
export class ConfigurationService {
  private readonly leases: LeaseTable;
  private readonly history = new ConfigurationHistory();
  private readonly watchers = new RevisionWatchers();
  private timer: NodeJS.Timeout | undefined;
  /** The check in progress. */
  private runningCheck: Promise<void> | undefined;
  private isStopped = false;

  constructor(private readonly options: ConfigurationServiceOptions) {
    this.leases = new LeaseTable(options.leaseMs, ENTRY_EXPIRY_MS);
    const {state} = options;
    this.history.add(state.getConfiguration());
    state.addRevisionListener(() => {
      this.history.add(state.getConfiguration());
      this.watchers.notify();
      this.scheduleCheck();
    });
    // Checks at once, so that the first revision of a new group does not wait for a lease to expire.
    options.log.addLeaderListener(() => void this.check());
  }

  // Commands.

  /** Renews an entry's lease and records the revision that it routes on. */
  async renewLease(request: LeaseRequest): Promise<LeaseGrant> {
    const {entry, incarnation, confirmedRevision, needsWhole} = request;
    await this.confirm();
    const {revision} = this.options.state.getConfiguration();
    if (confirmedRevision > revision) {
      throw new SycamoreheadError(
        'malformed_request',
        `confirmedRevision: ${confirmedRevision} is above the newest, ${revision}`,
        {field: 'confirmedRevision'},
      );
    }
    this.leases.record({
      entry,
      incarnation: incarnation ?? '',
      confirmedRevision,
      grantedRevision: revision,
    });
    if (confirmedRevision === revision) void this.check();
    return {
      revision,
      leaseMs: this.options.leaseMs,
      ...this.history.getUpdate(confirmedRevision, needsWhole),
    };
  }

  /** Ends the waiting calls and stops the checks. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.watchers.notify();
  }

  // Queries.

  /** Waits for a revision above the known one. */
  async watchRevision(params: {
    knownRevision: number;
    waitMs: number;
  }): Promise<{revision: number}> {
    const {revision} = this.options.state.getConfiguration();
    if (revision > params.knownRevision) return {revision};
    await this.watchers.wait(params.waitMs);
    return {revision: this.options.state.getConfiguration().revision};
  }

  /** Reads the configuration and the revision in force, confirmed with a quorum. */
  async readInForce(): Promise<InForceReport> {
    await this.confirm();
    // A check that began earlier may be about an older revision.
    await this.runningCheck;
    await this.check();
    const {state} = this.options;
    const configuration = state.getConfiguration();
    const {revision, noteNumber, noteDigest} = configuration;
    const inForceRevision = state.getInForceRevision();
    return {
      revision,
      inForceRevision,
      noteNumber,
      noteDigest,
      configurationDigest: computeDigest(configuration),
      inForce: inForceRevision >= revision,
      entries: this.leases.list(),
      configuration,
    };
  }

  private async confirm(): Promise<void> {
    const {log: replicatedLog, state} = this.options;
    await replicatedLog.confirmLeadership();
    const {term, role} = replicatedLog.getStatus();
    if (role !== 'leader') {
      throw new SycamoreheadError('not_leader', 'leadership has just ended');
    }
    this.leases.startTerm(term, state.getConfiguration().revision);
  }

  private scheduleCheck(): void {
    if (this.timer || this.isStopped) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      void this.check();
    }, CHECK_INTERVAL_MS);
    this.timer.unref();
  }

  /** Commits that the newest revision is in force once no entry can route on an older one. */
  private check(): Promise<void> {
    this.runningCheck ??= this.runCheck().finally(() => {
      this.runningCheck = undefined;
    });
    return this.runningCheck;
  }

  private async runCheck(): Promise<void> {
    const {log: replicatedLog, state, markInForce} = this.options;
    const {revision} = state.getConfiguration();
    if (this.isStopped) return;
    if (replicatedLog.getStatus().role !== 'leader') return;
    try {
      await this.confirm();
      if (state.getInForceRevision() >= revision) return;
      if (this.leases.isInForce(revision)) await markInForce(revision);
      if (state.getInForceRevision() < revision) this.scheduleCheck();
    } catch (error) {
      log('in_force_check_failed', {error: String(error)});
      this.scheduleCheck();
    }
  }
}
