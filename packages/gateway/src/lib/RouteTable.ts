import type {
  RouteConfiguration,
  RouteDeclaration,
  RoutedService,
} from '@sycamorehead/schema';

/** The customer to whom a key belongs, and its priority. @public */
export interface KeyHolder {
  readonly customer: string;
  readonly priority: number | undefined;
}

/** The routes of one host. */
class HostRoutes {
  private readonly byPrefix = new Map<string, RouteDeclaration>();
  /** The distinct lengths of the prefixes, longest first; computed by the first look-up. */
  private lengths: readonly number[] | undefined;

  add(route: RouteDeclaration): void {
    this.lengths = undefined;
    if (this.byPrefix.has(route.pathPrefix)) return;
    this.byPrefix.set(route.pathPrefix, route);
  }

  find(path: string): RouteDeclaration | undefined {
    this.lengths ??= this.listLengths();
    for (const length of this.lengths) {
      if (length > path.length) continue;
      const route = this.byPrefix.get(path.slice(0, length));
      if (route) return route;
    }
    return undefined;
  }

  private listLengths(): number[] {
    const lengths = new Set<number>();
    for (const prefix of this.byPrefix.keys()) lengths.add(prefix.length);
    return [...lengths].sort((left, right) => right - left);
  }
}

/**
 * A configuration indexed for look-ups by host, path, key and service.
 *
 * @public
 */
export class RouteTable {
  readonly version: number;
  readonly hasKeys: boolean;
  readonly maxBodyBytes: number;
  private readonly routesByHost = new Map<string, HostRoutes>();
  private readonly holders = new Map<string, KeyHolder>();
  private readonly services = new Map<string, RoutedService>();

  constructor(configuration: RouteConfiguration) {
    this.version = configuration.version;
    this.maxBodyBytes = configuration.limits.maxBodyBytes;
    this.hasKeys = configuration.customers !== undefined;
    for (const route of configuration.routes) this.addRoute(route);
    for (const service of configuration.services) {
      this.services.set(service.name, service);
    }
    for (const {name, keys, priority} of configuration.customers ?? []) {
      for (const key of keys) this.holders.set(key, {customer: name, priority});
    }
  }

  /** Finds the route of a host whose prefix is the longest that matches the path. */
  findRoute(host: string, path: string): RouteDeclaration | undefined {
    return this.routesByHost.get(host)?.find(path);
  }

  findHolder(key: string): KeyHolder | undefined {
    return this.holders.get(key);
  }

  /** Finds any key of a customer. */
  findKey(customer: string): string | undefined {
    for (const [key, holder] of this.holders) {
      if (holder.customer === customer) return key;
    }
    return undefined;
  }

  findService(name: string): RoutedService | undefined {
    return this.services.get(name);
  }

  private addRoute(route: RouteDeclaration): void {
    const known = this.routesByHost.get(route.host);
    const routes = known ?? new HostRoutes();
    routes.add(route);
    if (!known) this.routesByHost.set(route.host, routes);
  }
}
