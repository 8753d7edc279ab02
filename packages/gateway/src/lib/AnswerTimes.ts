/** Weight of the newest answer. */
const GAIN = 0.05;
/** Maximum number of kinds of work that are tracked. */
const MAX_KINDS = 2_000;

/**
 * Builds the name of a kind of work from a route and the model that a send names.
 *
 * @example
 * ```ts
 * buildWorkKind('drafts', 'small'); // 'drafts small'
 * ```
 * @public
 */
export function buildWorkKind(
  route: string,
  model: string | undefined,
): string {
  return `${route} ${model ?? ''}`;
}

/**
 * Tracks the typical answer time of each kind of work as a moving geometric mean.
 *
 * @public
 */
export class AnswerTimes {
  private readonly logMeans = new Map<string, number>();

  /** Records a time and returns its ratio to the typical time. */
  recordTime(kind: string, timeMs: number): number {
    const logTime = Math.log(Math.max(1, timeMs));
    const mean = this.logMeans.get(kind);
    if (mean === undefined) {
      if (this.logMeans.size < MAX_KINDS) this.logMeans.set(kind, logTime);
      return 1;
    }
    this.logMeans.set(kind, mean + (logTime - mean) * GAIN);
    return Math.exp(logTime - mean);
  }

  /** Returns the ratio of a time to the typical time without recording it. */
  compareTime(kind: string, timeMs: number): number {
    const typicalMs = this.getTypicalMs(kind);
    return typicalMs === undefined ? 1 : Math.max(1, timeMs) / typicalMs;
  }

  /** Returns the typical time in milliseconds, or undefined before the first answer. */
  getTypicalMs(kind: string): number | undefined {
    const logMean = this.logMeans.get(kind);
    return logMean === undefined ? undefined : Math.exp(logMean);
  }
}
