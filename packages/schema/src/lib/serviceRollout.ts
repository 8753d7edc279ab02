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
  /**
   * Versions of earlier roll-outs that were not completed; their servers get no work. Absent from
   * earlier builds.
   */
  readonly rejected?: readonly string[];
}

/** Statistics of the answers of one version at one entry since the roll-out was ordered. @public */
export interface VersionCounts {
  /** Sends that were answered, failed or lost. */
  readonly answers: number;
  /** Answers that were errors of the server. */
  readonly failures: number;
  /** Sends without an answer, or whose answer broke off; absent from earlier builds. */
  readonly losses?: number;
  /**
   * Histogram of the answer times relative to those expected from the prompt and the load of the server,
   * as `countTimeRatio` fills it; absent from earlier builds.
   */
  readonly times?: readonly number[];
}

/** Number of classes of a histogram of time ratios; each is an octave wide. */
const TIME_CLASSES = 7;
/** Binary logarithm of the ratio in the middle of the first class. */
const FIRST_CLASS_OCTAVE = -1.5;
/** An answer is split between two classes in multiples of the inverse of this number. */
const CLASS_PARTS = 4;

/** The histogram of no answer times. @public */
export const NO_TIMES: readonly number[] = Array.from(
  {length: TIME_CLASSES},
  () => 0,
);

/**
 * Counts an answer time, relative to the expected one, in a histogram. It is split between the two
 * nearest classes, so that a small difference of times remains a small difference of histograms.
 *
 * @example
 * ```ts
 * const times = [...NO_TIMES];
 * countTimeRatio(times, 1.5);
 * ```
 * @public
 */
export function countTimeRatio(times: number[], ratio: number): void {
  const octave = Math.log2(Math.max(ratio, Number.MIN_VALUE));
  const last = times.length - 1;
  const position = Math.max(0, Math.min(last, octave - FIRST_CLASS_OCTAVE));
  const lower = Math.min(last - 1, Math.floor(position));
  const upperPart = Math.round((position - lower) * CLASS_PARTS) / CLASS_PARTS;
  times[lower]! += 1 - upperPart;
  times[lower + 1]! += upperPart;
}

/** Counts by route and version for one roll-out. @public */
export interface RolloutEvidence {
  readonly service: string;
  readonly number: number;
  /** Keys are `ROUTE|old` and, for each server of the new version, `ROUTE SERVER|new`. */
  readonly counts: Readonly<Record<string, VersionCounts>>;
}
