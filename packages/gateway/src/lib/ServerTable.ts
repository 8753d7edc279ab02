import type {
  FleetUpdate,
  LoadTable,
  ServerListing,
  ServerLoad,
} from '@sycamorehead/fleet';
import {ServerRegistration, isNewerRegistration} from '@sycamorehead/schema';
import {writeDecision} from '@sycamorehead/telemetry';
import {ServerAgent} from './ServerAgent.js';

/** Idle connections kept to one backend server. */
const MAX_IDLE_CONNECTIONS = 24;
/** Failures in a row after which a server is left alone for a while. */
const FAILURES_TO_EJECT = 2;
/** First time that a failing server is left alone, in milliseconds; doubles with each failure. */
const EJECTION_MS = 400;
const MAX_EJECTION_MS = 4_000;
/** Weight of the newest answer in a server's slowness. */
const SLOWNESS_GAIN = 0.15;
/** Time for which a server counts as heard, in milliseconds; a few steps of a busy engine. */
const HEARD_MS = 400;
/** Bounds within which a server's slowness is kept. */
const MIN_SLOWNESS = 0.5;
const MAX_SLOWNESS = 8;
/** Prompt parts remembered for one server. */
const MAX_PARTS = 4_000;

/** One backend server as this entry knows it. @public */
export interface KnownServer {
  listing: ServerListing;
  readonly agent: ServerAgent;
  /** Requests of this entry in flight there. */
  inFlight: number;
  /** Requests of other entries in flight there, as the last exchange told. */
  othersInFlight: number;
  /** Work of this entry that has not begun to answer, in milliseconds of the server. */
  pendingMs: number;
  /** The same of other entries, as the last exchange told. */
  othersPendingMs: number;
  /** When anything was last heard of it by this entry, on the monotonic clock. */
  lastReceivedAt: number;
  /** Failed sends since the last answer. */
  failures: number;
  /** Until when other servers are preferred, on the monotonic clock. */
  ejectedUntil: number;
  /** Answer times against those of its service; 1 is usual. */
  slowness: number;
  /** Prompt parts that it was sent, with when, the latest last. */
  readonly cachedSegments: Map<string, number>;
}

/**
 * The backend servers that an entry may send to, with what it has seen of them.
 *
 * @public
 */
export class ServerTable {
  private readonly servers = new Map<string, KnownServer>();

  // Commands.

  /** Takes what a control instance tells. */
  update({servers = [], dropped = []}: FleetUpdate): void {
    for (const listing of servers) this.takeListing(listing);
    for (const id of dropped) this.drop(id);
  }

  /** Takes the load that the other entries have placed. */
  setOthersLoad(load: LoadTable): void {
    for (const [id, server] of this.servers) {
      const [inFlight, pendingMs] = load[id] ?? [0, 0];
      server.othersInFlight = inFlight;
      server.othersPendingMs = pendingMs;
    }
  }

