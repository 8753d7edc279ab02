import {
  Configuration,
  ConfiguredVersion,
  SycamoreheadError,
  formatVersionKey,
  isPermitted,
  isServing,
} from '@sycamorehead/schema';
import type {RoutedRequest, VersionPolicy} from './routingTypes.js';

/**
 * Lists the serving versions that a request's customer may use, of the model that it names.
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

/** Always the permitted version of the highest quality prior: the baseline. */
const fixedBest: VersionPolicy = {
  choose(request, configuration) {
    const versions = listPermittedVersions(request, configuration);
    const ranked = versions.sort(
      (left, right) => right.qualityPrior - left.qualityPrior,
    );
    const best = ranked[0];
    if (!best) {
      throw new SycamoreheadError(
        'no_backend_server',
        `no permitted version of model ${request.model} is in service`,
      );
    }
    return {
      choice: {model: best.model, version: best.version},
      candidates: ranked.map(version => ({
        name: formatVersionKey(version),
        score: 1 - version.qualityPrior,
      })),
      reason: 'highest quality prior',
    };
  },
};

/** Version policies by name. @public */
export const VERSION_POLICIES = {
  fixed_best: () => fixedBest,
} as const satisfies Record<string, () => VersionPolicy>;

/** Name of a version policy. @public */
export type VersionPolicyName = keyof typeof VERSION_POLICIES;
