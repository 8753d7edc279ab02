import {
  Configuration,
  ConfiguredVersion,
  formatVersionKey,
} from '@sycamorehead/schema';

/** Share of the slots that may be busy before another replica is wanted. */
const TARGET_UTILIZATION = 0.75;
/** Demand raises the replicas to at most this multiple of the declared number. */
const MAX_DEMAND_FACTOR = 2;

/** How many replicas a version is to have. @public */
export interface ReplicaRequirement {
  readonly version: ConfiguredVersion;
  /** Serving replicas that no order may go below. */
  readonly minimum: number;
  /** Replicas declared for the state and the roll-out step. */
  readonly declared: number;
  /** Replicas that demand or the next step asks for, where there is room to spare. */
  readonly desired: number;
}

/** Share of the replaced version's sessions that its successor takes by now. */
function computeTakenShare(
  configuration: Configuration,
  replaced: ConfiguredVersion,
): number {
  const shares = Object.values(configuration.versions)
    .filter(
      ({model, rollout, state}) =>
        model === replaced.model &&
        rollout?.replaces === replaced.version &&
        (state === 'rolling_out' || state === 'active'),
    )
    .map(computeShare);
  return Math.min(
    1,
    shares.reduce((sum, share) => sum + share, 0),
  );
}

/** Replicas of the next step, loaded ahead while this one soaks. */
function countAhead({state, step, rollout, replicas}: ConfiguredVersion) {
  if (state !== 'rolling_out') return 0;
  return Math.ceil(replicas * (rollout?.steps[step + 1]?.share ?? 0));
}

/** Returns the share of sessions that a version's state and step give it. @internal */
export function computeShare({
  state,
  step,
  rollout,
}: Pick<ConfiguredVersion, 'state' | 'step' | 'rollout'>): number {
  if (state === 'active') return 1;
  if (state !== 'rolling_out') return 0;
  return rollout?.steps[step]?.share ?? 1;
}

function computeNeed(
  configuration: Configuration,
  version: ConfiguredVersion,
  utilization: number,
  serving: number,
): ReplicaRequirement {
  const {replicas} = version;
  const share = computeShare(version);
  if (share === 0) return {version, minimum: 0, declared: 0, desired: 0};
  const taken = computeTakenShare(configuration, version);
  // A replaced version keeps one replica: sessions stay on it until it is withdrawn.
  const need = Math.max(1, Math.ceil(replicas * Math.min(share, 1 - taken)));
  const wanted = Math.ceil(replicas * share);
  const forDemand = Math.ceil((serving * utilization) / TARGET_UTILIZATION);
  const welcome = Math.max(
    wanted,
    Math.min(forDemand, wanted * MAX_DEMAND_FACTOR),
    countAhead(version),
  );
  return {version, minimum: need, declared: wanted, desired: welcome};
}

/**
 * Computes how many replicas each version is to have from the committed configuration alone,
 * raised by demand. Versions that declare no replicas are left to the servers' operators, but
 * keep one.
 *
 * @example
 * ```ts
 * computeNeeds(configuration, key => 0.4, key => 3).get('large/v2')?.wanted;
 * ```
 * @internal
 */
export function computeReplicaRequirements(
  configuration: Configuration,
  getUtilization: (key: string) => number,
  countServing: (key: string) => number,
): Map<string, ReplicaRequirement> {
  const needs = new Map<string, ReplicaRequirement>();
  for (const version of Object.values(configuration.versions)) {
    const key = formatVersionKey(version);
    needs.set(
      key,
      computeNeed(
        configuration,
        version,
        getUtilization(key),
        countServing(key),
      ),
    );
  }
  return needs;
}
