/**
 * The whole configuration of declared routes: which paths lead to which services, who may use
 * them and within which limits. The highest version is in force.
 *
 * @public
 */
import {SycamoreheadError} from './SycamoreheadError.js';

/** How often a request of a route may run. @public */
export type RouteKind = 'safe' | 'unsafe' | 'streaming';

/** A service with its share of a route's requests. @public */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** One route. @public */
export interface RouteDeclaration {
  readonly name: string;
  /** Host in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash; the longest match of a host wins. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly services: readonly WeightedService[];
  /** Longest time until the final answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer, or a stream's first event, is on time, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Longest pause between events of a stream that is still on time, in milliseconds. */
  readonly longestPauseMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Most backend servers on which one request may run. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may go on at another backend server. */
  readonly isResumable: boolean;
  /** Model names, smallest first, of which the router names one; empty where the caller does. */
  readonly models: readonly string[];
}

/** A model that engines of a service run. @public */
export interface EngineModel {
  readonly name: string;
  /** Price of a thousand generated tokens. */
  readonly cost: number;
}

/** What the engines of a service have in common. @public */
export interface EngineDeclaration {
  /** Requests that run at once. */
  readonly slots: number;
  /** Tokens of prompts and answers that fit in memory. */
  readonly tokenCapacity: number;
  readonly models: readonly EngineModel[];
}

/** One service. @public */
export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one backend server accepts from all callers together. */
  readonly maxConnections: number;
  readonly engine: EngineDeclaration | undefined;
}

/** What a caller may send, and how slowly. @public */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Limits before the first configuration, and where a configuration leaves them out. @public */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** A customer with the keys that name it. @public */
export interface CustomerKeys {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the route's priority. */
  readonly priority: number | undefined;
}

/** A whole configuration. @public */
export interface RouteConfiguration {
  readonly version: number;
  readonly routes: readonly RouteDeclaration[];
  readonly services: readonly RoutedService[];
  readonly limits: CallerLimits;
  /** Absent where requests carry no keys. */
  readonly customers: readonly CustomerKeys[] | undefined;
}

function refuse(message: string): never {
  throw new SycamoreheadError('note_invalid', message);
}

/**
 * Checks what the parts of a configuration say of each other.
 *
 * @throws SycamoreheadError `note_invalid`.
 * @example
 * ```ts
 * checkRouteConfiguration(configuration); // throws where two routes share host and prefix
 * ```
 * @public
 */
export function checkRouteConfiguration(
  configuration: RouteConfiguration,
): void {
  const services = new Set(configuration.services.map(({name}) => name));
  const places = new Set<string>();
  for (const route of configuration.routes) {
    checkRoute(route, services);
    const place = `${route.host}${route.pathPrefix}`;
    if (places.has(place)) refuse(`${route.name}: ${place} is taken`);
    places.add(place);
  }
  checkKeys(configuration.customers ?? []);
}

function checkRoute(
  route: RouteDeclaration,
  services: ReadonlySet<string>,
): void {
  const {name, timeoutMs, pathPrefix} = route;
  if (!(timeoutMs > 0)) refuse(`${name}: expected a time limit above 0 ms`);
  if (!/^\/(.*\/)?$/.test(pathPrefix)) {
    refuse(`${name}: expected a path prefix between slashes`);
  }
  let total = 0;
  for (const {service, weight} of route.services) {
    if (!services.has(service)) refuse(`${name}: unknown service ${service}`);
    if (!(weight >= 0)) refuse(`${name}: expected weights of 0 or more`);
    total += weight;
  }
  if (!(total > 0)) refuse(`${name}: the weights add up to 0`);
}

function checkKeys(customers: readonly CustomerKeys[]): void {
  const holders = new Map<string, string>();
  for (const {name, keys} of customers) {
    for (const key of keys) {
      const holder = holders.get(key);
      if (holder !== undefined && holder !== name) {
        refuse(`${name} and ${holder} share a key`);
      }
      holders.set(key, name);
    }
  }
}
