import {
  Configuration,
  ConfiguredVersion,
  SycamoreheadError,
  isPermitted,
  isServing,
} from '@sycamorehead/schema';
import type {RoutedRequest} from './routingTypes.js';

/**
 * Lists the serving versions of the requested model that the request's customer may use.
 *
 * @throws SycamoreheadError `unknown_model` or `not_permitted`.
 * @example
 * ```ts
 * listPermittedVersions(request, configuration).map(formatVersionKey);
 * ```
 * @public
 */
export function listPermittedVersions(
  request: Pick<RoutedRequest, 'customer' | 'model'>,
  configuration: Configuration,
): ConfiguredVersion[] {
  const named = Object.values(configuration.versions).filter(
    version => request.model === 'auto' || version.model === request.model,
  );
  if (named.length === 0) {
    throw new SycamoreheadError(
      'unknown_model',
      `model ${request.model} does not exist`,
      {field: 'model'},
    );
  }
  const permitted = named.filter(version =>
    isPermitted(request.customer, version),
  );
  if (permitted.length === 0) {
    throw new SycamoreheadError(
      'not_permitted',
      `customer ${request.customer.customer} may not use model ${request.model}`,
      {field: 'model'},
    );
  }
  return permitted.filter(isServing);
}
