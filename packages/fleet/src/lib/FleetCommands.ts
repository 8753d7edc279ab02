import type {LinkPool} from '@sycamorehead/consensus';
import {
  JsonValue,
  RouteConfiguration,
  ServiceRollout,
  SycamoreheadError,
  checkRouteConfiguration,
} from '@sycamorehead/schema';
import {writeDecision} from '@sycamorehead/telemetry';
import {FLEET_METHODS, StoredConfiguration} from './fleetMessages.js';
import type {GroupManager} from './GroupManager.js';
import type {LogMember} from './LogMember.js';
import {pause} from './pause.js';

/** Timeout of a call to the leader, in milliseconds; operators' calls time out after a second. */
const LEADER_CALL_TIMEOUT_MS = 850;
/** Time limit for applying what the leader has committed, in milliseconds. */
const CATCH_UP_TIMEOUT_MS = 1_000;
/** Maximum length of an unknown name in an error. */
const MAX_LOGGED_NAME = 64;
/** Interval between two checks of what has been applied, in milliseconds. */
const CATCH_UP_POLL_MS = 20;

/** Parses an operator's document into a configuration; throws `note_invalid`. @public */
export type ConfigurationDecoder = (document: JsonValue) => RouteConfiguration;

/** Order to move a service to a new version. @public */
export interface RolloutOrder {
  readonly service: string;
  readonly target: string;
  readonly durationMs: number;
}

/** Dependencies and settings of FleetCommands. @public */
export interface FleetCommandsOptions {
  readonly logMember: LogMember;
  readonly groupManager: GroupManager;
  readonly links: LinkPool;
  /** Port on which control instances accept links. */
  readonly peerPort: number;
  readonly decodeConfiguration: ConfigurationDecoder;
  /** Returns whether a data centre of that name may be evacuated. */
  isKnownDataCentre(name: string): boolean;
}

/** Order to send no requests to the backend servers of a data centre, or to end that. @public */
export interface EvacuationOrder {
  readonly dataCentre: string;
  readonly isEvacuated: boolean;
}

/** Parameters of `fleet.setEvacuation`. */
interface EvacuationCall extends EvacuationOrder {
  /** Set by a control instance that takes its receiver for the leader. */
  readonly isForwarded?: boolean;
}

/** Parameters of `fleet.releaseSegments`. */
interface ReleaseOrder {
  readonly segments: readonly string[];
  /** Set by a control instance that takes its receiver for the leader. */
  readonly isForwarded?: boolean;
}

interface RolloutReply {
  readonly rollout?: ServiceRollout;
}

interface PendingConfiguration {
  readonly version: number;
  readonly committed: Promise<boolean>;
}

interface CommitReply {
  readonly commitIndex: number;
}

/**
 * Operators' commands and queries on the replicated state. They run locally on the leader; any
 * other instance forwards them to it.
 *
 * @public
 */
export class FleetCommands {
  /** The newest configuration that is proposed and not committed yet. */
  private pending: PendingConfiguration | undefined;

  constructor(private readonly options: FleetCommandsOptions) {}

  // Commands.

  /**
   * Stores a whole configuration unless a configuration of the same or a higher version is stored.
   *
   * @throws SycamoreheadError `note_invalid`, or `control_unavailable` if the outcome is unknown.
   */
  async putConfiguration(document: JsonValue): Promise<void> {
    const version = this.readVersion(document);
    await this.runOnLeader(FLEET_METHODS.putConfiguration, document, () =>
      this.commitConfiguration(version, document),
    );
  }

  /** Orders the move of a service to a new version; a repeated order changes nothing. */
  async startRollout(order: RolloutOrder): Promise<void> {
    await this.runOnLeader(FLEET_METHODS.startRollout, order, () =>
      this.commitRollout(order),
    );
  }

  /** Ends a quarantine of exactly these prompt segments; others are left alone. */
  async releaseSegments(segments: readonly string[]): Promise<void> {
    const order: ReleaseOrder = {segments, isForwarded: true};
    await this.runOnLeader(FLEET_METHODS.releaseSegments, order, () =>
      this.commitRelease(segments),
    );
  }

