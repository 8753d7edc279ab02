import type {RoutedService} from '@sycamorehead/schema';
import {
  ForwardPolicy,
  PlacementQueue,
  PrefillRates,
  choosePreferredServer,
  scoreServer,
} from '@sycamorehead/routing';
import {AnswerTimes, buildWorkKind} from './AnswerTimes.js';
import type {CallerRequest, PromptSegment} from './CallerRequest.js';
import type {KnownServer, ServerTable} from './ServerTable.js';
import type {VersionVariant, VersionSplit} from './VersionSplit.js';

/** Requests that a plain server is given beyond its slots, as a part of them. */
const PLAIN_OVERCOMMIT = 1;
/** Part of the target latency at which engines count as full. */
const FULL_PART = 0.8;
/** Part of the shared tokens that an owner is taken to have without a send of this entry. */
const OWNER_SHARE = 0.6;
/** Time after its last use for which a prompt part counts as kept, in milliseconds. */
const PART_MEMORY_MS = 30_000;

/** What a request needs of a place. @public */
export interface PlacementRequest {
  readonly request: CallerRequest;
  readonly service: RoutedService;
  /** Name of the route, by which times are compared. */
  readonly route: string;
  readonly variant: VersionVariant;
  /** Model named to the server; absent for plain services. */
  readonly model: string | undefined;
  readonly priority: number;
  /** Ids of servers that have already failed or refused this request. */
  readonly tried: ReadonlySet<string>;
  readonly abandonAt: number;
  readonly signal: AbortSignal;
}

/** A place at a server, to be released once the request is done there. @public */
export interface SlotReservation {
  readonly server: KnownServer;
  /** Tokens of the prompt that the server probably has to read. */
  readonly tokensToPrefill: number;
  /** Whether nothing that waits for its first event was known there when the place was taken. */
  readonly isUncontended: boolean;
  /** Notes that the server has begun to answer. */
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
}

interface Choice {
  readonly server: KnownServer;
  readonly tokensToRead: number;
  readonly ownMs: number;
  readonly score: number;
}

/**
 * Gives requests a place at a backend server: chooses among those with room, or lets the request
 * wait for one.
 *
 * @public
 */
export class Placement {
  private readonly queues = new Map<string, PlacementQueue>();

  constructor(private readonly options: PlacementOptions) {}

  /**
   * Takes a place, waiting for one if need be.
   *
   * @throws SycamoreheadError `overloaded`, `caller_gone`.
   */
  acquire(wanted: PlacementRequest): Promise<SlotReservation> {
    const queue = this.getQueue(wanted.service.name);
    return queue.acquire({
      priority: wanted.priority,
      abandonAt: wanted.abandonAt,
      signal: wanted.signal,
      tryReserveSlot: () => this.tryPlace(wanted),
    });
  }

  /** Offers places after the table of servers has changed. */
  offerSlots(): void {
    for (const queue of this.queues.values()) queue.offerSlots();
  }

  /**
   * How full a service's engines are: the work that waits at each on average, against the part of
   * the target latency that may pass before reading begins.
   */
  measurePressure(service: string, targetLatencyMs: number): number {
    const servers = this.options.servers.listReady(service);
    if (servers.length === 0) return 1;
    const waitingMs = servers.reduce(
      (sum, {pendingMs, othersPendingMs}) => sum + pendingMs + othersPendingMs,
      0,
    );
    return waitingMs / servers.length / (targetLatencyMs * FULL_PART);
  }

  /** Requests that wait. */
  countWaiting(): number {
    let total = 0;
    for (const {length} of this.queues.values()) total += length;
    return total;
  }

  private tryPlace(wanted: PlacementRequest): SlotReservation | undefined {
    const choice = this.chooseServer(wanted);
    if (!choice) return undefined;
    const {server, ownMs, tokensToRead} = choice;
    const isAlone = server.pendingMs + server.othersPendingMs <= 0;
    server.inFlight += 1;
    server.pendingMs += ownMs;
    let isPending = true;
    let isHeld = true;
    const noteStarted = () => {
      if (isPending) server.pendingMs -= ownMs;
      isPending = false;
    };
    const release = () => {
      noteStarted();
      if (!isHeld) return;
      isHeld = false;
      server.inFlight -= 1;
      this.queues.get(wanted.service.name)?.offerSlots();
    };
    return {
      server,
      tokensToPrefill: tokensToRead,
      isUncontended: isAlone,
      markStarted: noteStarted,
      release,
    };
  }

