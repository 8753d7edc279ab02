import type {RoutedService, SycamoreheadError} from '@sycamorehead/schema';
import {
  ForwardPolicy,
  PlacementQueue,
  PreferredServers,
  PrefillRates,
  choosePreferredServers,
  sampleServers,
  scoreServer,
} from '@sycamorehead/routing';
import {AnswerTimes, buildWorkKind} from './AnswerTimes.js';
import type {CallerRequest, PromptSegment} from './CallerRequest.js';
import {buildRefusal} from './refusals.js';
import type {KnownServer, ServerTable} from './ServerTable.js';
import {SlowStart} from './SlowStart.js';
import type {VersionVariant, VersionSplit} from './VersionSplit.js';

/**
 * Maximum number of requests beyond its slots that a server that is not an engine gets, as a
 * fraction of its slots.
 */
const OVERCOMMIT_FRACTION = 1;
/** Average pending work at which engines count as full, as a fraction of the target latency. */
const FULL_FRACTION = 0.8;
/**
 * Fraction of the tokens of shared segments that a server is assumed to have cached because of
 * sends of other entries, by the preference of the entries for it.
 */
const CACHED_FRACTIONS = {first: 0.9, second: 0.5, none: 0} as const;
/** Time after its last use for which a prompt segment counts as cached, in milliseconds. */
const SEGMENT_CACHED_MS = 30_000;

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
  readonly signal: AbortSignal;
}

/** A reserved slot of a server, to be released once the request is done there. @public */
export interface SlotReservation {
  readonly server: KnownServer;
  /** Prompt tokens that the server probably has to prefill. */
  readonly tokensToPrefill: number;
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
export interface PlacementOptions {
  readonly servers: ServerTable;
  readonly versions: VersionSplit;
  readonly rates: PrefillRates;
  readonly times: AnswerTimes;
  readonly policy: ForwardPolicy;
  readonly dataCentre: string;
  /** Returns the number of entries that choose among the servers. */
  countEntries(): number;
}

/** The preference of the entries for a server, by the shared segments of a prompt. */
type Preference = keyof typeof CACHED_FRACTIONS;

interface Choice {
  readonly server: KnownServer;
  readonly tokensToPrefill: number;
  readonly ownMs: number;
  /** Time until the answer begins if no other request waits; undefined if unknown. */
  readonly aloneMs: number | undefined;
  readonly score: number;
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

