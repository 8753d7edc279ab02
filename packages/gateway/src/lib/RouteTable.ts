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

/**
 * A configuration indexed for look-ups by host, path, key and service.
 *
 * @public
 */
export class RouteTable {
  readonly version: number;
  readonly hasKeys: boolean;
  private readonly routesByHost = new Map<string, RouteDeclaration[]>();
  private readonly holders = new Map<string, KeyHolder>();
  private readonly services = new Map<string, RoutedService>();

  constructor(configuration: RouteConfiguration) {
    this.version = configuration.version;
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
    return this.routesByHost
      .get(host)
      ?.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }

  findHolder(key: string): KeyHolder | undefined {
    return this.holders.get(key);
  }

  findService(name: string): RoutedService | undefined {
    return this.services.get(name);
  }

  private addRoute(route: RouteDeclaration): void {
    const routes = this.routesByHost.get(route.host) ?? [];
    routes.push(route);
    routes.sort((left, right) => {
      return right.pathPrefix.length - left.pathPrefix.length;
    });
    this.routesByHost.set(route.host, routes);
  }
}
