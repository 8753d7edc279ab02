import {createHash} from 'node:crypto';
import {
  Configuration,
  ConfiguredVersion,
  formatVersionKey,
} from '@sycamorehead/schema';
import type {RoutedRequest} from './routingTypes.js';

/** A version that is offered to one request. @public */
export interface OfferedVersion {
  readonly version: ConfiguredVersion;
  /** The version that this one replaces, if that is in service. */
  readonly replaces?: ConfiguredVersion;
}

type RolloutRequest = Pick<RoutedRequest, 'customer' | 'session' | 'prefixKey'>;

/**
 * Hashes a text to a number that is uniformly distributed on [0, 1).
 *
 * @example
 * ```ts
 * sampleByHash('a') === sampleByHash('a'); // true
 * ```
 * @public
 */
export function sampleByHash(text: string): number {
  return createHash('sha256').update(text).digest().readUInt32BE(0) / 2 ** 32;
}

/**
 * Selects the versions that are offered to a request. A version in roll-out is offered to its
 * step's share of sessions, instead of the version that it replaces. A released version is
 * offered instead of those that it has replaced.
 *
 * The assignment is sticky: a session, or a conversation without one, hashes to the same number
 * at every entry, and a larger share includes all sessions of a smaller one.
 *
 * @example
 * ```ts
 * selectRolloutVersions(permitted, request, configuration).map(({version}) => version.version);
 * ```
 * @public
 */
export function selectRolloutVersions(
  serving: readonly ConfiguredVersion[],
  request: RolloutRequest,
  configuration: Configuration,
): OfferedVersion[] {
  const included = serving.filter(version => isIncluded(version, request));
  const replaced = new Set(
    included.flatMap(version => listReplaced(version, configuration)),
  );
  const offered = included.filter(
    version => !replaced.has(formatVersionKey(version)),
  );
  // If nothing is left because the replaced version is out of service, the new one serves all
  // requests.
  const selected = offered.length > 0 ? offered : serving;
  return selected.map(version => {
    const keys = listReplaced(version, configuration);
    const replaces = serving.find(other =>
      keys.includes(formatVersionKey(other)),
    );
    return {version, replaces};
  });
}

function isIncluded(
  version: ConfiguredVersion,
  request: RolloutRequest,
): boolean {
  if (version.state !== 'rolling_out') return true;
  const share = version.rollout?.steps[version.step]?.share ?? 0;
  const conversation = request.session ?? request.prefixKey;
  const text = [
    formatVersionKey(version),
    request.customer.customer,
    conversation,
  ].join('\n');
  return sampleByHash(text) < share;
}

/** Lists the keys of the versions that a version has replaced, directly or indirectly. */
function listReplaced(
  version: ConfiguredVersion,
  configuration: Configuration,
): string[] {
  const keys: string[] = [];
  let next: ConfiguredVersion | undefined = version;
  while (next?.rollout) {
    const key: string = formatVersionKey({
      model: next.model,
      version: next.rollout.replaces,
    });
    if (keys.includes(key) || key === formatVersionKey(version)) return keys;
    keys.push(key);
    next = configuration.versions[key];
  }
  return keys;
}
