/** How long and from which seed a target is fuzzed. @public */
export interface FuzzOptions {
  readonly seed: number;
  /** Largest number of cases. */
  readonly cases: number;
  /** Time after which no further case is begun, in milliseconds. */
  readonly budgetMs: number;
}

/**
 * One target: throws, with the seed and the smallest case found, where an input crashes it, hangs
 * it, or gets an answer outside the closed list of error kinds.
 *
 * @public
 */
export type FuzzTarget = (options: FuzzOptions) => Promise<void>;