  /**
   * Evacuates a data centre, or ends that; a repeated order changes nothing.
   *
   * @throws SycamoreheadError `note_invalid` if the data centre is unknown, or `control_unavailable` if
   * the outcome is unknown.
   * @example
   * ```ts
   * await commands.setEvacuation({dataCentre: 'a', isEvacuated: true});
   * ```
   */
  async setEvacuation(order: EvacuationOrder): Promise<void> {
    const call: EvacuationCall = {...order, isForwarded: true};
    await this.runOnLeader(FLEET_METHODS.setEvacuation, call, () =>
      this.commitEvacuation(order),
    );
  }

  // Queries.

  /** Reads the newest configuration, confirmed with a quorum. */
  async readConfiguration(): Promise<StoredConfiguration> {
    return this.runOnLeader(FLEET_METHODS.readConfiguration, {}, () =>
      this.confirmConfiguration(),
    );
  }

  /** Reads the newest roll-out of a service, confirmed with a quorum. */
  async readRollout(service: string): Promise<ServiceRollout | undefined> {
    const {rollout} = await this.runOnLeader(
      FLEET_METHODS.readRollout,
      {service},
      () => this.confirmRollout(service),
    );
    return rollout;
  }

  /**
   * Waits until this instance has applied all that was committed before the call.
   *
   * @throws SycamoreheadError `control_unavailable` or `not_leader` if that cannot be confirmed in time.
   */
  async awaitCommitted(): Promise<void> {
    const {commitIndex} = await this.runOnLeader(
      FLEET_METHODS.confirmCommit,
      {},
      () => this.confirmCommit(),
    );
    const deadline = performance.now() + CATCH_UP_TIMEOUT_MS;
    while (this.readCommitIndex() < commitIndex) {
      if (performance.now() > deadline) {
        throw new SycamoreheadError(
          'control_unavailable',
          `entry ${commitIndex} is not applied yet`,
          {ran: 'no'},
        );
      }
      await pause(CATCH_UP_POLL_MS);
    }
  }

  /** Creates the methods that this instance serves to the others while it leads. */
  createMethods() {
    return {
      [FLEET_METHODS.putConfiguration]: (document: JsonValue) =>
        this.commitConfiguration(this.readVersion(document), document),
      [FLEET_METHODS.startRollout]: (order: RolloutOrder) =>
        this.commitRollout(order),
      [FLEET_METHODS.releaseSegments]: async ({
        segments,
        isForwarded,
      }: ReleaseOrder) => {
        if (isForwarded) await this.commitRelease(segments);
        else await this.releaseSegments(segments);
        return {};
      },
      [FLEET_METHODS.setEvacuation]: async ({
        isForwarded,
        ...order
      }: EvacuationCall) => {
        if (isForwarded) await this.commitEvacuation(order);
        else await this.setEvacuation(order);
        return {};
      },
      [FLEET_METHODS.readConfiguration]: () => this.confirmConfiguration(),
      [FLEET_METHODS.readRollout]: ({service}: {service: string}) =>
        this.confirmRollout(service),
      [FLEET_METHODS.confirmCommit]: () => this.confirmCommit(),
    };
  }

  private async commitConfiguration(
    version: number,
    document: JsonValue,
  ): Promise<Record<string, never>> {
    const {logMember} = this.options;
    this.requireCompleteGroup();
    if (version <= logMember.state.configuration.version) {
      await logMember.requireNode().confirmLeadership();
      return {};
    }
    const {pending} = this;
    if (pending && version <= pending.version) {
      // Resent orders must not fill the log with copies while its commits take long.
      await pending.committed;
      return {};
    }
    const isChanged = await this.proposeConfiguration(version, document);
    writeDecision('configuration_committed', {version, changed: isChanged});
    return {};
  }

  private async proposeConfiguration(
    version: number,
    document: JsonValue,
  ): Promise<boolean> {
    const committed = this.options.logMember.propose({
      type: 'put_configuration',
      version,
      document,
    });
    const pending = {version, committed};
    this.pending = pending;
    try {
      return await committed;
    } finally {
      if (this.pending === pending) this.pending = undefined;
    }
  }

