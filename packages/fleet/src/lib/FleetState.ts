import {
  JsonValue,
  RolloutPhase,
  ServiceRollout,
  evictOldest,
} from '@sycamorehead/schema';
import type {StateMachine} from '@sycamorehead/consensus';
import type {
  EndedEvacuations,
  EvacuationState,
  QuarantinedSegments,
  QuarantineState,
  StoredConfiguration,
} from './fleetMessages.js';

/** A roll-out with its elapsed time, as stored in the log. @public */
export interface RolloutRecord extends ServiceRollout {
  /** Time since the order, in milliseconds, as last committed by the leader. */
  readonly elapsedMs: number;
}

/** A step of a roll-out. @public */
export interface RolloutStep {
  readonly phase: RolloutPhase;
  readonly share: number;
  readonly isEarly: boolean;
  readonly elapsedMs: number;
}

/** Commands of the replicated fleet state. @public */
export type FleetCommand =
  | {
      readonly type: 'put_configuration';
      readonly version: number;
      readonly document: JsonValue;
    }
  | {
      readonly type: 'start_rollout';
      readonly service: string;
      readonly target: string;
      readonly durationMs: number;
    }
  | {
      readonly type: 'step_rollout';
      readonly service: string;
      readonly number: number;
      readonly step: RolloutStep;
    }
  | {
      readonly type: 'quarantine_segments';
      readonly quarantined: QuarantinedSegments;
    }
  | {readonly type: 'release_segments'; readonly segments: readonly string[]}
  | {
      readonly type: 'set_evacuation';
      readonly dataCentre: string;
      readonly isEvacuated: boolean;
    };

/** Whether a command has changed something. @public */
export interface CommandResult {
  readonly isChanged: boolean;
}

interface FleetSnapshot {
  readonly configuration: StoredConfiguration;
  readonly rollouts: readonly RolloutRecord[];
  readonly rolloutCount: number;
  /** Absent from snapshots of earlier builds, like the revision. */
  readonly quarantined?: readonly QuarantinedSegments[];
  readonly quarantineRevision?: number;
  /** Absent from snapshots of earlier builds, like the next. */
  readonly evacuation?: EvacuationState;
  readonly endedEvacuations?: EndedEvacuations;
}

type Handlers = {
  [Type in FleetCommand['type']]: (
    command: Extract<FleetCommand, {type: Type}>,
  ) => boolean;
};

/** Maximum number of retained roll-outs; the oldest are removed first. */
const MAX_ROLLOUTS = 200;
/** Maximum number of rejected versions that are retained of a service; the oldest are removed first. */
const MAX_REJECTED = 20;
/** Maximum number of prompt segments in quarantine; the oldest are released first. */
const MAX_QUARANTINED = 500;

/** Maximum number of data centres whose last evacuation is remembered; the oldest are removed first. */
const MAX_ENDED = 100;

const NO_EVACUATION: EvacuationState = {revision: 0, dataCentres: []};

/**
 * The replicated state of the fleet: the configuration of the highest version, the roll-outs, the
 * prompt segments in quarantine and the evacuated data centres.
 *
 * @public
 */
export class FleetState implements StateMachine {
  private stored: StoredConfiguration = {version: 0, document: null};
  private rollouts = new Map<string, RolloutRecord>();
  private rolloutCount = 0;
  private quarantined = new Map<string, QuarantinedSegments>();
  private quarantineRevision = 0;
  private evacuation = NO_EVACUATION;
  /** Revision at which the evacuation of a data centre ended last. */
  private endedEvacuations = new Map<string, number>();
  private readonly handlers: Handlers = {
    put_configuration: command => this.putConfiguration(command),
    start_rollout: command => this.startRollout(command),
    step_rollout: command => this.stepRollout(command),
    quarantine_segments: command => this.quarantineSegments(command),
    release_segments: command => this.releaseSegments(command),
    set_evacuation: command => this.setEvacuation(command),
  };

  constructor(private readonly onChange: () => void = () => {}) {}

  apply(command: JsonValue): JsonValue {
    const known = command as unknown as FleetCommand;
    const handler = this.handlers[known.type] as (
      command: FleetCommand,
    ) => boolean;
    const isChanged = handler(known);
    if (isChanged) this.onChange();
    return {isChanged};
  }

  takeSnapshot(): JsonValue {
    const snapshot: FleetSnapshot = {
      configuration: this.stored,
      rollouts: [...this.rollouts.values()],
      rolloutCount: this.rolloutCount,
      quarantined: [...this.quarantined.values()],
      quarantineRevision: this.quarantineRevision,
      evacuation: this.evacuation,
      endedEvacuations: this.listEndedEvacuations(),
    };
    return snapshot as unknown as JsonValue;
  }

  restoreSnapshot(snapshot: JsonValue): void {
    const known = snapshot as unknown as FleetSnapshot;
    this.stored = known.configuration;
    this.rolloutCount = known.rolloutCount;
    this.rollouts = new Map(
      known.rollouts.map(rollout => [rollout.service, rollout]),
    );
    this.quarantined = new Map(
      (known.quarantined ?? []).map(item => [
        buildSegmentsKey(item.segments),
        item,
      ]),
    );
    this.quarantineRevision = known.quarantineRevision ?? 0;
    this.evacuation = known.evacuation ?? NO_EVACUATION;
    this.endedEvacuations = new Map(
      Object.entries(known.endedEvacuations ?? {}),
    );
    this.onChange();
  }

