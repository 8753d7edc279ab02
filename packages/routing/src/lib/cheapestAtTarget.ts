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

/** What a version policy may ask. @public */
export interface VersionPolicyContext {
  readonly quality: QualityTable;
  /** Tells whether a backend server that takes work has a version. */
  readonly hasReplica: (version: VersionRef) => boolean;
  /** Tells whether ratings are coming back, so that trying a version teaches something. */
  readonly canExplore: () => boolean;
}

/** Generated tokens assumed where the caller names no bound, for comparing prices. */
const EXPECTED_OUTPUT_TOKENS = 200;
/** Highest share of a kind's requests that try a version whose quality is not settled. */
const MAX_EXPLORED_SHARE = 0.5;
/** Ratings after which a version that is still unsettled is tried more rarely, and that share. */
const EXPLORED_RATINGS = 40;
const SETTLED_EXPLORED_SHARE = 0.05;

interface Option {
  readonly offered: OfferedVersion;
  readonly name: string;
  readonly estimate: QualityEstimate;
  readonly cost: number;
  readonly ruledOut?: string;
}

/**
 * Creates the policy that takes the cheapest permitted version whose quality is at the customer's
 * target by its lower bound, and tries cheaper ones within bounds while theirs is not settled.
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
  const options = offered.map(one => buildOption(context, request, one));
  if (options.some(({ruledOut}) => !ruledOut)) return options;
  // What roll-outs leave has no replica: a released version that was replaced may have one.
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
  // The guard needs the first ratings of a kind; what it does not act on is avoided from here on.
  const isBadHere =
    replaced !== undefined &&
    own.count >= EXPLORED_RATINGS &&
    own.upper < replaced.lower;
  const isReplacedUsable = replaces && context.hasReplica(replaces);
  if (isReplacedUsable && (isBadHere || !context.hasReplica(version))) {
    return buildOption(context, request, {version: replaces});
  }
  const isRollingOut = version.state === 'rolling_out';
  const priced = isRollingOut && replaces ? replaces : version;
  const outputTokens = request.maxTokens ?? EXPECTED_OUTPUT_TOKENS;
  return {
    offered,
    name: formatVersionKey(version),
    // A version in roll-out is judged by its guard; meanwhile it stands in for what it replaces.
    estimate: (isRollingOut ? replaced : undefined) ?? own,
    cost:
      request.promptTokens * priced.inputPrice +
      outputTokens * priced.outputPrice,
    ruledOut: checkUsable(context, request, offered),
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

function checkUsable(
  context: VersionPolicyContext,
  request: RoutedRequest,
  {version}: OfferedVersion,
): string | undefined {
  if (request.promptTokens > version.contextTokens) return 'context_too_long';
  if (!context.hasReplica(version)) return 'no_replica';
  return undefined;
}

/** Picks the cheapest option that is at the target for certain, else the surest one. */
function pickSettled(
  usable: readonly Option[],
  target: number,
): Option | undefined {
  const atTarget = usable.find(({estimate}) => estimate.lower >= target);
  if (atTarget) return atTarget;
  const [surest] = [...usable].sort(
    (left, right) => right.estimate.lower - left.estimate.lower,
  );
  return surest;
}

/**
 * Picks a cheaper option that may be at the target. Its share of the requests is such that the
 * expected quality of the kind stays at the target even if the option is as bad as its lower
 * bound.
 */
function pickExplored(
  usable: readonly Option[],
  settled: Option,
  request: RoutedRequest,
): Option | undefined {
  const target = request.customer.qualityTarget;
  const open = usable.filter(
    ({cost, estimate}) => cost < settled.cost && estimate.upper >= target,
  );
  if (open.length === 0) return undefined;
  const draw = sampleByHash(`pick\n${request.requestId}`);
  const option = open[Math.floor(draw * open.length)];
  if (!option) return undefined;
  const share = computeExploredShare(option, settled, target);
  const isTried = sampleByHash(`try\n${request.requestId}`) < share;
  return isTried ? option : undefined;
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
  const bound = isWellKnown ? SETTLED_EXPLORED_SHARE : MAX_EXPLORED_SHARE;
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
