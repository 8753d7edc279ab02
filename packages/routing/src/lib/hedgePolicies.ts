import type {RoutingContext} from './RoutingContext.js';
import type {RoutedRequest} from './routingTypes.js';

/**
 * The quantile of the time to the first token from which the delay of a second attempt is
 * computed.
 */
const FIRST_TOKEN_QUANTILE = 0.95;
const FIRST_TOKEN_FACTOR = 1.5;
const MIN_DELAY_MS = 30;
/**
 * Gap in a stream after which a second attempt starts, relative to the typical time between
 * tokens.
 */
const GAP_FACTOR = 6;
/** Work that a second attempt of a running stream adds besides its prompt, in units. */
const RESUME_UNITS = 8;

/** Decides on hedges, that is on second attempts for slow answers. @public */
export interface HedgePolicy {
  /** Computes the time without a frame after which a second attempt starts; undefined for never. */
  computeDelayMs(
    request: RoutedRequest,
    hasFrames: boolean,
  ): number | undefined;
  /** Charges a second attempt to the budget and returns whether it may run. */
  take(request: RoutedRequest, hasFrames: boolean): boolean;
}

const NEVER: HedgePolicy = {
  computeDelayMs: () => undefined,
  take: () => false,
};

/**
 * Creates the policy that limits second attempts to a share of the work, and to none under
 * overload.
 */
function createBudgeted(context: RoutingContext): HedgePolicy {
  return {
    computeDelayMs(request, hasFrames) {
      const typicalMs = context.view.computeTypicalTokenMs(
        context.listEngines(request),
      );
      if (hasFrames) return Math.max(MIN_DELAY_MS, GAP_FACTOR * typicalMs);
      if (context.estimator.estimate(request).isLong) return undefined;
      const typicalFirstTokenMs =
        context.tracker.computeFirstTokenMs(FIRST_TOKEN_QUANTILE);
      if (typicalFirstTokenMs === undefined) return undefined;
      return Math.max(MIN_DELAY_MS, FIRST_TOKEN_FACTOR * typicalFirstTokenMs);
    },
    take(request, hasFrames) {
      const {units, outputTokens} = context.estimator.estimate(request);
      const promptUnits = units - outputTokens;
      return context.hedgeBudget.take(
        hasFrames ? promptUnits + RESUME_UNITS : units,
      );
    },
  };
}

/** Hedge policies by name. @public */
export const HEDGE_POLICIES = {
  never: () => NEVER,
  budgeted: createBudgeted,
} as const satisfies Record<string, (context: RoutingContext) => HedgePolicy>;

/** Name of a hedge policy. @public */
export type HedgePolicyName = keyof typeof HEDGE_POLICIES;
