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

/** Time allowed for a call to the leader, in milliseconds; operators wait a second for an answer. */
const LEADER_CALL_MS = 850;

/** Turns an operator's document into a configuration; throws `note_invalid`. @public */
export type ConfigurationDecoder = (document: JsonValue) => RouteConfiguration;

/** Order to move a service to a new version. @public */
export interface RolloutOrder {
  readonly service: string;
  readonly target: string;
  readonly durationMs: number;
}

/** What the operators' commands and queries need. @public */
export interface FleetCommandsOptions {
  readonly host: LogMember;
  readonly groupManager: GroupManager;
  readonly links: LinkPool;
  /** Port of the control instances' links. */
  readonly peerPort: number;
  readonly decodeConfiguration: ConfigurationDecoder;
}

interface RolloutReply {
  readonly rollout?: ServiceRollout;
}

/**
 * Operators' commands and queries on the replicated state: run here on the leader, sent to it
 * from any other instance.
 *
 * @public
 */
export class FleetCommands {
  constructor(private readonly options: FleetCommandsOptions) {}

  // Commands.

  /**
   * Takes a whole configuration; one that is not higher than what is stored changes nothing.
   *
   * @throws SycamoreheadError `note_invalid`, or `control_unavailable` where the outcome is unknown.
   */
  async putConfiguration(document: JsonValue): Promise<void> {
    const version = this.readVersion(document);
    await this.runOnLeader(FLEET_METHODS.putConfiguration, document, () =>
      this.commitConfiguration(version, document),
    );
  }

  /** Takes the order to move a service to a new version; a repeated order changes nothing. */
  async startRollout(order: RolloutOrder): Promise<void> {
    await this.runOnLeader(FLEET_METHODS.startRollout, order, () =>
      this.commitRollout(order),
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

  /** The methods that this instance offers to the others while it leads. */
  createMethods() {
    return {
      [FLEET_METHODS.putConfiguration]: (document: JsonValue) =>
        this.commitConfiguration(this.readVersion(document), document),
      [FLEET_METHODS.startRollout]: (order: RolloutOrder) =>
        this.commitRollout(order),
      [FLEET_METHODS.readConfiguration]: () => this.confirmConfiguration(),
      [FLEET_METHODS.readRollout]: ({service}: {service: string}) =>
        this.confirmRollout(service),
    };
  }

  private async commitConfiguration(
    version: number,
    document: JsonValue,
  ): Promise<Record<string, never>> {
    const {host} = this.options;
    this.requireCompleteGroup();
    if (version <= host.state.configuration.version) {
      await host.requireNode().confirmLeadership();
      return {};
    }
    const isChanged = await host.propose({
      type: 'put_configuration',
      version,
      document,
    });
    writeDecision('configuration_committed', {version, changed: isChanged});
    return {};
  }

  private async commitRollout(
    order: RolloutOrder,
  ): Promise<Record<string, never>> {
    this.requireCompleteGroup();
    const {service, target} = order;
    const isChanged = await this.options.host.propose({
      type: 'start_rollout',
      ...order,
    });
    writeDecision('rollout_ordered', {service, target, changed: isChanged});
    return {};
  }

  private async confirmConfiguration(): Promise<StoredConfiguration> {
    const {host} = this.options;
    await host.requireNode().confirmLeadership();
    return host.state.configuration;
  }

  private async confirmRollout(service: string): Promise<RolloutReply> {
    const {host} = this.options;
    await host.requireNode().confirmLeadership();
    return {rollout: host.state.findRollout(service)};
  }

  /** A commit in a smaller group would not survive the loss of as many disks as promised. */
  private requireCompleteGroup(): void {
    const {host, groupManager: keeper} = this.options;
    if (!host.isLeader || keeper.isComplete()) return;
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
    runHere: () => Promise<Result>,
  ): Promise<Result> {
    const {host, links, peerPort} = this.options;
    if (host.isLeader) return runHere();
    const {leader} = host;
    if (leader === undefined) {
      throw new SycamoreheadError('not_leader', 'no leader is known');
    }
    const address = `${leader}:${peerPort}`;
    return links.request<Result>(address, method, params, LEADER_CALL_MS);
  }
}
