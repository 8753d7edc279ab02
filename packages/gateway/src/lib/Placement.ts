import type {RoutedService, SycamoreheadError} from '@sycamorehead/schema';
import {PlacementQueue, countNeededTokens} from '@sycamorehead/routing';
import type {CallerRequest} from './CallerRequest.js';
import {buildRefusal} from './refusals.js';
import {ServerAvailability} from './ServerAvailability.js';
import {ServerChooser, ServerChooserOptions} from './ServerChooser.js';
import type {KnownServer} from './ServerTable.js';
import {SlowStart} from './SlowStart.js';
import type {VersionVariant, VersionSplit} from './VersionSplit.js';

/** Average pending work at which engines count as full, as a fraction of the target latency. */
const FULL_FRACTION = 0.8;
/** Maximum retry delay when every server limits its requests, in milliseconds. */
const MAX_LIMIT_RETRY_MS = 5_000;
const MS_PER_SECOND = 1_000;

/** The requirements of a request for a slot. @public */
export interface PlacementRequest {
  readonly request: CallerRequest;
  readonly service: RoutedService;
  /** Name of the route; answer times are tracked for each route and model. */
  readonly route: string;
  readonly variant: VersionVariant;
  /** Model named to the server; undefined for services without models. */
  readonly model: string | undefined;
  readonly priority: number;
  /** Ids of servers that have already failed or refused this request. */
  readonly tried: ReadonlySet<string>;
  readonly abandonAt: number;
  /** The latency objective of the first event, on the monotonic clock; undefined if it has gone out. */
  readonly objectiveAt?: number;
  readonly signal: AbortSignal;
}

/** A reserved slot of a server, to be released once the request is done there. @public */
export interface SlotReservation {
  readonly server: KnownServer;
  /** Prompt tokens that the server probably has to prefill. */
  readonly tokensToPrefill: number;
  /** Prompt tokens that the server is believed to have kept. */
  readonly keptTokens: number;
  /** Reading time that they save there, in milliseconds. */
  readonly savedMs: number;
  /** The estimated work before the answer begins, in milliseconds. */
  readonly estimatedMs: number;
  /**
   * The expected time until the answer begins, in milliseconds; undefined if no similar answer is
   * known.
   */
  readonly expectedMs: number | undefined;
  /** The other requests that were known to be in flight on the server. */
  readonly load: number;
  /** Whether no other request was known to wait for its first event when the slot was reserved. */
  readonly isUncontended: boolean;
  /** Marks that the server has begun to answer. */
  markStarted(): void;
  release(): void;
}

/** Settings of a Placement. @public */
export interface PlacementOptions extends ServerChooserOptions {
  readonly versions: VersionSplit;
  /** Called when a request finds no memory at servers that have slots left. */
  readonly onMemoryFull?: (service: string) => void;
}

/**
 * Reserves slots of backend servers for requests: chooses among the servers with capacity, or
 * queues the request until one has capacity.
 *
 * @public
 */
export class Placement {
  private readonly queues = new Map<string, PlacementQueue>();
  private readonly slowStart: SlowStart;
  private readonly availability: ServerAvailability;
  private readonly chooser: ServerChooser;

  constructor(private readonly options: PlacementOptions) {
    const {servers, versions} = options;
    this.slowStart = new SlowStart(server => servers.isSlow(server));
    this.availability = new ServerAvailability(servers, versions, service =>
      options.onMemoryFull?.(service),
    );
    this.chooser = new ServerChooser(options);
  }

  /**
   * Reserves a slot and waits for one if none is free.
   *
   * @throws SycamoreheadError `overloaded`, `caller_gone`.
   */
  async acquire(demand: PlacementRequest): Promise<SlotReservation> {
    const service = demand.service.name;
    const queue = this.getQueue(service);
    this.options.servers.limits.recordDemand(service);
    this.refuseIfTooLarge(demand);
    this.refuseIfLimited(demand, queue.countAhead(demand.priority));
    return queue.acquire({
      priority: demand.priority,
      abandonAt: demand.abandonAt,
      signal: demand.signal,
      tryReserveSlot: () => this.tryReserveSlot(demand),
    });
  }

  /** Reserves a slot if one is free now and no other request waits for it. */
  tryAcquire(demand: PlacementRequest): SlotReservation | undefined {
    const service = demand.service.name;
    if (this.getQueue(service).countAhead(demand.priority) > 0) {
      return undefined;
    }
    if (this.findClosure(demand.service)) return undefined;
    const reservation = this.tryReserveSlot(demand);
    if (reservation) this.options.servers.limits.recordDemand(service);
    return reservation;
  }

  /** Offers slots to the waiting requests after the table of servers has changed. */
  offerSlots(): void {
    for (const queue of this.queues.values()) queue.offerSlots();
  }

