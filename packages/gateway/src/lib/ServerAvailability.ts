import type {RoutedService} from '@sycamorehead/schema';
import {filterByMemory} from './filterByMemory.js';
import type {PlacementRequest} from './Placement.js';
import type {KnownServer, ServerTable} from './ServerTable.js';
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
   * nor ejected.
   */
  listAvailable(demand: PlacementRequest): readonly KnownServer[] {
    const {servers, versions} = this;
    const {service, variant, tried} = demand;
    const now = performance.now();
    const ready = servers
      .listReady(service.name)
      .filter(
        server => servers.isAccepting(server) && !versions.isRejected(server),
      );
    const permitted = versions.filterServers(service.name, variant, ready);
    const withSlots = permitted.filter(server =>
      this.hasCapacity(server, service),
    );
    const available = filterByMemory(
      withSlots,
      service.engine?.tokenCapacity ?? 0,
      demand.request.size,
    );
    if (withSlots.length > available.length && available.length === 0) {
      this.onMemoryFull(service.name);
    }
    const untried = available.filter(
      ({listing}) => !tried.has(listing.registration.id),
    );
    const healthy = untried.filter(({ejectedUntil}) => ejectedUntil <= now);
    return [healthy, untried, available].find(({length}) => length > 0) ?? [];
  }

  private hasCapacity(server: KnownServer, {engine}: RoutedService): boolean {
    const {registration} = server.listing;
    const {slots} = registration;
    const {notices, limits} = this.servers;
    if (!limits.isPermitted(registration)) return false;
    if (notices.isReturning(registration)) {
      return server.inFlight === 0;
    }
    const load = server.inFlight + server.othersInFlight;
    return load < (engine ? slots : slots * (1 + OVERCOMMIT_FRACTION));
  }
}
