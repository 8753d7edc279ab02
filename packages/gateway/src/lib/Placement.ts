import type {RoutedService} from '@sycamorehead/schema';
import {
  DemandTable,
  NO_DEMAND,
  PlacementQueue,
  QueueNote,
  WaitingTable,
  WaitingWork,
  computePressure,
  countNeededTokens,
  hashToShare,
} from '@sycamorehead/routing';
import {buildSessionName} from './buildSessionName.js';
import type {CallerRequest} from './CallerRequest.js';
import {buildQueueTable} from './buildQueueTable.js';
import {renewWaitLimits} from './computeWaitLimits.js';
import {computeWork} from './computeWork.js';
import {ExplainedSlot, explainSlot} from './explainSlot.js';
import {measurePendingMs} from './measurePendingMs.js';
import {
  PlacementRefusals,
  isHoldable,
  isTooLarge,
} from './PlacementRefusals.js';
import {ServerAvailability} from './ServerAvailability.js';
import {ServerChooser, ServerChooserOptions} from './ServerChooser.js';
import type {KnownServer} from './KnownServer.js';
import {SlowStart} from './SlowStart.js';
import type {VersionVariant, VersionSplit} from './VersionSplit.js';

/** Time for which a service without free slots counts as open, in milliseconds. */
const OPEN_MS = 20;

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
  private readonly refusals: PlacementRefusals;
  private readonly chooser: ServerChooser;

  constructor(private readonly options: PlacementOptions) {
    const {servers, versions} = options;
    this.slowStart = new SlowStart(server => servers.isSlow(server));
    this.availability = new ServerAvailability(servers, versions, service =>
      options.onMemoryFull?.(service),
    );
    this.refusals = new PlacementRefusals(servers, this.availability);
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
    if (isTooLarge(demand)) this.options.onMemoryFull?.(service);
    this.refusals.checkDemand(demand);
    const isHeld = isHoldable(demand) && this.options.servers.filling.isFilling;
    const due = isHeld ? await this.awaitTurn(demand) : demand;
    const abandonAt = this.refusals.limitWait(due, queue);
    return queue.acquire({...this.buildWork(due), abandonAt});
  }

  /** Reserves a slot if one is free now and no other request waits for it. */
  tryAcquire(demand: PlacementRequest): SlotReservation | undefined {
    const service = demand.service.name;
    if (this.refusals.findClosure(demand)) return undefined;
    // Those that have no answer yet go first.
    if (this.options.servers.filling.countHeld(service) > 0) return undefined;
    const work = this.buildWork(demand);
    const reservation = this.getQueue(service).tryAcquire(work);
    if (reservation) this.recordDemand(service);
    return reservation;
  }

  /**
   * Explains where a request would go now, by the same decisions as `acquire`. Nothing is reserved,
   * recorded or drawn.
   */
  explain(demand: PlacementRequest): Promise<ExplainedSlot> {
    const {availability, chooser, slowStart, refusals} = this;
    const queue = this.queues.get(demand.service.name) ?? new PlacementQueue();
    const {filling} = this.options.servers;
    const decisions = {availability, chooser, slowStart, refusals, filling};
    return explainSlot(demand, queue, decisions, this.buildWork(demand));
  }

  /** Offers slots to the waiting requests after the table of servers has changed. */
  offerSlots(): void {
    this.options.servers.filling.refuseClosed();
    for (const queue of this.queues.values()) queue.offerSlots();
  }

  /** Applies what the other entries have reported of the demand; undefined if that is unknown. */
  updateOthersDemand(table: DemandTable | undefined): void {
    for (const [service, queue] of this.queues) {
      queue.updateOthers(table && (table[service] ?? NO_DEMAND));
    }
  }

  /** Applies which requests of other entries wait; the rest of the demand is as reported before. */
  updateOthersWaiting(table: WaitingTable): void {
    for (const [service, queue] of this.queues) {
      queue.updateOthersWaiting(table[service] ?? NO_DEMAND);
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
    const countQueue = (queue: PlacementQueue) => queue.countByUrgency();
    return new Map(Object.entries(buildQueueTable(this.queues, countQueue)));
  }

  /** Describes the demand here to the other entries, by service. */
  describeDemand(): DemandTable {
    return buildQueueTable(this.queues, queue => queue.describeDemand());
  }

  /** Describes the requests that wait here to the other entries, by service. */
  describeWaiting(): WaitingTable {
    return buildQueueTable(this.queues, queue => queue.describeWaiting());
  }

  /** Holds a request while the directory fills; its wait for a place begins after that. */
  private async awaitTurn(demand: PlacementRequest): Promise<PlacementRequest> {
    const {service, variant, startBy, signal} = demand;
    const heldAt = performance.now();
    await this.options.servers.filling.waitTurn({
      service: service.name,
      startBy,
      signal,
      needs: variant,
      // If all known servers leave, others may be about to register.
      findRefusal: () => this.refusals.findEvacuation(demand),
    });
    const heldMs = performance.now() - heldAt;
    return {...demand, ...renewWaitLimits(demand, heldMs)};
  }

  private recordDemand(service: string): void {
    const {limits, cold} = this.options.servers;
    limits.recordDemand(service);
    cold.recordDemand(service);
  }

  private buildWork(demand: PlacementRequest): WaitingWork<SlotReservation> {
    const {request, variant, service} = demand;
    const isMemoryBound = (service.engine?.tokenCapacity ?? 0) > 0;
    return {
      priority: demand.priority,
      customer: demand.customer,
      session: buildSessionName(demand),
      kind: demand.route,
      work: computeWork(request.size),
      draw: hashToShare(`draw ${request.id}`),
      startBy: demand.startBy,
      abandonAt: demand.abandonAt,
      reviewAt: demand.reviewAt,
      deadlineAt: demand.deadlineAt,
      needs: variant,
      size: isMemoryBound ? countNeededTokens(request.size) : 1,
      signal: demand.signal,
      tryReserveSlot: () => this.tryReserveSlot(demand),
      findRoom: () => this.availability.findRoom(demand),
      onQueued: demand.onQueued,
    };
  }

  private tryReserveSlot(
    demand: PlacementRequest,
  ): SlotReservation | undefined {
    this.refusals.checkEvacuation(demand);
    if (!this.availability.hasFreeSlot(demand.service)) {
      this.checkOpen(demand);
      return undefined;
    }
    const available = this.availability.listAvailable(demand);
    const usable = this.availability.filterChecks(
      this.slowStart.filterServers(available),
    );
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
    const closure = this.refusals.findClosure(demand);
    if (closure) throw closure;
    this.openAt.set(name, now);
  }

  private getQueue(service: string): PlacementQueue {
    const known = this.queues.get(service);
    if (known) return known;
    const queue = new PlacementQueue();
    this.queues.set(service, queue);
    return queue;
  }
}