  private chooseServer(wanted: PlacementRequest): Choice | undefined {
    const usable = this.listUsable(wanted);
    const owner = findOwner(wanted, usable);
    let best: Choice | undefined;
    for (const server of usable) {
      const choice = this.rateServer(wanted, server, server === owner);
      const isBetter =
        !best ||
        choice.score < best.score ||
        (choice.score === best.score && Math.random() < 0.5);
      if (isBetter) best = choice;
    }
    return best;
  }

  private rateServer(
    wanted: PlacementRequest,
    server: KnownServer,
    isOwner: boolean,
  ): Choice {
    const {request, model, service, route} = wanted;
    const {policy, dataCentre, rates, times} = this.options;
    const {registration, isSilent} = server.listing;
    const kept = countKeptTokens(
      server,
      model ?? '',
      request.promptSegments,
      isOwner,
    );
    const tokensToRead = Math.max(0, request.promptTokens - kept);
    const ownMs = service.engine
      ? rates.estimateMs(model ?? '', tokensToRead)
      : (times.getTypicalMs(buildWorkKind(route, model)) ?? 0) /
        Math.max(1, registration.slots);
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
    return {server, tokensToRead, ownMs, score};
  }

  /** Servers with room that are neither barred nor left alone, nor tried where others are left. */
  private listUsable(wanted: PlacementRequest): readonly KnownServer[] {
    const {servers, versions} = this.options;
    const {service, variant: side, tried} = wanted;
    const now = performance.now();
    const ready = servers
      .listReady(service.name)
      .filter(server => !versions.isRolledBack(server));
    const permitted = versions.filterServers(service.name, side, ready);
    const open = permitted.filter(server => hasRoom(server, service));
    const fresh = open.filter(
      ({listing}) => !tried.has(listing.registration.id),
    );
    const sound = fresh.filter(({ejectedUntil}) => ejectedUntil <= now);
    return [sound, fresh, open].find(({length}) => length > 0) ?? [];
  }

  private getQueue(service: string): PlacementQueue {
    const known = this.queues.get(service);
    if (known) return known;
    const queue = new PlacementQueue();
    this.queues.set(service, queue);
    return queue;
  }
}

function hasRoom(server: KnownServer, {engine}: RoutedService): boolean {
  const {slots} = server.listing.registration;
  const load = server.inFlight + server.othersInFlight;
  return load < (engine ? slots : slots * (1 + PLAIN_OVERCOMMIT));
}

/** The server that every entry prefers for the prompt's last shared part. */
function findOwner(
  {request, model}: PlacementRequest,
  servers: readonly KnownServer[],
): KnownServer | undefined {
  // The last part is the request's own.
  const shared = request.promptSegments.at(-2);
  if (!shared) return undefined;
  const ids = servers.map(({listing}) => listing.registration.id);
  const owner = choosePreferredServer(`${model ?? ''} ${shared.id}`, ids);
  return servers.find(({listing}) => listing.registration.id === owner);
}

/**
 * Tokens of the leading parts that a server probably has in memory for a model: those that this
 * entry sent there lately, and the shared ones that other entries send to their owner.
 */
function countKeptTokens(
  server: KnownServer,
  model: string,
  parts: readonly PromptSegment[],
  isOwner: boolean,
): number {
  const oldest = performance.now() - PART_MEMORY_MS;
  let tokens = 0;
  let isSent = true;
  parts.forEach((part, index) => {
    const usedAt = server.cachedSegments.get(`${model} ${part.id}`);
    isSent &&= usedAt !== undefined && usedAt >= oldest;
    const isShared = index < parts.length - 1;
    if (isSent) tokens += part.tokens;
    else if (isOwner && isShared) tokens += part.tokens * OWNER_SHARE;
  });
  return tokens;
}
