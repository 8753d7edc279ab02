import {SycamoreheadError, formatVersionKey} from '@sycamorehead/schema';
import {
  VersionPolicyContext,
  createCheapestAtTarget,
} from './cheapestAtTarget.js';
import {listPermittedVersions} from './listPermittedVersions.js';
import type {VersionPolicy} from './routingTypes.js';

/**
 * The baseline policy, which always chooses the permitted version with the highest quality prior.
 */
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
  cheapest_at_target: createCheapestAtTarget,
} as const satisfies Record<
  string,
  (context: VersionPolicyContext) => VersionPolicy
>;

/** Name of a version policy. @public */
export type VersionPolicyName = keyof typeof VERSION_POLICIES;
