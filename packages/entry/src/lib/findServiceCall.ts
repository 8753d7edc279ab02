import {
  Configuration,
  ServiceCall,
  SycamoreheadError,
} from '@sycamorehead/schema';

/** A call as requested by a caller. @internal */
export interface RequestedCall {
  readonly method: string;
  readonly service: string;
  readonly path: string;
}

/** Splits the path of a plain service's call into the service and the path below it. @internal */
export function splitServicePath(
  pathname: string,
): [service: string, path: string] {
  const match = /^\/services\/([^/]+)(\/.*)?$/.exec(pathname);
  return [match?.[1] ?? '', match?.[2] ?? '/'];
}

/**
 * Finds the declaration of a call in a configuration, and checks that the customer may make it.
 *
 * @throws SycamoreheadError `unknown_service`, `not_permitted` or `not_found`.
 * @internal
 */
export function findServiceCall(
  configuration: Configuration,
  customer: string,
  {method, service, path}: RequestedCall,
): ServiceCall {
  const {services, customers} = configuration;
  const declared = Object.hasOwn(services, service)
    ? services[service]
    : undefined;
  if (!declared) {
    throw new SycamoreheadError(
      'unknown_service',
      `service ${service} does not exist`,
    );
  }
  if (!customers[customer]?.services.includes(service)) {
    throw new SycamoreheadError(
      'not_permitted',
      `customer ${customer} may not use service ${service}`,
    );
  }
  const call = declared.calls.find(
    candidate => candidate.method === method && isBelow(path, candidate.path),
  );
  if (call) return call;
  throw new SycamoreheadError(
    'not_found',
    `service ${service} has no call ${method} ${path}`,
  );
}

/** Compares whole segments only: `/orders/7` is below `/orders`, but `/orders-archive` is not. */
function isBelow(path: string, prefix: string): boolean {
  const segmentPrefix = prefix.endsWith('/') ? prefix : `${prefix}/`;
  return path === prefix || path.startsWith(segmentPrefix);
}
