import type {RoutedService, SycamoreheadError} from '@sycamorehead/schema';
import {
  DemandTable,
  NO_DEMAND,
  PlacementQueue,
  QueueNote,
  ServiceDemand,
  WaitingWork,
  computePressure,
  countNeededTokens,
  hashToShare,
} from '@sycamorehead/routing';
import type {CallerRequest} from './CallerRequest.js';
import {measurePendingMs} from './measurePendingMs.js';
import {buildEvacuationRefusal, buildRefusal} from './refusals.js';
import {ServerAvailability} from './ServerAvailability.js';
import {ServerChooser, ServerChooserOptions} from './ServerChooser.js';
import type {KnownServer} from './KnownServer.js';
import {SlowStart} from './SlowStart.js';
import type {VersionVariant, VersionSplit} from './VersionSplit.js';

/** Maximum retry delay when every server limits its requests, in milliseconds. */
const MAX_LIMIT_RETRY_MS = 5_000;
const MS_PER_SECOND = 1_000;
/**
 * Part of its wait for which a request waits if every server limits its requests: permits come at a
 * known pace.
 */
const LIMITED_WAIT_FRACTION = 0.4;
/** Time for which a service without free slots counts as open, in milliseconds. */
const OPEN_MS = 20;
/** What a prompt token costs a server, as a fraction of an answer token. */
const PROMPT_TOKEN_WORK = 0.25;
/** Maximum work that one request counts as, in answer tokens: shares rest on what callers tell. */
const MAX_WORK = 1_000_000;

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
  /** Undefined if requests carry no keys. */
  readonly customer: string | undefined;
  /** Ids of servers that have already failed or refused this request. */
  readonly tried: ReadonlySet<string>;
  /** The time until which a send is probably answered in time, on the monotonic clock. */
  readonly startBy: number;
  readonly abandonAt: number;
  /** The time at which it is refused if no places are known to come free; `abandonAt` if undefined. */
  readonly reviewAt?: number;
  /** The time until which the caller waits for the answer, on the monotonic clock. */
  readonly deadlineAt: number;
  /** The latency objective of the first event, on the monotonic clock; undefined if it has gone out. */
  readonly objectiveAt?: number;
  readonly signal: AbortSignal;
  /** Called when the request begins to wait. */
  onQueued?(note: QueueNote): void;
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
  /**
   * Confirms right before the send that it may be made: the server may have become cold since, or its
   * permit may have expired.
   */
  confirmSend(): boolean;
  /** Gives back the permit of a send that its server did not get, or did not count. */
  restorePermit(): void;
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
  /** When some server of a service was last known to take requests, on the monotonic clock. */
  private readonly openAt = new Map<string, number>();
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
    this.recordDemand(service);
    this.refuseIfEvacuated(demand);
    this.refuseIfTooLarge(demand);
    const {filling} = this.options.servers;
    if (demand.service.engine && filling.isFilling) {
      const {startBy, signal} = demand;
      await filling.waitTurn({service, startBy, signal});
    }
    const work = this.buildWork(demand);
    if (!this.isLimited(service)) return queue.acquire(work);
    const now = performance.now();
    const abandonAt = now + (demand.abandonAt - now) * LIMITED_WAIT_FRACTION;
    const limited = {...demand, abandonAt};
    this.refuseIfLimited(limited, queue.countAhead(demand.priority));
    return queue.acquire({...work, abandonAt});
  }

  /** Reserves a slot if one is free now and no other request waits for it. */
  tryAcquire(demand: PlacementRequest): SlotReservation | undefined {
    const service = demand.service.name;
    if (this.findClosure(demand)) return undefined;
    // Those that have no answer yet go first.
    if (this.options.servers.filling.countHeld(service) > 0) return undefined;
    const work = this.buildWork(demand);
    const reservation = this.getQueue(service).tryAcquire(work);
    if (reservation) this.recordDemand(service);
    return reservation;
  }

  /** Offers slots to the waiting requests after the table of servers has changed. */
  offerSlots(): void {
    for (const queue of this.queues.values()) queue.offerSlots();
  }

  /** Applies what the other entries have reported of the demand; undefined if that is unknown. */
  updateOthersDemand(table: DemandTable | undefined): void {
    for (const [service, queue] of this.queues) {
      queue.updateOthers(table && (table[service] ?? NO_DEMAND));
    }
  }

  /** Measures the pressure on a service's engines for requests with a target latency; 1 if permits bound all. */
  measurePressure(service: string, targetLatencyMs: number): number {
    const pendingMs = measurePendingMs(this.options.servers, service);
    if (pendingMs === undefined) return 1;
    return computePressure(pendingMs, targetLatencyMs);
  }

  /** Counts the waiting requests, of one service if it is given. */
  countWaiting(service?: string): number {
    if (service !== undefined) return this.queues.get(service)?.length ?? 0;
    let total = 0;
    for (const {length} of this.queues.values()) total += length;
    return total;
  }

  /** Counts the waiting requests of each service by urgency class. */
  countByUrgency(): ReadonlyMap<string, readonly number[]> {
    const entries = [...this.queues].map(
      ([service, queue]) => [service, queue.countByUrgency()] as const,
    );
    return new Map(entries);
  }

  /** Describes the demand here to the other entries, by service. */
  describeDemand(): DemandTable {
    const table: Record<string, ServiceDemand> = {};
    for (const [service, queue] of this.queues) {
      table[service] = queue.describeDemand();
    }
    return table;
  }

  private recordDemand(service: string): void {
    const {limits, cold} = this.options.servers;
    limits.recordDemand(service);
    cold.recordDemand(service);
  }

  private buildWork(demand: PlacementRequest): WaitingWork<SlotReservation> {
    const {request, variant, service} = demand;
    const isMemoryBound = (service.engine?.tokenCapacity ?? 0) > 0;
    const {promptTokens, answerTokens} = request.size;
    return {
      priority: demand.priority,
      customer: demand.customer,
      kind: demand.route,
      work: Math.min(MAX_WORK, answerTokens + promptTokens * PROMPT_TOKEN_WORK),
      draw: hashToShare(`draw ${request.id}`),
      startBy: demand.startBy,
      abandonAt: demand.abandonAt,
      reviewAt: demand.reviewAt,
      deadlineAt: demand.deadlineAt,
      needs: variant,
      size: isMemoryBound ? countNeededTokens(request.size) : 1,
      signal: demand.signal,
      tryReserveSlot: () => this.tryReserveSlot(demand),
      hasFreeSlot: () => this.availability.hasFreeSlot(service),
      onQueued: demand.onQueued,
    };
  }

  private tryReserveSlot(
    demand: PlacementRequest,
  ): SlotReservation | undefined {
    this.refuseIfEvacuated(demand);
    if (!this.availability.hasFreeSlot(demand.service)) {
      this.checkOpen(demand);
      return undefined;
    }
    const available = this.availability.listAvailable(demand);
    const usable = this.slowStart.filterServers(available);
    const choice = this.chooser.choose(demand, usable);
    if (!choice) {
      this.checkOpen(demand);
      return undefined;
    }
    const {server, ownMs, aloneMs, tokensToPrefill} = choice;
    const {keptTokens, savedMs} = choice;
    this.slowStart.recordChoice(available, server);
    const {limits, cold} = this.options.servers;
    const {registration} = server.listing;
    limits.takePermit(registration);
    let permit = cold.takePermit(registration);
    let isConfirmed = false;
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
    const confirmSend = () => {
      if (!cold.isConfirmed(registration, permit)) {
        permit = cold.takePermit(registration);
      }
      isConfirmed = cold.isConfirmed(registration, permit);
      return isConfirmed;
    };
    const restorePermit = () => {
      if (permit) cold.restorePermit(registration, permit);
      permit = undefined;
    };
    const release = () => {
      markStarted();
      if (!isReserved) return;
      isReserved = false;
      if (!isConfirmed) restorePermit();
      server.inFlight -= 1;
      server.memory.release(neededTokens);
      this.queues.get(demand.service.name)?.recordFreed();
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
      confirmSend,
      restorePermit,
      release,
    };
  }

  /** Throws the refusal of all requests of a service if no server takes any. */
  private checkOpen(demand: PlacementRequest): void {
    const {name} = demand.service;
    const now = performance.now();
    const checkedAt = this.openAt.get(name) ?? -Infinity;
    if (now - checkedAt < OPEN_MS) return;
    const closure = this.findClosure(demand);
    if (closure) throw closure;
    this.openAt.set(name, now);
  }

  /**
   * Returns the refusal of a request that no server may run now: those that might are in evacuated data
   * centres, leave or want no requests yet. While no server or no evacuation is known at all, the first
   * update may be on its way.
   */
  private findClosure(demand: PlacementRequest): SycamoreheadError | undefined {
    const {servers} = this.options;
    if (!servers.evacuation.isKnown) return undefined;
    const evacuated = this.availability.listEvacuated(demand);
    if (evacuated.length > 0) return buildEvacuationRefusal(evacuated);
    const {name} = demand.service;
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

  /** Refuses a request at once if only servers of evacuated data centres may run it. */
  private refuseIfEvacuated(demand: PlacementRequest): void {
    const evacuated = this.availability.listEvacuated(demand);
    if (evacuated.length > 0) throw buildEvacuationRefusal(evacuated);
  }

  /** Returns whether all servers of a service that may take requests limit them. */
  private isLimited(service: string): boolean {
    const {servers} = this.options;
    return servers
      .listReady(service)
      .every(
        ({listing: {registration}}) =>
          servers.limits.getPerSecond(registration) !== undefined,
      );
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