  constructor(private readonly options: PlacementOptions) {
    this.slowStart = new SlowStart(server => options.servers.isSlow(server));
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
    const available = this.listAvailable(demand);
    const choice = this.chooseServer(demand, available);
    if (!choice) return undefined;
    const {server, ownMs, aloneMs, tokensToPrefill} = choice;
    this.slowStart.recordChoice(available, server);
    this.options.servers.limits.takePermit(server.listing.registration);
    const pendingMs = server.pendingMs + server.othersPendingMs;
    const isUncontended = pendingMs <= 0;
    const load = server.inFlight + server.othersInFlight;
    server.inFlight += 1;
    server.pendingMs += ownMs;
    let isPending = true;
    let isReserved = true;
    const markStarted = () => {
      if (isPending) server.pendingMs -= ownMs;
      isPending = false;
    };
    const release = () => {
      markStarted();
      if (!isReserved) return;
      isReserved = false;
      server.inFlight -= 1;
      this.queues.get(demand.service.name)?.offerSlots();
    };
    return {
      server,
      tokensToPrefill,
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

  private chooseServer(
    demand: PlacementRequest,
    available: readonly KnownServer[],
  ): Choice | undefined {
    const usable = this.slowStart.filterServers(available);
    const preferred = choosePreferred(demand, usable);
    const {policy, dataCentre, servers} = this.options;
    const sample = new Set(
      sampleServers(usable, {
        policy,
        entries: this.options.countEntries(),
        isNear: ({listing}) => listing.registration.dataCentre === dataCentre,
      }),
    );
    for (const server of usable) {
      const isPreferred = getPreference(preferred, server) !== 'none';
      const {registration} = server.listing;
      // A permit expires soon.
      if (isPreferred || servers.limits.isLimited(registration)) {
        sample.add(server);
      }
    }
    let best: Choice | undefined;
    for (const server of sample) {
      const choice = this.rateServer(
        demand,
        server,
        getPreference(preferred, server),
      );
      const isBetter =
        !best ||
        choice.score < best.score ||
        (choice.score === best.score && Math.random() < 0.5);
      if (isBetter) best = choice;
    }
    return best;
  }

  private rateServer(
    demand: PlacementRequest,
    server: KnownServer,
    preference: Preference,
  ): Choice {
    const {request, model, service, route} = demand;
    const {policy, dataCentre, rates, times} = this.options;
    const {registration, isSilent} = server.listing;
    const cached = countCachedTokens(
      server,
      model ?? '',
      request.promptSegments,
      CACHED_FRACTIONS[preference],
    );
    const tokensToPrefill = Math.max(0, request.size.promptTokens - cached);
    const typicalMs = times.getTypicalMs(buildWorkKind(route, model));
    const ownMs = service.engine
      ? rates.estimateMs(model ?? '', tokensToPrefill)
      : (typicalMs ?? 0) / Math.max(1, registration.slots);
    const aloneMs = service.engine
      ? rates.estimateFixedMs(model ?? '') + ownMs
      : typicalMs;
    const pendingMs = server.pendingMs + server.othersPendingMs;
    const score = scoreServer(policy, {
      load: server.inFlight + server.othersInFlight,
      slots: registration.slots,
      pendingMs,
      ownMs,
      isSameDataCentre: registration.dataCentre === dataCentre,
      isSilent,
      slowness: server.slowness,
    });
    return {server, tokensToPrefill, ownMs, aloneMs, score};
  }

  /**
   * Lists the permitted servers with capacity, if possible those neither tried for this request
   * nor ejected.
   */
  private listAvailable(demand: PlacementRequest): readonly KnownServer[] {
    const {servers, versions} = this.options;
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

  private hasCapacity(server: KnownServer, {engine}: RoutedService): boolean {
    const {registration} = server.listing;
    const {slots} = registration;
    const {notices, limits} = this.options.servers;
    if (!limits.isPermitted(registration)) return false;
    if (notices.isReturning(registration)) {
      return server.inFlight === 0;
    }
    const load = server.inFlight + server.othersInFlight;
    return load < (engine ? slots : slots * (1 + OVERCOMMIT_FRACTION));
  }

  private getQueue(service: string): PlacementQueue {
    const known = this.queues.get(service);
    if (known) return known;
    const queue = new PlacementQueue();
    this.queues.set(service, queue);
    return queue;
  }
}

/** Chooses the servers that every entry prefers for the last shared segment of the prompt. */
function choosePreferred(
  {request, model}: PlacementRequest,
  servers: readonly KnownServer[],
): PreferredServers | undefined {
  // The last segment belongs to this request only.
  const shared = request.promptSegments.at(-2);
  if (!shared) return undefined;
  const ids = servers.map(({listing}) => listing.registration.id);
  return choosePreferredServers(`${model ?? ''} ${shared.id}`, ids);
}

function getPreference(
  preferred: PreferredServers | undefined,
  {listing}: KnownServer,
): Preference {
  const {id} = listing.registration;
  if (id === preferred?.first) return 'first';
  return id === preferred?.second ? 'second' : 'none';
}

/**
 * Estimates the prompt tokens that a server probably has cached for a model: those of the leading
 * segments that this entry sent there recently and, on a preferred server, a fraction of those of
 * the other shared segments, which other entries send there.
 */
function countCachedTokens(
  server: KnownServer,
  model: string,
  segments: readonly PromptSegment[],
  sharedFraction: number,
): number {
  const oldest = performance.now() - SEGMENT_CACHED_MS;
  let tokens = 0;
  let isSent = true;
  segments.forEach((segment, index) => {
    const usedAt = server.cachedSegments.get(`${model} ${segment.id}`);
    isSent &&= usedAt !== undefined && usedAt >= oldest;
    const isShared = index < segments.length - 1;
    if (isSent) tokens += segment.tokens;
    else if (isShared) tokens += segment.tokens * sharedFraction;
  });
  return tokens;
}
