/** One target of an experiment and its measured value. @public */
export interface ExperimentTarget {
  readonly name: string;
  /** Text that describes the bound and its unit. */
  readonly target: string;
  readonly value: number;
  readonly met: boolean;
}

/** Result that an experiment prints as its last line. @public */
export interface ExperimentResult {
  readonly experiment: string;
  readonly seed: number;
  readonly baseline: Readonly<Record<string, unknown>>;
  readonly candidate: Readonly<Record<string, unknown>>;
  readonly targets: readonly ExperimentTarget[];
}

/** Options of one run. @public */
export interface ExperimentOptions {
  readonly seed: number;
}

/** An experiment that `npm run bench -- NAME` runs. @public */
export interface Experiment {
  readonly summary: string;
  run(options: ExperimentOptions): Promise<ExperimentResult>;
}
