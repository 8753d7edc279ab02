import {createHash} from 'node:crypto';
import {
  Configuration,
  ConfiguredVersion,
  formatVersionKey,
} from '@sycamorehead/schema';
import type {RoutedRequest} from './routingTypes.js';

/** A version on offer to one request. @public */
export interface OfferedVersion {
  readonly version: ConfiguredVersion;
  /** The version in whose place this one is offered, where that is in service. */
  readonly replaces?: ConfiguredVersion;
}

type RolloutRequest = Pick<RoutedRequest, 'customer' | 'session' | 'prefixKey'>;

/**
 * Draws a number from the uniform distribution on [0, 1) that depends on the text alone.
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
 * Selects the versions that roll-outs offer to a request: a version in roll-out to its step's
 * share of sessions, in place of the version that it replaces; a released version in place of
 * those that it has replaced.
 *
 * The share is sticky: a session, or a conversation without one, hashes to the same number at
 * every entry, and a greater share keeps all sessions of the smaller one.
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
  const taken = serving.filter(version => isTaken(version, request));
  const replaced = new Set(
    taken.flatMap(version => listReplaced(version, configuration)),
  );
  const offered = taken.filter(
    version => !replaced.has(formatVersionKey(version)),
  );
  // Nothing is left where the replaced version is out of service: the new one then serves all.
  const selected = offered.length > 0 ? offered : serving;
  return selected.map(version => {
    const keys = listReplaced(version, configuration);
    const replaces = serving.find(other =>
      keys.includes(formatVersionKey(other)),
    );
    return {version, replaces};
  });
}

function isTaken(version: ConfiguredVersion, request: RolloutRequest): boolean {
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

/** Lists the keys of the versions that one replaced, directly and before that. */
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
