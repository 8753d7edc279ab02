import type {LimitTable} from '@sycamorehead/routing';
import type {ServiceRollout} from '@sycamorehead/schema';
import {writeDecision} from '@sycamorehead/telemetry';
import type {PeerLink} from '@sycamorehead/wire';
import {
  EvacuationState,
  FLEET_METHODS,
  FleetUpdate,
  QuarantineState,
  ServerListing,
} from './fleetMessages.js';
import type {ServerRegistry} from './ServerRegistry.js';

/** Time for which changes are batched before they are sent, in milliseconds. */
const BATCH_MS = 10;

/** State that the feeds report. @public */
export interface EntryFeedSource {
  readonly registry: Pick<ServerRegistry, 'list' | 'find' | 'describeAge'>;
  getConfigurationVersion(): number;
  listRollouts(): ServiceRollout[];
  describeQuarantine(): QuarantineState;
  /** Undefined while this instance does not know yet what was committed before it started. */
  describeEvacuation(): EvacuationState | undefined;
  listLimits(): LimitTable;
  listControls(): string[];
  isLeading(): boolean;
  /** Data centre of this control instance. */
  readonly dataCentre: string;
}

/**
 * Sends changes of the fleet state to the entries that are linked to this control instance.
 *
 * @public
 */
export class EntryFeeds {
  private readonly links = new Map<PeerLink, string>();
  private readonly changedServers = new Set<string>();
  private isStateChanged = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly source: EntryFeedSource) {}

  // Commands.

  /** Starts a feed and returns the whole state as its first update. */
  subscribe(link: PeerLink, entry: string): FleetUpdate {
    this.links.set(link, entry);
    writeDecision('entry_linked', {entry});
    link.addCloseListener(() => {
      this.links.delete(link);
      writeDecision('entry_unlinked', {entry});
    });
    const directory = this.source.registry.describeAge();
    return {
      ...(directory && {directory}),
      servers: this.source.registry.list(),
      limits: this.source.listLimits(),
      ...this.describeState(),
    };
  }

  /** Includes a changed server in the next update. */
  markServerChanged(id: string): void {
    this.changedServers.add(id);
    this.scheduleUpdate();
  }

  /** Includes the whole state apart from the servers in the next update. */
  markStateChanged(): void {
    this.isStateChanged = true;
    this.scheduleUpdate();
  }

  // Queries.

  /** The number of entries that are linked to this control instance. */
  get entryCount(): number {
    return this.links.size;
  }

  private scheduleUpdate(): void {
    this.timer ??= setTimeout(() => this.sendUpdate(), BATCH_MS);
  }

  private sendUpdate(): void {
    this.timer = undefined;
    const servers: ServerListing[] = [];
    const dropped: string[] = [];
    for (const id of this.changedServers) {
      const listing = this.source.registry.find(id);
      if (listing) servers.push(listing);
      else dropped.push(id);
    }
    const update: FleetUpdate = {
      ...(servers.length > 0 && {servers}),
      ...(dropped.length > 0 && {dropped}),
      ...(this.isStateChanged && this.describeState()),
    };
    this.changedServers.clear();
    this.isStateChanged = false;
    for (const link of this.links.keys()) {
      link.notify(FLEET_METHODS.update, update);
    }
  }

  private describeState(): FleetUpdate {
    const evacuation = this.source.describeEvacuation();
    return {
      ...(evacuation ? {evacuation} : {isCatchingUp: true}),
      configurationVersion: this.source.getConfigurationVersion(),
      rollouts: this.source.listRollouts(),
      quarantine: this.source.describeQuarantine(),
      controls: this.source.listControls(),
      isLeading: this.source.isLeading(),
      dataCentre: this.source.dataCentre,
    };
  }
}