  /** Notes that a server has answered, and how its time compares with the usual. */
  recordAnswer(server: KnownServer, timeRatio: number): void {
    server.failures = 0;
    server.lastReceivedAt = performance.now();
    server.ejectedUntil = 0;
    const bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, timeRatio));
    server.slowness += (bounded - server.slowness) * SLOWNESS_GAIN;
  }

  /** Notes that a server has failed; after some in a row it is left alone for a while. */
  recordFailure(server: KnownServer, reason: string): void {
    server.failures += 1;
    if (server.failures < FAILURES_TO_EJECT) return;
    const doublings = Math.min(10, server.failures - FAILURES_TO_EJECT);
    const pauseMs = Math.min(MAX_EJECTION_MS, EJECTION_MS * 2 ** doublings);
    server.ejectedUntil = performance.now() + pauseMs;
    writeDecision('server_ejected', {
      server: server.listing.registration.id,
      failures: server.failures,
      pause_ms: pauseMs,
      reason,
    });
  }

  /** Notes that another server has taken this one's address: this start of it is gone. */
  markReplaced({listing}: KnownServer): void {
    this.markGone(listing);
  }

  /** Notes that a server has read parts of a prompt for a model. */
  recordSegments(
    {cachedSegments: parts}: KnownServer,
    keys: readonly string[],
  ): void {
    const now = performance.now();
    for (const key of keys) {
      parts.delete(key);
      parts.set(key, now);
    }
    while (parts.size > MAX_PARTS) {
      const [oldest] = parts.keys();
      if (oldest === undefined) return;
      parts.delete(oldest);
    }
  }

  // Queries.

  /** Whether a server was heard lately, on any connection. */
  isActive({lastReceivedAt: heardAt}: KnownServer): boolean {
    return performance.now() - heardAt < HEARD_MS;
  }

  /** Lists the servers of a service that take new work. */
  listReady(service: string): KnownServer[] {
    return [...this.servers.values()].filter(
      ({listing: {registration}}) =>
        registration.service === service && registration.state === 'ready',
    );
  }

  /** Whether this very start of a server still takes new work. */
  isReady(server: KnownServer): boolean {
    const {id, state} = server.listing.registration;
    return this.servers.get(id) === server && state === 'ready';
  }

  /** Whether any server is known at all. */
  get isEmpty(): boolean {
    return this.servers.size === 0;
  }

  /** Own load by server id. */
  listLoad(): LoadTable {
    const load: Record<string, ServerLoad> = {};
    for (const [id, {inFlight, pendingMs}] of this.servers) {
      if (inFlight > 0) load[id] = [inFlight, Math.round(pendingMs)];
    }
    return load;
  }

  private markGone({registration, isSilent}: ServerListing): void {
    const known = this.servers.get(registration.id);
    if (known?.listing.registration !== registration) return;
    known.listing = {registration: {...registration, state: 'gone'}, isSilent};
    this.logChange(known.listing.registration);
  }

  /** An address belongs to the server that started there last. */
  private dropPredecessor({
    address,
    startedAtMs,
    id,
  }: ServerRegistration): void {
    for (const {listing} of this.servers.values()) {
      const other = listing.registration;
      const isPredecessor =
        other.address === address &&
        other.id !== id &&
        other.state !== 'gone' &&
        other.startedAtMs < startedAtMs;
      if (isPredecessor) this.markGone(listing);
    }
  }

  private takeListing(listing: ServerListing): void {
    const {registration} = listing;
    this.dropPredecessor(registration);
    const known = this.servers.get(registration.id);
    if (!known) {
      this.servers.set(registration.id, createServer(listing));
      this.logChange(registration);
      return;
    }
    const old = known.listing.registration;
    if (isNewerRegistration(registration, old)) {
      this.replaceListing(known, listing);
    } else if (registration.sequence === old.sequence) {
      known.listing = listing;
    }
  }

  private replaceListing(known: KnownServer, listing: ServerListing): void {
    const {registration} = listing;
    const old = known.listing.registration;
    const isRestarted =
      registration.startedAtMs !== old.startedAtMs ||
      registration.address !== old.address;
    if (isRestarted) {
      known.agent.destroy();
      this.servers.set(registration.id, createServer(listing));
    } else {
      known.listing = listing;
    }
    if (registration.state !== old.state) this.logChange(registration);
  }

  private logChange({id, state, sequence, service}: ServerRegistration): void {
    writeDecision('server_listed', {server: id, service, state, sequence});
  }

  private drop(id: string): void {
    const known = this.servers.get(id);
    if (!known) return;
    known.agent.destroy();
    this.servers.delete(id);
    writeDecision('server_dropped', {server: id});
  }
}

function createServer(listing: ServerListing): KnownServer {
  return {
    listing,
    agent: new ServerAgent(MAX_IDLE_CONNECTIONS),
    inFlight: 0,
    othersInFlight: 0,
    pendingMs: 0,
    othersPendingMs: 0,
    lastReceivedAt: -Infinity,
    failures: 0,
    ejectedUntil: 0,
    slowness: 1,
    cachedSegments: new Map(),
  };
}
