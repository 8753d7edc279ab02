import type {RoutedService} from '@sycamorehead/schema';
import {
  ForwardPolicy,
  PlacementQueue,
  ServerCandidate,
  scoreServer,
} from '@sycamorehead/routing';
import type {CallerRequest, PromptPart} from './CallerRequest.js';
import type {KnownServer, ServerTable} from './ServerTable.js';
import type {VersionSide, VersionSplit} from './VersionSplit.js';

/** Requests that a plain server is given beyond its slots, as a part of them. */
const PLAIN_OVERCOMMIT = 1;
/** Time after its last use for which a prompt part counts as kept, in milliseconds. */
const PART_MEMORY_MS = 30_000;

/** What a request needs of a place. @public */
export interface PlacementRequest {
  readonly request: CallerRequest;
  readonly service: RoutedService;
  readonly side: VersionSide;
  /** Model named to the server; absent for plain services. */
  readonly model: string | undefined;
  readonly priority: number;
  /** Ids of servers that have already failed or refused this request. */
  readonly tried: ReadonlySet<string>;
  readonly giveUpAt: number;
  readonly signal: AbortSignal;
}

/** A place at a server, to be released once the request is done there. @public */
export interface Place {
  readonly server: KnownServer;
  release(): void;
}

/** Settings of a Placement. @public */
export interface PlacementOptions {
  readonly servers: ServerTable;
  readonly versions: VersionSplit;
  readonly policy: ForwardPolicy;
  readonly dataCentre: string;
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
  acquire(wanted: PlacementRequest): Promise<Place> {
    const queue = this.getQueue(wanted.service.name);
    return queue.acquire({
      priority: wanted.priority,
      giveUpAt: wanted.giveUpAt,
      signal: wanted.signal,
      tryPlace: () => this.tryPlace(wanted),
    });
  }

  /** Offers places after the table of servers has changed. */
  offerPlaces(): void {
    for (const queue of this.queues.values()) queue.offerPlaces();
  }

  /** Requests that wait. */
  countWaiting(): number {
    let total = 0;
    for (const {length} of this.queues.values()) total += length;
    return total;
  }

  private tryPlace(wanted: PlacementRequest): Place | undefined {
    const server = this.chooseServer(wanted);
    if (!server) return undefined;
    server.inFlight += 1;
    let isHeld = true;
    return {
      server,
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        server.inFlight -= 1;
        this.queues.get(wanted.service.name)?.offerPlaces();
      },
    };
  }

  private chooseServer(wanted: PlacementRequest): KnownServer | undefined {
    const usable = this.listUsable(wanted);
    const {policy, dataCentre} = this.options;
    const work = {promptTokens: wanted.request.promptTokens};
    let best: KnownServer | undefined;
    let bestScore = Infinity;
    for (const server of usable) {
      const {registration, isSilent} = server.listing;
      const candidate: ServerCandidate = {
        id: registration.id,
        load: server.inFlight + server.othersInFlight,
        slots: registration.slots,
        isSameDataCentre: registration.dataCentre === dataCentre,
        isSilent,
        slowness: server.slowness,
        cachedTokens: countCachedTokens(
          server,
          wanted.model ?? '',
          wanted.request.parts,
        ),
      };
      const score = scoreServer(policy, candidate, work);
      const isBetter =
        score < bestScore || (score === bestScore && Math.random() < 0.5);
      if (!isBetter) continue;
      best = server;
      bestScore = score;
    }
    return best;
  }

  /** Servers with room that are neither barred nor left alone, nor tried where others are left. */
  private listUsable(wanted: PlacementRequest): readonly KnownServer[] {
    const {servers, versions} = this.options;
    const {service, side, tried} = wanted;
    const now = performance.now();
    const ready = servers
      .listReady(service.name)
      .filter(server => !versions.isBarred(server));
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

/** Tokens of the leading parts that a server was sent lately for the same model. */
function countCachedTokens(
  server: KnownServer,
  model: string,
  parts: readonly PromptPart[],
): number {
  const oldest = performance.now() - PART_MEMORY_MS;
  let tokens = 0;
  for (const part of parts) {
    const usedAt = server.parts.get(`${model} ${part.id}`);
    if (usedAt === undefined || usedAt < oldest) break;
    tokens += part.tokens;
  }
  return tokens;
}
