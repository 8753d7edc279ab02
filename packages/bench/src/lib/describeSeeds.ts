import type {ExperimentResult} from './experimentTypes.js';
import {computeQuantile} from './load/computeStatistics.js';

/** Results of one target over several seeds. @public */
export interface SeedsTarget {
  readonly name: string;
  readonly target: string;
  readonly median: number;
  readonly worst: number;
  /** Number of seeds that met the target. */
  readonly met: number;
}

/** Results of one experiment over several seeds. @public */
export interface SeedsSummary {
  readonly experiment: string;
  readonly seeds: readonly number[];
  readonly targets: readonly SeedsTarget[];
}

const LOWER_BOUND_PREFIX = '≥';

/**
 * Summarises the results of several seeds by the median and the worst value of each target. The
 * worst value is the lowest if the text of the target begins with `≥`, otherwise the highest.
 *
 * @example
 * ```ts
 * describeSeeds([first, second]).targets[0].worst;
 * ```
 * @public
 */
export function describeSeeds(
  results: readonly ExperimentResult[],
): SeedsSummary {
  const [first] = results;
  const targets = (first?.targets ?? []).map(({name, target}, index) => {
    const measured = results.flatMap(result => result.targets[index] ?? []);
    const values = measured.map(({value}) => value);
    const isLowerBound = target.startsWith(LOWER_BOUND_PREFIX);
    return {
      name,
      target,
      median: computeQuantile(values, 0.5),
      worst: isLowerBound ? Math.min(...values) : Math.max(...values),
      met: measured.filter(({met}) => met).length,
    };
  });
  return {
    experiment: first?.experiment ?? '',
    seeds: results.map(({seed}) => seed),
    targets,
  };
}
