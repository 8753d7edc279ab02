import type {ConfiguredVersion, VersionRef} from '@sycamorehead/schema';
import type {VersionPlacement} from './planPlacement.js';

/** What a version's placement waits for. @public */
export type RolloutWait =
  | 'nothing'
  | 'entry_reports'
  | 'room'
  | 'weight_store'
  | 'loading'
  | 'unloading'
  | 'replica'
  | 'guard';

/** The state of one version's roll-out and placement. @public */
export interface RolloutStatus extends VersionRef {
  readonly state: ConfiguredVersion['state'];
  readonly step: number;
  /** Number of steps of its roll-out; 0 without a roll-out. */
  readonly steps: number;
  /** Share of new sessions at this step. */
  readonly share: number;
  /** Number of replicas declared for this step. */
  readonly declared: number;
  /** Number of declared replicas for which there is capacity. */
  readonly wanted: number;
  readonly serving: number;
  readonly loading: number;
  readonly waitsFor: RolloutWait;
}

/** Input of describeRollout. @internal */
export interface RolloutDescriptionInput {
  readonly version: ConfiguredVersion;
  readonly share: number;
  readonly placement?: VersionPlacement;
  readonly isSettled: boolean;
  readonly isPaced: boolean;
}

function chooseWait(input: RolloutDescriptionInput): RolloutWait {
  const {version, placement, isSettled, isPaced} = input;
  if (!isSettled || !placement) return 'entry_reports';
  const {serving, loading, target, lacksCapacity} = placement;
  if (version.state === 'withdrawn') {
    return serving + loading > 0 ? 'unloading' : 'nothing';
  }
  if (version.state === 'quarantined') return 'nothing';
  if (version.replicas === 0 && serving === 0) return 'replica';
  if (serving < target) {
    if (serving + loading >= target) return 'loading';
    return isPaced ? 'weight_store' : 'room';
  }
  if (version.state === 'rolling_out') return 'guard';
  return lacksCapacity ? 'room' : 'nothing';
}

/**
 * Describes the state of a version's roll-out and what it waits for.
 *
 * @internal
 */
export function describeRollout(input: RolloutDescriptionInput): RolloutStatus {
  const {version, share, placement} = input;
  return {
    model: version.model,
    version: version.version,
    state: version.state,
    step: version.step,
    steps: version.rollout?.steps.length ?? 0,
    share,
    declared: placement?.declared ?? 0,
    wanted: placement?.target ?? 0,
    serving: placement?.serving ?? 0,
    loading: placement?.loading ?? 0,
    waitsFor: chooseWait(input),
  };
}
