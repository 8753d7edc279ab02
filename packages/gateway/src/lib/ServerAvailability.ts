import type {RoutedService} from '@sycamorehead/schema';
import {filterByMemory} from './filterByMemory.js';
import type {PlacementRequest} from './Placement.js';
import type {KnownServer} from './KnownServer.js';
import type {ServerTable} from './ServerTable.js';
import type {VersionSplit} from './VersionSplit.js';

/**
 * Maximum number of requests beyond its slots that a server that is not an engine gets, as a
 * fraction of its slots.
 */
const OVERCOMMIT_FRACTION = 1;

/**
 * Determines which backend servers may get a request now: permitted, accepting, with capacity and memory.
 *
 * @internal
 */
export class ServerAvailability {
  constructor(
    private readonly servers: ServerTable,
    private readonly versions: VersionSplit,
    /** Called when servers of a service have slots left but no memory. */
    private readonly onMemoryFull: (service: string) => void,
  ) {}

  /**
   * Lists the permitted servers with capacity, if possible those neither tried for this request
   * nor ejected. Where only memory is missing at those, the request waits for it.
   */
  listAvailable(demand: PlacementRequest): readonly KnownServer[] {
    const {servers} = this;
    const {service, tried} = demand;
    const now = performance.now();
    const accepting = servers
      .listReady(service.name)
      .filter(server => servers.isAccepting(server));
    const permitted = this.filterPermitted(demand, accepting);
    const withSlots = permitted.filter(server =>
      this.hasCapacity(server, service),
    );
    // A failed server holds nothing: by memory alone, it would get all that fits nowhere else.
    const untried = withSlots.filter(
      ({listing}) => !tried.has(listing.registration.id),
    );
    const healthy = untried.filter(({ejectedUntil}) => ejectedUntil <= now);
    const preferred =
      [healthy, untried, withSlots].find(({length}) => length > 0) ?? [];
    const available = filterByMemory(
      preferred,
      service.engine?.tokenCapacity ?? 0,
      demand.request.size,
    );
    if (preferred.length > 0 && available.length === 0) {
      this.onMemoryFull(service.name);
    }
    return available;
  }

  /**
   * Filters the permitted servers whose limits have to be heard of again, by the next request whatever their
   * load; all if there are none. Others would use up the requests while the permits expire.
   */
  filterChecks(servers: readonly KnownServer[]): readonly KnownServer[] {
    const {limits} = this.servers;
    const due = servers.filter(({listing}) =>
      limits.isCheckDue(listing.registration),
    );
    return due.length > 0 ? due : servers;
  }

  /**
   * Lists the data centres of the servers that may run a request if only evacuated ones may, whatever
   * their load; empty if others may, or if none may at all.
   */
  listEvacuated(demand: PlacementRequest): readonly string[] {
    const {servers} = this;
    const {name} = demand.service;
    if (servers.evacuation.count === 0) return [];
    const evacuated = servers.listEvacuated(name);
    if (evacuated.length === 0) return [];
    const ready = this.filterPermitted(demand, servers.listReady(name));
    if (ready.length > 0) return [];
    const permitted = this.filterPermitted(demand, evacuated);
    return [
      ...new Set(permitted.map(({listing}) => listing.registration.dataCentre)),
    ];
  }

  /** Returns whether any server of a service, whatever its state, has a free slot. */
  hasFreeSlot({name, engine}: RoutedService): boolean {
    return this.servers.matchAny(({listing, inFlight, othersInFlight}) => {
      const {service, slots} = listing.registration;
      const load = inFlight + othersInFlight;
      return service === name && load < countSlots(slots, engine);
    });
  }

  /** Filters the servers that the roll-out of the service permits for a request. */
  private filterPermitted(
    {service, variant}: PlacementRequest,
    servers: readonly KnownServer[],
  ): readonly KnownServer[] {
    const {versions} = this;
    const unrejected = servers.filter(server => !versions.isRejected(server));
    return versions.filterServers(service.name, variant, unrejected);
  }

  private hasCapacity(server: KnownServer, {engine}: RoutedService): boolean {
    const {registration} = server.listing;
    const {slots} = registration;
    const {notices, limits, cold} = this.servers;
    if (!limits.isPermitted(registration)) return false;
    if (!cold.isPermitted(registration)) return false;
    if (notices.isReturning(registration)) {
      return server.inFlight === 0;
    }
    const load = server.inFlight + server.othersInFlight;
    return load < countSlots(slots, engine);
  }
}

/** Counts the requests that a server may have at a time. */
function countSlots(slots: number, engine: RoutedService['engine']): number {
  return engine ? slots : slots * (1 + OVERCOMMIT_FRACTION);
}
