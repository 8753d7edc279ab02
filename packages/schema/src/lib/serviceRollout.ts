/** The phase of the roll-out of a service's version. @public */
export type RolloutPhase = 'in_progress' | 'completed' | 'rolled_back';

/** The roll-out of a new version of a service. @public */
export interface ServiceRollout {
  readonly service: string;
  /** Version that is rolled out. */
  readonly target: string;
  readonly durationMs: number;
  readonly phase: RolloutPhase;
  /** Share of the service's requests that go to the target, 0 to 1. */
  readonly share: number;
  /** Increases with each ordered roll-out, so that evidence of an earlier one is ignored. */
  readonly number: number;
  /** Whether sessions that began on the old version still stay on it. */
  readonly isEarly: boolean;
}

/** Statistics of the answers of one version at one entry since the roll-out was ordered. @public */
export interface VersionCounts {
  readonly answers: number;
  readonly failures: number;
  /** Sum of the natural logarithms of the times to the first event, in milliseconds. */
  readonly logTimeSum: number;
  readonly timed: number;
}

/** Counts by route and version for one roll-out. @public */
export interface RolloutEvidence {
  readonly service: string;
  readonly number: number;
  /** Keys are `kind|old` and `kind|new`, where a kind is a route with a model. */
  readonly counts: Readonly<Record<string, VersionCounts>>;
}
