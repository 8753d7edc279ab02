import {ServerListing, ServerLoad, buildServerLoad} from '@sycamorehead/fleet';
import {
  ServerMemory,
  ServerPace,
  ServerSlowness,
  ServiceSlowness,
  updateTypicalPace,
} from '@sycamorehead/routing';
import type {ServerRegistration} from '@sycamorehead/schema';
import {ServerAgent} from './ServerAgent.js';

/** Maximum number of idle connections that are retained to one backend server. */
const MAX_IDLE_CONNECTIONS = 24;

/** The state of one backend server as this entry knows it. @public */
export interface KnownServer {
  listing: ServerListing;
  readonly agent: ServerAgent;
  /** Requests of this entry in flight there. */
  inFlight: number;
  /** Requests of other entries in flight there, as of the last exchange. */
  othersInFlight: number;
  /** Work of this entry whose answer has not begun, in milliseconds of server time. */
  pendingMs: number;
  /** Work of other entries whose answer has not begun, in milliseconds, as of the last exchange. */
  othersPendingMs: number;
  /** When this entry last received anything from it, on the monotonic clock. */
  lastReceivedAt: number;
  /** When an exchange last said that another entry receives from it, on the monotonic clock. */
  othersReceivedAt: number;
  /** Failed sends since the last answer. */
  failures: number;
  /** The time until which other servers are preferred, on the monotonic clock. */
  ejectedUntil: number;
  /** Its answer times to this entry relative to the typical time. */
  readonly slowness: ServerSlowness;
  /** Its answer times to all entries relative to those of its service, for engines. */
  readonly pace: ServerPace;
  /** The time until which it is slow because it has just started, on the monotonic clock; 0 if it is not. */
  slowUntil: number;
  /** The time until which it returns gradually after an evacuation, on the monotonic clock. */
  returningUntil: number;
  /** What its running requests need, and what it is believed to keep of prompts. */
  readonly memory: ServerMemory;
}

/**
 * Creates the state of a server that has just been listed.
 *
 * @example
 * ```ts
 * createServer(listing, new ServiceSlowness()).inFlight; // 0
 * ```
 * @internal
 */
export function createServer(
  listing: ServerListing,
  service: ServiceSlowness,
): KnownServer {
  return {
    listing,
    agent: new ServerAgent(MAX_IDLE_CONNECTIONS),
    inFlight: 0,
    othersInFlight: 0,
    pendingMs: 0,
    othersPendingMs: 0,
    lastReceivedAt: -Infinity,
    othersReceivedAt: -Infinity,
    failures: 0,
    ejectedUntil: 0,
    slowness: new ServerSlowness(service),
    pace: new ServerPace(),
    slowUntil: computeSlowUntil(listing.registration),
    returningUntil: 0,
    memory: new ServerMemory(computeAgeMs(listing.registration)),
  };
}

/**
 * Computes until when a server is slow because it has just started, on the monotonic clock; 0 if it is not.
 *
 * @example
 * ```ts
 * computeSlowUntil({...registration, slowStartMs: 0}); // 0
 * ```
 * @internal
 */
export function computeSlowUntil({
  slowStartMs = 0,
}: ServerRegistration): number {
  return slowStartMs > 0 ? performance.now() + slowStartMs : 0;
}

/** Computes the time since a server started; 0 if the clocks disagree. */
function computeAgeMs({startedAtMs}: ServerRegistration): number {
  return Math.max(0, Date.now() - startedAtMs);
}

/**
 * Sets the load that the other entries have placed on a server. A brief report leaves the numbers that change
 * slowly as they are.
 *
 * @example
 * ```ts
 * setOthersLoad(server, [3, 420, 1, 12_000], {now, isBrief: true});
 * ```
 * @internal
 */
export function setOthersLoad(
  server: KnownServer,
  numbers: ServerLoad,
  {now, isBrief}: {readonly now: number; readonly isBrief: boolean},
): void {
  const [inFlight, pendingMs, active = 0, heldTokens = 0, ...rest] = numbers;
  if (active > 0) server.othersReceivedAt = now;
  server.othersInFlight = inFlight;
  server.othersPendingMs = pendingMs;
  server.memory.setOthersHeld(heldTokens, now);
  if (isBrief) return;
  const [readTokens = 0, answers = 0, logRatios = 0] = rest;
  server.memory.kept.setOthersRead(readTokens, now);
  server.pace.setOthers(answers, logRatios, now);
}

/** How the load on a server is described. @internal */
export interface LoadDescription {
  /** The time, on the monotonic clock. */
  readonly now: number;
  /** Time of the last bytes from which a server counts as active. */
  readonly oldest: number;
  /** Whether only what changes within milliseconds is told. */
  readonly isBrief: boolean;
}

/**
 * Describes this entry's load on a server to the others; undefined if there is nothing to tell.
 *
 * @example
 * ```ts
 * describeLoad(server, {now, oldest: now - 400, isBrief: true}); // [2, 350, 1, 9_000]
 * ```
 * @internal
 */
export function describeLoad(
  server: KnownServer,
  {now, oldest, isBrief}: LoadDescription,
): ServerLoad | undefined {
  const {inFlight, pendingMs, lastReceivedAt, memory, pace} = server;
  const active = lastReceivedAt > oldest ? 1 : 0;
  const isIdle = inFlight === 0 && active === 0;
  const pending = Math.round(pendingMs);
  if (isBrief) {
    return isIdle ? undefined : [inFlight, pending, active, memory.ownTokens];
  }
  const {answers, logRatios} = pace.describeOwn(now);
  if (isIdle && answers === 0) return undefined;
  return buildServerLoad([
    inFlight,
    pending,
    active,
    memory.ownTokens,
    memory.kept.describeRead(now),
    answers,
    logRatios,
  ]);
}

/**
 * Relates the paces of the servers of each service to each other.
 *
 * @example
 * ```ts
 * updatePaces(table.listReady('drafts'));
 * ```
 * @internal
 */
export function updatePaces(servers: Iterable<KnownServer>): void {
  const paces = new Map<string, ServerPace[]>();
  for (const {listing, pace} of servers) {
    const {service} = listing.registration;
    const known = paces.get(service);
    if (known) known.push(pace);
    else paces.set(service, [pace]);
  }
  for (const group of paces.values()) updateTypicalPace(group);
}
