import {
  Configuration,
  SycamoreheadError,
  VersionRef,
  formatVersionKey,
} from '@sycamorehead/schema';
import {listPermittedVersions} from './listPermittedVersions.js';
import type {QualityEstimate, QualityTable} from './QualityTable.js';
import type {
  Candidate,
  Decision,
  RoutedRequest,
  VersionPolicy,
} from './routingTypes.js';
import {
  OfferedVersion,
  sampleByHash,
  selectRolloutVersions,
} from './selectRolloutVersions.js';

/** Dependencies of a version policy. @public */
export interface VersionPolicyContext {
  readonly quality: QualityTable;
  /** Returns whether any ready backend server has a version. */
  readonly hasReplica: (version: VersionRef) => boolean;
  /**
   * Returns whether ratings are being received; without them, exploring a version yields no
   * information.
   */
  readonly canExplore: () => boolean;
}

/** The output tokens assumed for comparing prices if the caller sets no limit. */
const EXPECTED_OUTPUT_TOKENS = 200;
/** The highest share of a kind's requests that explore a version of uncertain quality. */
const MAX_EXPLORED_SHARE = 0.5;
/** The number of ratings after which a version that is still uncertain is explored less often. */
const EXPLORED_RATINGS = 40;
/** The highest share of requests that explore such a version from then on. */
const WELL_KNOWN_EXPLORED_SHARE = 0.05;

interface Option {
  readonly offered: OfferedVersion;
  readonly name: string;
  readonly estimate: QualityEstimate;
  readonly cost: number;
  readonly ruledOut?: string;
}

/**
 * Creates the policy that chooses the cheapest permitted version whose lower quality bound meets
 * the customer's target. It explores cheaper versions, within limits, while their quality is
 * uncertain.
 *
 * @example
 * ```ts
 * createCheapestAtTarget({quality, hasReplica, canExplore}).choose(request, configuration);
 * ```
 * @public
 */
export function createCheapestAtTarget(
  context: VersionPolicyContext,
): VersionPolicy {
  return {
    choose(request, configuration) {
      const options = listOptions(context, request, configuration);
      const usable = options
        .filter(({ruledOut}) => !ruledOut)
        .sort(
          (left, right) =>
            left.cost - right.cost ||
            right.estimate.lower - left.estimate.lower,
        );
      const target = request.customer.qualityTarget;
      const settled = pickSettled(usable, target);
      if (!settled) throw createRefusal(options, request);
      const explored = context.canExplore()
        ? pickExplored(usable, settled, request)
        : undefined;
      const reason = describeReason(settled, explored, target);
      return describeDecision(explored ?? settled, options, reason);
    },
  };
}

function listOptions(
  context: VersionPolicyContext,
  request: RoutedRequest,
  configuration: Configuration,
): Option[] {
  const serving = listPermittedVersions(request, configuration);
  const offered = selectRolloutVersions(serving, request, configuration);
  const options = offered.map(offer => buildOption(context, request, offer));
  if (options.some(({ruledOut}) => !ruledOut)) return options;
  // If no version offered by the roll-outs is usable, an active version that was replaced may be.
  const fallbacks = serving
    .filter(({state}) => state === 'active')
    .filter(version => !offered.some(one => one.version === version))
    .map(version => buildOption(context, request, {version}));
  return [...options, ...fallbacks];
}

function buildOption(
  context: VersionPolicyContext,
  request: RoutedRequest,
  offered: OfferedVersion,
): Option {
  const {version, replaces} = offered;
  const own = estimateQuality(context, request, offered);
  const replaced =
    replaces && estimateQuality(context, request, {version: replaces});
  // The roll-out's guard needs the first ratings of a kind. If it has not acted on them, requests
  // of this kind avoid the version from then on.
  const isWorseForKind =
    replaced !== undefined &&
    own.count >= EXPLORED_RATINGS &&
    own.upper < replaced.lower;
  const isReplacedUsable = replaces && context.hasReplica(replaces);
  if (isReplacedUsable && (isWorseForKind || !context.hasReplica(version))) {
    return buildOption(context, request, {version: replaces});
  }
  const isRollingOut = version.state === 'rolling_out';
  const priced = isRollingOut && replaces ? replaces : version;
  const outputTokens = request.maxTokens ?? EXPECTED_OUTPUT_TOKENS;
  return {
    offered,
    name: formatVersionKey(version),
    // The guard evaluates a version in roll-out; meanwhile the quality of the replaced version is
    // assumed.
    estimate: (isRollingOut ? replaced : undefined) ?? own,
    cost:
      request.promptTokens * priced.inputPrice +
      outputTokens * priced.outputPrice,
    ruledOut: findExclusion(context, request, offered),
  };
}