  private async commitRollout(
    order: RolloutOrder,
  ): Promise<Record<string, never>> {
    this.requireCompleteGroup();
    const {service, target} = order;
    const isChanged = await this.options.logMember.propose({
      type: 'start_rollout',
      ...order,
    });
    writeDecision('rollout_ordered', {service, target, changed: isChanged});
    return {};
  }

  private async commitRelease(segments: readonly string[]): Promise<void> {
    const isChanged = await this.options.logMember.propose({
      type: 'release_segments',
      segments,
    });
    writeDecision('segments_released', {
      segments: segments.join(','),
      reason: 'ordered',
      changed: isChanged,
    });
  }

  /** Proposes repeated orders too: only the log knows whether an opposite order is before them. */
  private async commitEvacuation({
    dataCentre,
    isEvacuated,
  }: EvacuationOrder): Promise<void> {
    const {logMember} = this.options;
    await this.requireDataCentre(dataCentre, isEvacuated);
    this.requireCompleteGroup();
    const isChanged = await logMember.propose({
      type: 'set_evacuation',
      dataCentre,
      isEvacuated,
    });
    writeDecision('evacuation_ordered', {
      data_centre: dataCentre,
      evacuated: isEvacuated,
      changed: isChanged,
      revision: logMember.state.describeEvacuation().revision,
    });
  }

  /**
   * Accepts an evacuated data centre too, which the settings may no longer contain, and an end that was
   * accepted before and is sent again.
   */
  private async requireDataCentre(
    name: string,
    isEvacuated: boolean,
  ): Promise<void> {
    const {logMember, isKnownDataCentre} = this.options;
    if (isKnownDataCentre(name)) return;
    await logMember.requireNode().confirmLeadership();
    if (logMember.state.isEvacuated(name)) return;
    if (!isEvacuated && logMember.state.hasEndedEvacuation(name)) return;
    throw new SycamoreheadError(
      'note_invalid',
      `unknown data centre: ${JSON.stringify(String(name).slice(0, MAX_LOGGED_NAME))}`,
      {field: 'dataCentre'},
    );
  }

  private async confirmConfiguration(): Promise<StoredConfiguration> {
    const {logMember} = this.options;
    await logMember.requireNode().confirmLeadership();
    return logMember.state.configuration;
  }

  private async confirmRollout(service: string): Promise<RolloutReply> {
    const {logMember} = this.options;
    await logMember.requireNode().confirmLeadership();
    return {rollout: logMember.state.findRollout(service)};
  }

  private async confirmCommit(): Promise<CommitReply> {
    await this.options.logMember.requireNode().confirmLeadership();
    return {commitIndex: this.readCommitIndex()};
  }

  /** Index of the last entry that this instance has applied. */
  private readCommitIndex(): number {
    return this.options.logMember.requireNode().getStatus().commitIndex;
  }

  /**
   * Refuses commits while the group has fewer than 2f + 1 voters, since they might not survive the
   * loss of f disks.
   */
  private requireCompleteGroup(): void {
    const {logMember, groupManager} = this.options;
    if (!logMember.isLeader || groupManager.isComplete()) return;
    throw new SycamoreheadError(
      'control_unavailable',
      'the group is still being formed',
      {ran: 'no'},
    );
  }

  private readVersion(document: JsonValue): number {
    const configuration = this.options.decodeConfiguration(document);
    checkRouteConfiguration(configuration);
    return configuration.version;
  }

  private async runOnLeader<Result>(
    method: string,
    params: unknown,
    runLocally: () => Promise<Result>,
  ): Promise<Result> {
    const {logMember, links, peerPort} = this.options;
    if (logMember.isLeader) return runLocally();
    const {leader} = logMember;
    if (leader === undefined) {
      throw new SycamoreheadError('not_leader', 'no leader is known');
    }
    const address = `${leader}:${peerPort}`;
    return links.request<Result>(
      address,
      method,
      params,
      LEADER_CALL_TIMEOUT_MS,
    );
  }
}
