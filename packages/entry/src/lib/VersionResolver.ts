import {
  Configuration,
  ConfiguredVersion,
  ControlApi,
  SycamoreheadError,
  VersionRef,
  formatVersionKey,
  isPermitted,
  isServing,
} from '@sycamorehead/schema';
import type {Decision, RoutedRequest, Router} from '@sycamorehead/routing';
import type {ConfigurationManager} from './ConfigurationManager.js';
import {SessionPinCache} from './SessionPinCache.js';

/** Dependencies of a VersionResolver. @public */
export interface VersionResolverDependencies {
  readonly router: Router;
  readonly configuration: ConfigurationManager;
  readonly control: ControlApi;
}

/** The version that a request runs on. @public */
export interface ResolvedVersion {
  readonly version: ConfiguredVersion;
  readonly revision: number;
  /** The session's earlier version, if the pin to it has ended. */
  readonly endedPin?: VersionRef;
  /** The router's decision; absent if the session's pin was cached. */
  readonly decision?: Decision<VersionRef>;
}

/**
 * Resolves the version of a request: the version to which its session is pinned, else the router's
 * choice. The pin that control replicates is authoritative. A pin cached by this entry is used only
 * under the revision at which it was confirmed.
 *
 * @public
 */
export class VersionResolver {
  private readonly pinCache = new SessionPinCache();

  constructor(private readonly dependencies: VersionResolverDependencies) {}

  /**
   * Resolves a request's version and checks that it may be dispatched.
   *
   * @throws SycamoreheadError `unknown_model`, `not_permitted`, `version_withdrawn`,
   * `no_backend_server`, `context_too_long`, `control_unavailable`.
   */
  async resolve(routed: RoutedRequest): Promise<ResolvedVersion> {
    const pin = await this.resolveRef(routed);
    const configuration = this.dependencies.configuration.get();
    const version = ensureDispatchable(configuration, routed, pin.ref);
    checkContext(routed, version);
    const {endedPin, decision} = pin;
    return {version, revision: configuration.revision, endedPin, decision};
  }

  private async resolveRef(routed: RoutedRequest): Promise<{
    ref: VersionRef;
    endedPin?: VersionRef;
    decision?: Decision<VersionRef>;
  }> {
    const {router, configuration, control} = this.dependencies;
    const current = configuration.get();
    // Each named model has a separate pin, so that a session may use several models.
    const session = routed.session && `${routed.model}\n${routed.session}`;
    const {customer} = routed.customer;
    if (!session) {
      const decision = router.chooseVersion(routed, current);
      return {ref: decision.choice, decision};
    }
    const key = `${customer}\n${session}`;
    const cachedVersion = this.pinCache.get(key, current.revision);
    if (cachedVersion) return {ref: cachedVersion};
    const decision = router.chooseVersion(routed, current);
    const {choice} = decision;
    try {
      const {model, version, endedPin} = await control.pinSession({
        session,
        customer,
        version: choice,
      });
      this.pinCache.set(key, {model, version}, current.revision);
      return {ref: {model, version}, endedPin, decision};
    } catch (error) {
      throw new SycamoreheadError(
        'control_unavailable',
        'the version of the session cannot be confirmed',
        {ran: 'no', cause: error},
      );
    }
  }
}

/**
 * Checks immediately before a dispatch that a version is in service and permitted.
 *
 * @throws SycamoreheadError `version_withdrawn` or `not_permitted`.
 * @example
 * ```ts
 * ensureDispatchable(configuration, routed, {model: 'm', version: 'v1'});
 * ```
 * @public
 */
export function ensureDispatchable(
  configuration: Configuration,
  routed: RoutedRequest,
  ref: VersionRef,
): ConfiguredVersion {
  const key = formatVersionKey(ref);
  const version = configuration.versions[key];
  if (!version || !isServing(version)) {
    throw new SycamoreheadError(
      'version_withdrawn',
      `version ${key} is not in service`,
    );
  }
  const customer = configuration.customers[routed.customer.customer];
  if (!customer || !isPermitted(customer, ref)) {
    throw new SycamoreheadError(
      'not_permitted',
      `version ${key} is not permitted`,
    );
  }
  return version;
}

function checkContext(routed: RoutedRequest, version: ConfiguredVersion): void {
  if (routed.promptTokens <= version.contextTokens) return;
  throw new SycamoreheadError(
    'context_too_long',
    `messages: expected at most ${version.contextTokens} tokens, found about ${routed.promptTokens}`,
    {field: 'messages'},
  );
}
