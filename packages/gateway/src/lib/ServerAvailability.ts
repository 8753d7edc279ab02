import type {RoutedService} from '@sycamorehead/schema';
import type {PlacementRequest} from './Placement.js';
import type {KnownServer, ServerTable} from './ServerTable.js';
import type {VersionSplit} from './VersionSplit.js';

/**
 * Maximum number of requests beyond its slots that a server that is not an engine gets, as a
 * fraction of its slots.
 */
const OVERCOMMIT_FRACTION = 1;

/**
 * Determines which backend servers may get a request now: permitted, accepting and with capacity.
 *
 * @internal
 */
export class ServerAvailability {
  constructor(
    private readonly servers: ServerTable,
    private readonly versions: VersionSplit,
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
    const available = permitted.filter(server =>
      this.hasCapacity(server, service),
    );
    const untried = available.filter(
      ({listing}) => !tried.has(listing.registration.id),
    );
    const healthy = untried.filter(({ejectedUntil}) => ejectedUntil <= now);
    return [healthy, untried, available].find(({length}) => length > 0) ?? [];
  }

  /** Returns whether any server of a service, whatever its state, has a free slot. */
  hasFreeSlot({name, engine}: RoutedService): boolean {
    return this.servers.matchAny(({listing, inFlight, othersInFlight}) => {
      const {service, slots} = listing.registration;
      const load = inFlight + othersInFlight;
      return service === name && load < countSlots(slots, engine);
    });
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
    return load < countSlots(slots, engine);
  }
}

/** Counts the requests that a server may have at a time. */
function countSlots(slots: number, engine: RoutedService['engine']): number {
  return engine ? slots : slots * (1 + OVERCOMMIT_FRACTION);
}
