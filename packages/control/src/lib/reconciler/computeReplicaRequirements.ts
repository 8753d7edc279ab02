import {
  Configuration,
  ConfiguredVersion,
  formatVersionKey,
} from '@sycamorehead/schema';

/** Fraction of busy slots above which another replica is desired. */
const TARGET_UTILIZATION = 0.75;
/** Maximum number of replicas that demand may require, as a multiple of the declared ones. */
const MAX_DEMAND_FACTOR = 2;

/** Number of replicas that a version requires. @public */
export interface ReplicaRequirement {
  readonly version: ConfiguredVersion;
  /** Minimum number of serving replicas; no order may reduce them further. */
  readonly minimum: number;
  /** Number of replicas declared for the state and the roll-out step. */
  readonly declared: number;
  /**
   * Number of replicas for the declaration, the demand or the next step, whichever is largest;
   * those beyond `declared` are loaded if there is spare capacity.
   */
  readonly desired: number;
}

/** Computes the share of a replaced version's sessions that its successors receive now. */
function computeSuccessorShare(
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

/** Counts the replicas of the next step, which are loaded during the current step's soak time. */
function countNextStepReplicas({
  state,
  step,
  rollout,
  replicas,
}: ConfiguredVersion) {
  if (state !== 'rolling_out') return 0;
  return Math.ceil(replicas * (rollout?.steps[step + 1]?.share ?? 0));
}

/** Returns the share of sessions for a version's state and step. @internal */
export function computeShare({
  state,
  step,
  rollout,
}: Pick<ConfiguredVersion, 'state' | 'step' | 'rollout'>): number {
  if (state === 'active') return 1;
  if (state !== 'rolling_out') return 0;
  return rollout?.steps[step]?.share ?? 1;
}

function computeRequirement(
  configuration: Configuration,
  version: ConfiguredVersion,
  utilization: number,
  serving: number,
): ReplicaRequirement {
  const {replicas} = version;
  const share = computeShare(version);
  if (share === 0) return {version, minimum: 0, declared: 0, desired: 0};
  const successorShare = computeSuccessorShare(configuration, version);
  // A replaced version retains one replica, since sessions stay on it until it is withdrawn.
  const minimum = Math.max(
    1,
    Math.ceil(replicas * Math.min(share, 1 - successorShare)),
  );
  const declared = Math.ceil(replicas * share);
  const demanded = Math.ceil((serving * utilization) / TARGET_UTILIZATION);
  const desired = Math.max(
    declared,
    Math.min(demanded, declared * MAX_DEMAND_FACTOR),
    countNextStepReplicas(version),
  );
  return {version, minimum, declared, desired};
}

/**
 * Computes how many replicas each version requires, from the committed configuration and the
 * demand. The replicas of a version that declares none are managed by the servers' operators, but
 * one of them is retained.
 *
 * @example
 * ```ts
 * computeReplicaRequirements(configuration, key => 0.4, key => 3).get('large/v2')?.declared;
 * ```
 * @internal
 */
export function computeReplicaRequirements(
  configuration: Configuration,
  getUtilization: (key: string) => number,
  countServing: (key: string) => number,
): Map<string, ReplicaRequirement> {
  const requirements = new Map<string, ReplicaRequirement>();
  for (const version of Object.values(configuration.versions)) {
    const key = formatVersionKey(version);
    requirements.set(
      key,
      computeRequirement(
        configuration,
        version,
        getUtilization(key),
        countServing(key),
      ),
    );
  }
  return requirements;
}
