import type {RoutingContext} from './RoutingContext.js';
import type {RoutedRequest} from './routingTypes.js';

/** First tokens slower than this quantile are worth a second attempt. */
const FIRST_TOKEN_QUANTILE = 0.95;
const FIRST_TOKEN_FACTOR = 1.5;
const MIN_DELAY_MS = 30;
/** Gap in a stream, relative to the typical time between tokens, that is worth a second attempt. */
const GAP_FACTOR = 6;
/** Work that a second attempt of a running stream adds besides its prompt, in units. */
const RESUME_UNITS = 8;

/** Decides on second attempts of slow answers. @public */
export interface HedgePolicy {
  /** Time without a frame after which a second attempt is worth it; undefined for never. */
  computeDelayMs(
    request: RoutedRequest,
    hasFrames: boolean,
  ): number | undefined;
  /** Takes a second attempt out of the budget; tells whether it may run. */
  take(request: RoutedRequest, hasFrames: boolean): boolean;
}

const NEVER: HedgePolicy = {
  computeDelayMs: () => undefined,
  take: () => false,
};

/** Second attempts within a share of the work, none under overload. */
function createBudgeted(context: RoutingContext): HedgePolicy {
  return {
    computeDelayMs(request, hasFrames) {
      const typicalMs = context.view.computeTypicalTokenMs(
        context.listEngines(request),
      );
      if (hasFrames) return Math.max(MIN_DELAY_MS, GAP_FACTOR * typicalMs);
      if (context.estimator.estimate(request).isLong) return undefined;
      const usualMs = context.tracker.computeFirstTokenMs(FIRST_TOKEN_QUANTILE);
      if (usualMs === undefined) return undefined;
      return Math.max(MIN_DELAY_MS, FIRST_TOKEN_FACTOR * usualMs);
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
