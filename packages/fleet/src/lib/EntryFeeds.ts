import type {ServiceRollout} from '@sycamorehead/schema';
import {writeDecision} from '@sycamorehead/telemetry';
import type {PeerLink} from '@sycamorehead/wire';
import {FLEET_METHODS, FleetUpdate, ServerListing} from './fleetMessages.js';

/** Changes are gathered for this long before they are sent, in milliseconds. */
const GATHER_MS = 10;

/** What a feed tells about. @public */
export interface EntryFeedSource {
  listServers(): ServerListing[];
  findServer(id: string): ServerListing | undefined;
  getConfigurationVersion(): number;
  listRollouts(): ServiceRollout[];
  listControls(): string[];
  isLeading(): boolean;
}

/**
 * Tells the entries that are linked to this control instance what has changed.
 *
 * @public
 */
export class EntryFeeds {
  private readonly links = new Map<PeerLink, string>();
  private readonly changedServers = new Set<string>();
  private isStateChanged = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly view: EntryFeedSource) {}

  // Commands.

  /** Begins a feed and returns everything that is known. */
  subscribe(link: PeerLink, entry: string): FleetUpdate {
    this.links.set(link, entry);
    writeDecision('entry_linked', {entry});
    link.addCloseListener(() => {
      this.links.delete(link);
      writeDecision('entry_unlinked', {entry});
    });
    return {servers: this.view.listServers(), ...this.describeState()};
  }

  /** Tells of a changed server with the next update. */
  markServerChanged(id: string): void {
    this.changedServers.add(id);
    this.scheduleUpdate();
  }

  /** Tells of changed state with the next update. */
  markStateChanged(): void {
    this.isStateChanged = true;
    this.scheduleUpdate();
  }

  // Queries.

  /** Entries that are linked to this control instance. */
  get entryCount(): number {
    return this.links.size;
  }

  private scheduleUpdate(): void {
    this.timer ??= setTimeout(() => this.sendUpdate(), GATHER_MS);
  }

  private sendUpdate(): void {
    this.timer = undefined;
    const servers: ServerListing[] = [];
    const dropped: string[] = [];
    for (const id of this.changedServers) {
      const listing = this.view.findServer(id);
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
    return {
      configurationVersion: this.view.getConfigurationVersion(),
      rollouts: this.view.listRollouts(),
      controls: this.view.listControls(),
      isLeading: this.view.isLeading(),
    };
  }
}