  /** The configuration of the highest version. */
  get configuration(): StoredConfiguration {
    return this.stored;
  }

  /** Returns the newest roll-out of each service. */
  listRollouts(): RolloutRecord[] {
    return [...this.rollouts.values()];
  }

  /** Finds the newest roll-out of a service. */
  findRollout(service: string): RolloutRecord | undefined {
    return this.rollouts.get(service);
  }

  /** Lists the prompt segments in quarantine. */
  listQuarantined(): QuarantinedSegments[] {
    return [...this.quarantined.values()];
  }

  /** Returns whether exactly these prompt segments are in quarantine. */
  isQuarantined(segments: readonly string[]): boolean {
    return this.quarantined.has(buildSegmentsKey(segments));
  }

  /** Describes the quarantine for the entries. */
  describeQuarantine(): QuarantineState {
    const revision = this.quarantineRevision;
    const combinations = this.listQuarantined().map(({segments}) => segments);
    return {revision, combinations};
  }

  /** Describes the evacuated data centres. */
  describeEvacuation(): EvacuationState {
    return this.evacuation;
  }

  /** Returns whether entries send no requests to the servers of a data centre. */
  isEvacuated(dataCentre: string): boolean {
    return this.evacuation.dataCentres.includes(dataCentre);
  }

  /** Describes the evacuated data centres, and those that were, for the entries. */
  describeEvacuations(): EvacuationState {
    const ended = this.listEndedEvacuations();
    if (Object.keys(ended).length === 0) return this.evacuation;
    return {...this.evacuation, ended};
  }

  /** Returns whether the evacuation of a data centre has ended. */
  hasEndedEvacuation(dataCentre: string): boolean {
    return this.endedEvacuations.has(dataCentre);
  }

  private putConfiguration({
    version,
    document,
  }: Extract<FleetCommand, {type: 'put_configuration'}>): boolean {
    if (version <= this.stored.version) return false;
    this.stored = {version, document};
    return true;
  }

  private startRollout({
    service,
    target,
    durationMs,
  }: Extract<FleetCommand, {type: 'start_rollout'}>): boolean {
    const known = this.rollouts.get(service);
    // The order was resent because its acknowledgement was lost.
    if (known?.target === target) return false;
    this.rolloutCount += 1;
    this.rollouts.delete(service);
    this.rollouts.set(service, {
      service,
      target,
      durationMs,
      phase: 'in_progress',
      share: 0,
      isEarly: true,
      number: this.rolloutCount,
      elapsedMs: 0,
      rejected: listRejected(known, target),
    });
    evictOldest(this.rollouts, MAX_ROLLOUTS);
    return true;
  }

  private stepRollout({
    service,
    number,
    step,
  }: Extract<FleetCommand, {type: 'step_rollout'}>): boolean {
    const known = this.rollouts.get(service);
    if (known?.number !== number || known.phase !== 'in_progress') return false;
    this.rollouts.set(service, {...known, ...step});
    return true;
  }

  private quarantineSegments({
    quarantined,
  }: Extract<FleetCommand, {type: 'quarantine_segments'}>): boolean {
    const key = buildSegmentsKey(quarantined.segments);
    if (this.quarantined.has(key)) return false;
    this.quarantined.set(key, quarantined);
    this.quarantineRevision += 1;
    evictOldest(this.quarantined, MAX_QUARANTINED);
    return true;
  }

  private releaseSegments({
    segments,
  }: Extract<FleetCommand, {type: 'release_segments'}>): boolean {
    if (!this.quarantined.delete(buildSegmentsKey(segments))) return false;
    this.quarantineRevision += 1;
    return true;
  }

  private listEndedEvacuations(): EndedEvacuations {
    return Object.fromEntries(this.endedEvacuations);
  }

  private setEvacuation({
    dataCentre,
    isEvacuated,
  }: Extract<FleetCommand, {type: 'set_evacuation'}>): boolean {
    if (this.isEvacuated(dataCentre) === isEvacuated) return false;
    const {revision, dataCentres} = this.evacuation;
    const others = dataCentres.filter(name => name !== dataCentre);
    this.evacuation = {
      revision: revision + 1,
      dataCentres: isEvacuated ? [...others, dataCentre] : others,
    };
    if (isEvacuated) return true;
    this.endedEvacuations.delete(dataCentre);
    this.endedEvacuations.set(dataCentre, revision + 1);
    evictOldest(this.endedEvacuations, MAX_ENDED);
    return true;
  }
}

function buildSegmentsKey(segments: readonly string[]): string {
  return [...segments].sort().join(',');
}

/** Lists the versions that were not completed when the roll-out of a version follows another one. */
function listRejected(
  previous: RolloutRecord | undefined,
  target: string,
): string[] {
  if (!previous) return [];
  const {rejected = [], phase} = previous;
  const versions = new Set(rejected);
  if (phase !== 'completed') versions.add(previous.target);
  versions.delete(target);
  return [...versions].slice(-MAX_REJECTED);
}
