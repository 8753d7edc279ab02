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

/** Where one version stands. @public */
export interface RolloutStatus extends VersionRef {
  readonly state: ConfiguredVersion['state'];
  readonly step: number;
  /** Steps of its roll-out; 0 without one. */
  readonly steps: number;
  /** Share of new sessions at this step. */
  readonly share: number;
  /** Replicas declared for this step. */
  readonly declared: number;
  /** Those that there is room for. */
  readonly wanted: number;
  readonly serving: number;
  readonly loading: number;
  readonly waitsFor: RolloutWait;
}

/** What a description is made from. @internal */
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
  const {
    serving,
    loading,
    target: wanted,
    lacksCapacity: lacksRoom,
  } = placement;
  if (version.state === 'withdrawn') {
    return serving + loading > 0 ? 'unloading' : 'nothing';
  }
  if (version.state === 'quarantined') return 'nothing';
  if (version.replicas === 0 && serving === 0) return 'replica';
  if (serving < wanted) {
    if (serving + loading >= wanted) return 'loading';
    return isPaced ? 'weight_store' : 'room';
  }
  if (version.state === 'rolling_out') return 'guard';
  return lacksRoom ? 'room' : 'nothing';
}

/**
 * Describes where a version's roll-out stands and what it waits for.
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
