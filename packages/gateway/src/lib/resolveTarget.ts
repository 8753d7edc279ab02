import {
  RouteDeclaration,
  RoutedService,
  SycamoreheadError,
} from '@sycamorehead/schema';
import {hashToShare} from '@sycamorehead/routing';
import type {CallerRequest} from './CallerRequest.js';
import {buildUnconfigured} from './refusals.js';
import type {RouteTable} from './RouteTable.js';

/** The target of a request according to the configuration in force. @public */
export interface RequestTarget {
  readonly route: RouteDeclaration;
  readonly service: RoutedService;
  /** Undefined if requests carry no keys. */
  readonly customer: string | undefined;
  readonly priority: number;
}

/**
 * Resolves the target of a request. It is called again before each send, so that requests that
 * waited follow a changed configuration.
 *
 * @throws SycamoreheadError `no_configuration`, `not_found`, `unauthenticated`.
 * @example
 * ```ts
 * resolveTarget(routes, request).service.name;
 * ```
 * @public
 */
export function resolveTarget(
  routes: RouteTable | undefined,
  request: CallerRequest,
): RequestTarget {
  if (!routes) throw buildUnconfigured();
  const route = routes.findRoute(request.host, request.path);
  if (!route) {
    throw new SycamoreheadError('not_found', 'no route has this path');
  }
  const holder =
    request.key === undefined ? undefined : routes.findHolder(request.key);
  if (routes.hasKeys && !route.isPublic && !holder) {
    throw new SycamoreheadError('unauthenticated', 'unknown key');
  }
  const service = routes.findService(pickService(route, request.id));
  if (!service) throw new SycamoreheadError('unknown_service', route.name);
  return {
    route,
    service,
    customer: holder?.customer,
    priority: holder?.priority ?? route.priority,
  };
}

/**
 * Finds the target of a request; undefined if the configuration in force does not permit the
 * request.
 *
 * @example
 * ```ts
 * findTarget(routes, request)?.service.name;
 * ```
 * @public
 */
export function findTarget(
  routes: RouteTable | undefined,
  request: CallerRequest,
): RequestTarget | undefined {
  try {
    return resolveTarget(routes, request);
  } catch (error) {
    if (error instanceof SycamoreheadError) return undefined;
    throw error;
  }
}

/**
 * Picks a service by weight and by a hash of the request id, so that one request always gets the
 * same service.
 */
function pickService({services}: RouteDeclaration, id: string): string {
  const total = services.reduce((sum, {weight}) => sum + weight, 0);
  let left = hashToShare(id) * total;
  for (const {service, weight} of services) {
    left -= weight;
    if (left < 0) return service;
  }
  return services.find(({weight}) => weight > 0)?.service ?? '';
}
