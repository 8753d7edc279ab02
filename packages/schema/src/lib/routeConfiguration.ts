/**
 * The configuration of routes: which paths lead to which services, which customers may use them,
 * and the limits on callers. The configuration with the highest version is in force.
 *
 * @public
 */
import {SycamoreheadError} from './SycamoreheadError.js';

/** Determines whether a request of a route may run more than once. @public */
export type RouteKind = 'safe' | 'unsafe' | 'streaming';

/** A service with its share of a route's requests. @public */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A route from a host and a path prefix to services. @public */
export interface RouteDeclaration {
  readonly name: string;
  /** Host in lower case, without a port. */
  readonly host: string;
  /** Starts and ends with a slash. The longest matching prefix of a host wins. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly services: readonly WeightedService[];
  /** Maximum time until the final response, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective of a response, or of the first event of a stream, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Objective for the longest pause between two events of a stream, in milliseconds. */
  readonly longestPauseMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Maximum number of backend servers on which one request may run. */
  readonly maxAttempts: number;
  /** Whether requests are accepted without a key. */
  readonly isPublic: boolean;
  /** Whether an interrupted stream may be resumed on another backend server. */
  readonly isResumable: boolean;
  /**
   * Models from which the router chooses, smallest first; empty if the caller chooses the model.
   */
  readonly models: readonly string[];
}

/** A model that engines of a service run. @public */
export interface EngineModel {
  readonly name: string;
  /** Price of a thousand generated tokens. */
  readonly cost: number;
}

/** The properties that all engines of a service share. @public */
export interface EngineDeclaration {
  /** Number of requests that run concurrently. */
  readonly slots: number;
  /** Number of prompt and answer tokens that fit in memory. */
  readonly tokenCapacity: number;
  readonly models: readonly EngineModel[];
}

/** What the servers of a service bear while they are cold. @public */
export interface ServerWarmup {
  /** Time for which a server that has just started is cold, in milliseconds. */
  readonly durationMs: number;
  /** Requests a second that a cold server bears from all entries together. */
  readonly perSecond: number;
}

/** A service that routes can refer to. @public */
export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Maximum number of connections that one backend server accepts from all callers together. */
  readonly maxConnections: number;
  readonly engine: EngineDeclaration | undefined;
  /** Absent if cold servers get requests like others. */
  readonly warmup?: ServerWarmup;
}

/** Limits on the size and duration of a caller's request. @public */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The limits before the first configuration, and for configurations that omit them. @public */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** A customer with the keys that identify it. @public */
export interface CustomerKeys {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority. */
  readonly priority: number | undefined;
}

/** A complete route configuration. @public */
export interface RouteConfiguration {
  readonly version: number;
  readonly routes: readonly RouteDeclaration[];
  readonly services: readonly RoutedService[];
  readonly limits: CallerLimits;
  /** Absent if requests carry no keys. */
  readonly customers: readonly CustomerKeys[] | undefined;
}

function refuse(message: string): never {
  throw new SycamoreheadError('note_invalid', message);
}

/**
 * Checks that the routes, services and customers of a configuration are consistent.
 *
 * @throws SycamoreheadError `note_invalid`.
 * @example
 * ```ts
 * checkRouteConfiguration(configuration); // throws if two routes share host and prefix
 * ```
 * @public
 */
export function checkRouteConfiguration(
  configuration: RouteConfiguration,
): void {
  const services = new Set(configuration.services.map(({name}) => name));
  const prefixes = new Set<string>();
  for (const route of configuration.routes) {
    checkRoute(route, services);
    const prefix = `${route.host}${route.pathPrefix}`;
    if (prefixes.has(prefix)) refuse(`${route.name}: ${prefix} is taken`);
    prefixes.add(prefix);
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
  const customerByKey = new Map<string, string>();
  for (const {name, keys} of customers) {
    for (const key of keys) {
      const otherName = customerByKey.get(key);
      if (otherName !== undefined && otherName !== name) {
        refuse(`${name} and ${otherName} share a key`);
      }
      customerByKey.set(key, name);
    }
  }
}
