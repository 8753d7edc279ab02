/** Seed and limits of a fuzzing run. @public */
export interface FuzzOptions {
  readonly seed: number;
  /** Maximum number of cases. */
  readonly cases: number;
  /** Time after which no further case is started, in milliseconds. */
  readonly budgetMs: number;
}

/**
 * A fuzzing target. It throws with the seed and the smallest failing case if an input causes a
 * crash, a hang, or an error outside the closed list of error kinds.
 *
 * @public
 */
export type FuzzTarget = (options: FuzzOptions) => Promise<void>;
