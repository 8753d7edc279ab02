import type {RoutingContext} from './RoutingContext.js';
import type {RoutedRequest} from './routingTypes.js';

/** Priority of long work; short work has 0, and lower runs first. */
const LONG_PRIORITY = 10;

/** Chooses the priority that is sent to an engine. @public */
export type PriorityPolicy = (request: RoutedRequest) => number;

/** Creates the policy that puts short work before long work in the engines' own queues. */
function createByWork({estimator}: RoutingContext): PriorityPolicy {
  return request => (estimator.estimate(request).isLong ? LONG_PRIORITY : 0);
}

/** Priority policies by name. @public */
export const PRIORITY_POLICIES = {
  equal: () => () => 0,
  by_work: createByWork,
} as const satisfies Record<
  string,
  (context: RoutingContext) => PriorityPolicy
>;

/** Name of a priority policy. @public */
export type PriorityPolicyName = keyof typeof PRIORITY_POLICIES;