  /**
   * Measures the load of a service's engines: the average work pending on each, relative to the
   * fraction of the target latency that may pass before prefill begins.
   */
  measurePressure(service: string, targetLatencyMs: number): number {
    const {servers: table} = this.options;
    // A free slot of a server that limits its requests is no capacity.
    const servers = table
      .listReady(service)
      .filter(({listing}) => !table.limits.isLimited(listing.registration));
    if (servers.length === 0) return 1;
    const waitingMs = servers.reduce(
      (sum, {pendingMs, othersPendingMs}) => sum + pendingMs + othersPendingMs,
      0,
    );
    return waitingMs / servers.length / (targetLatencyMs * FULL_FRACTION);
  }

  /** Counts the waiting requests, of one service if it is given. */
  countWaiting(service?: string): number {
    if (service !== undefined) return this.queues.get(service)?.length ?? 0;
    let total = 0;
    for (const {length} of this.queues.values()) total += length;
    return total;
  }

  private tryReserveSlot(
    demand: PlacementRequest,
  ): SlotReservation | undefined {
    const closure = this.findClosure(demand.service);
    if (closure) throw closure;
    const available = this.availability.listAvailable(demand);
    const usable = this.slowStart.filterServers(available);
    const choice = this.chooser.choose(demand, usable);
    if (!choice) return undefined;
    const {server, ownMs, aloneMs, tokensToPrefill} = choice;
    const {keptTokens, savedMs} = choice;
    this.slowStart.recordChoice(available, server);
    this.options.servers.limits.takePermit(server.listing.registration);
    const pendingMs = server.pendingMs + server.othersPendingMs;
    const isUncontended = pendingMs <= 0;
    const load = server.inFlight + server.othersInFlight;
    server.inFlight += 1;
    server.pendingMs += ownMs;
    const neededTokens = countNeededTokens(demand.request.size);
    server.memory.reserve(neededTokens);
    const awaited =
      aloneMs === undefined || !demand.service.engine
        ? undefined
        : server.pace.recordSend(pendingMs + aloneMs);
    let isPending = true;
    let isReserved = true;
    const markStarted = () => {
      if (isPending) server.pendingMs -= ownMs;
      isPending = false;
      if (awaited) server.pace.recordStart(awaited);
    };
    const release = () => {
      markStarted();
      if (!isReserved) return;
      isReserved = false;
      server.inFlight -= 1;
      server.memory.release(neededTokens);
      this.queues.get(demand.service.name)?.offerSlots();
    };
    return {
      server,
      tokensToPrefill,
      keptTokens,
      savedMs,
      estimatedMs: pendingMs + ownMs,
      expectedMs: aloneMs === undefined ? undefined : pendingMs + aloneMs,
      load,
      isUncontended,
      markStarted,
      release,
    };
  }

  /**
   * Returns the refusal of all requests of a service whose servers all leave or want no requests yet.
   * While no server is known at all, the first listing may be on its way.
   */
  private findClosure({name}: RoutedService): SycamoreheadError | undefined {
    const {servers} = this.options;
    const ready = servers.listReady(name);
    if (ready.length === 0) {
      if (!servers.hasServers(name)) return undefined;
      return buildRefusal('every server leaves', false);
    }
    const holdMs = Math.min(
      ...ready.map(({listing}) =>
        servers.notices.getHoldMs(listing.registration),
      ),
    );
    if (holdMs <= 0) return undefined;
    return buildRefusal('every server wants a pause', false, holdMs);
  }

  /** Refuses a request at once that is larger than the memory of every server. */
  private refuseIfTooLarge({request, service}: PlacementRequest): void {
    const capacity = service.engine?.tokenCapacity ?? 0;
    if (capacity <= 0 || countNeededTokens(request.size) <= capacity) return;
    this.options.onMemoryFull?.(service.name);
    throw buildRefusal(
      'the request is larger than the memory of every server',
      false,
      MAX_LIMIT_RETRY_MS,
    );
  }

  /**
   * Refuses a request at once if every server of its service limits its requests, and those that wait
   * already use up what this entry may send in the time that the request may wait.
   */
  private refuseIfLimited(
    {service, abandonAt}: PlacementRequest,
    waiting: number,
  ): void {
    const {servers} = this.options;
    const {limits} = servers;
    const ready = servers.listReady(service.name);
    let ownRate = 0;
    for (const {listing} of ready) {
      const perSecond = limits.getPerSecond(listing.registration);
      if (perSecond === undefined) return;
      ownRate += limits.computeOwnRate(perSecond);
    }
    if (ready.length === 0) return;
    const waitMs = (waiting * MS_PER_SECOND) / ownRate;
    if (performance.now() + waitMs <= abandonAt) return;
    throw buildRefusal(
      'every server limits its requests',
      false,
      Math.min(MAX_LIMIT_RETRY_MS, waitMs),
    );
  }

  private getQueue(service: string): PlacementQueue {
    const known = this.queues.get(service);
    if (known) return known;
    const queue = new PlacementQueue();
    this.queues.set(service, queue);
    return queue;
  }
}
