/** Where the roll-out of a service's version stands. @public */
export type RolloutPhase = 'in_progress' | 'completed' | 'rolled_back';

/** The roll-out of a new version of a service. @public */
export interface ServiceRollout {
  readonly service: string;
  /** Version to move to. */
  readonly target: string;
  readonly durationMs: number;
  readonly phase: RolloutPhase;
  /** Share of the service's requests that go to the target, 0 to 1. */
  readonly share: number;
  /** Grows with each order, so that evidence of an earlier one is not counted. */
  readonly number: number;
  /** Whether sessions that began on the old version still stay there. */
  readonly isEarly: boolean;
}

/** Answers of one version as one entry has seen them since the roll-out's order. @public */
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
  /** Keys are `kind|old` and `kind|new`, a kind being a route with a model. */
  readonly counts: Readonly<Record<string, VersionCounts>>;
}
