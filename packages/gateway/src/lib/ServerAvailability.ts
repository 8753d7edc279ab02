import type {ServerObstacle} from '@sycamorehead/fleet';
import type {RoutedService} from '@sycamorehead/schema';
import {MemoryGroup, filterByMemory, groupByMemory} from './filterByMemory.js';
import {findLargestRoom} from './findLargestRoom.js';
import type {PlacementRequest} from './Placement.js';
import type {KnownServer} from './KnownServer.js';
import type {ServerTable} from './ServerTable.js';
import type {VersionSplit} from './VersionSplit.js';

/**
 * Maximum number of requests beyond its slots that a server that is not an engine gets, as a
 * fraction of its slots.
 */
const OVERCOMMIT_FRACTION = 1;

const NONE_TRIED: ReadonlySet<string> = new Set();

/** The servers that may get a request, and why the others of its service may not. @internal */
export interface ExplainedAvailability extends MemoryGroup {
  readonly obstacles: Map<KnownServer, ServerObstacle>;
}

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
    const {limits} = this.servers;
    const permitted = this.listPermitted(demand);
    for (const {listing} of permitted) limits.advance(listing.registration);
    const withSlots = this.filterCapacity(permitted, demand.service);
    const preferred = this.selectPreferred(demand, withSlots);
    const available = filterByMemory(
      preferred,
      demand.service.engine?.tokenCapacity ?? 0,
      demand.request.size,
    );
    if (preferred.length > 0 && available.length === 0) {
      this.onMemoryFull(demand.service.name);
    }
    return available;
  }

  /**
   * Explains what `listAvailable` returns: the servers that it may return, and why it leaves out the
   * others. Nothing is changed.
   */
  explain(demand: PlacementRequest): ExplainedAvailability {
    const {servers, versions} = this;
    const {service, tried} = demand;
    const obstacles = new Map<KnownServer, ServerObstacle>();
    const permitted = new Set(this.listPermitted(demand));
    const withSlots: KnownServer[] = [];
    for (const server of servers.listKnown(service.name)) {
      const obstacle =
        servers.findObstacle(server) ??
        (versions.isRejected(server) ? 'version_rejected' : undefined) ??
        (permitted.has(server) ? undefined : 'other_version') ??
        this.findCapacityObstacle(server, service);
      if (obstacle) obstacles.set(server, obstacle);
      else withSlots.push(server);
    }
    const preferred = new Set(this.selectPreferred(demand, withSlots));
    for (const server of withSlots) {
      if (preferred.has(server)) continue;
      const isTried = tried.has(server.listing.registration.id);
      obstacles.set(server, isTried ? 'tried' : 'ejected');
    }
    const group = groupByMemory(
      [...preferred],
      service.engine?.tokenCapacity ?? 0,
      demand.request.size,
    );
    const withMemory = new Set(group.servers);
    for (const server of preferred) {
      if (!withMemory.has(server)) obstacles.set(server, 'no_memory');
    }
    return {...group, obstacles};
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

  /**
   * Finds the size in tokens that the memory of some permitted server with capacity holds, of one that is
   * not ejected if there is any; 0 if there is none, or if memory does not bind, so that another size would
   * find no place either. All requests with the same needs share it, whatever servers each has tried.
   */
  findRoom(demand: PlacementRequest): number {
    const {service} = demand;
    const capacity = service.engine?.tokenCapacity ?? 0;
    if (capacity <= 0 || !this.hasFreeSlot(service)) return 0;
    const withSlots = this.filterCapacity(this.listPermitted(demand), service);
    const preferred = this.selectPreferred({tried: NONE_TRIED}, withSlots);
    return findLargestRoom(preferred, capacity);
  }

  /** Lists the servers that accept work and that the roll-out of the service permits for a request. */
  private listPermitted(demand: PlacementRequest): readonly KnownServer[] {
    const {servers} = this;
    const accepting = servers.listAccepting(demand.service.name);
    return this.filterPermitted(demand, accepting);
  }

  /** Selects the servers with slots that are neither tried for a request nor ejected, if there are any. */
  private selectPreferred(
    {tried}: Pick<PlacementRequest, 'tried'>,
    withSlots: readonly KnownServer[],
  ): readonly KnownServer[] {
    const now = performance.now();
    // A failed server holds nothing: by memory alone, it would get all that fits nowhere else.
    const untried = withSlots.filter(
      ({listing}) => !tried.has(listing.registration.id),
    );
    const healthy = untried.filter(({ejectedUntil}) => ejectedUntil <= now);
    return [healthy, untried, withSlots].find(({length}) => length > 0) ?? [];
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

  /** Filters the servers with capacity for one more request, whatever its size. */
  private filterCapacity(
    servers: readonly KnownServer[],
    service: RoutedService,
  ): readonly KnownServer[] {
    return servers.filter(
      server => this.findCapacityObstacle(server, service) === undefined,
    );
  }

  /** Finds why a server that accepts work has no capacity for one more request, whatever its size. */
  private findCapacityObstacle(
    server: KnownServer,
    {engine}: RoutedService,
  ): ServerObstacle | undefined {
    const {registration} = server.listing;
    const {notices, limits, cold} = this.servers;
    if (!limits.isPermitted(registration)) return 'limit';
    if (!cold.isPermitted(registration)) return 'cold';
    if (notices.isReturning(registration)) {
      return server.inFlight === 0 ? undefined : 'returning';
    }
    const load = server.inFlight + server.othersInFlight;
    return load < countSlots(registration.slots, engine)
      ? undefined
      : 'no_slot';
  }
}

/** Counts the requests that a server may have at a time. */
function countSlots(slots: number, engine: RoutedService['engine']): number {
  return engine ? slots : slots * (1 + OVERCOMMIT_FRACTION);
}