function estimateQuality(
  context: VersionPolicyContext,
  request: RoutedRequest,
  {version}: OfferedVersion,
): QualityEstimate {
  return context.quality.estimate(
    formatVersionKey(version),
    request.kind,
    version.qualityPrior,
  );
}

function findExclusion(
  context: VersionPolicyContext,
  request: RoutedRequest,
  {version}: OfferedVersion,
): string | undefined {
  if (request.promptTokens > version.contextTokens) return 'context_too_long';
  if (!context.hasReplica(version)) return 'no_replica';
  return undefined;
}

/**
 * Picks the cheapest option whose lower bound meets the target, or else the one with the highest
 * lower bound.
 */
function pickSettled(
  usable: readonly Option[],
  target: number,
): Option | undefined {
  const atTarget = usable.find(({estimate}) => estimate.lower >= target);
  if (atTarget) return atTarget;
  const [safest] = [...usable].sort(
    (left, right) => right.estimate.lower - left.estimate.lower,
  );
  return safest;
}

/**
 * Picks a cheaper option that may meet the target. Its share of the requests is limited so that
 * the expected quality of the kind stays at the target even if the quality of the option is at
 * its lower bound.
 */
function pickExplored(
  usable: readonly Option[],
  settled: Option,
  request: RoutedRequest,
): Option | undefined {
  const target = request.customer.qualityTarget;
  const candidates = usable.filter(
    ({cost, estimate}) => cost < settled.cost && estimate.upper >= target,
  );
  if (candidates.length === 0) return undefined;
  const draw = sampleByHash(`pick\n${request.requestId}`);
  const option = candidates[Math.floor(draw * candidates.length)];
  if (!option) return undefined;
  const share = computeExploredShare(option, settled, target);
  const isExplored = sampleByHash(`try\n${request.requestId}`) < share;
  return isExplored ? option : undefined;
}

function computeExploredShare(
  option: Option,
  settled: Option,
  target: number,
): number {
  const surplus = Math.max(0, settled.estimate.mean - target);
  const spread = settled.estimate.mean - option.estimate.lower;
  const affordable = spread > 0 ? surplus / spread : 1;
  const isWellKnown = option.estimate.count >= EXPLORED_RATINGS;
  const bound = isWellKnown ? WELL_KNOWN_EXPLORED_SHARE : MAX_EXPLORED_SHARE;
  return Math.min(bound, affordable);
}

function describeReason(
  settled: Option,
  explored: Option | undefined,
  target: number,
): string {
  if (explored) return 'explored: cheaper and may be at the target';
  if (settled.estimate.lower >= target) return 'cheapest at the target';
  return 'none is at the target for certain; highest lower bound';
}

function describeDecision(
  chosen: Option,
  options: readonly Option[],
  reason: string,
): Decision<VersionRef> {
  const {model, version, state} = chosen.offered.version;
  const rollout =
    state === 'rolling_out' ? '; in the share of its roll-out' : '';
  return {
    choice: {model, version},
    candidates: options.map(describeOption),
    reason: reason + rollout,
  };
}

function describeOption({name, cost, estimate, ruledOut}: Option): Candidate {
  return {name, score: cost, quality: estimate, ruledOut};
}

function createRefusal(
  options: readonly Option[],
  request: RoutedRequest,
): SycamoreheadError {
  const isTooLong =
    options.length > 0 &&
    options.every(({ruledOut}) => ruledOut === 'context_too_long');
  if (isTooLong) {
    return new SycamoreheadError(
      'context_too_long',
      `messages: no permitted version takes about ${request.promptTokens} tokens`,
      {field: 'messages'},
    );
  }
  return new SycamoreheadError(
    'no_backend_server',
    `no permitted version of model ${request.model} is in service with a replica`,
  );
}
