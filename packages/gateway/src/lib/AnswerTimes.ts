/** Weight of the newest answer. */
const GAIN = 0.05;
/** Kinds of work remembered. */
const MAX_KINDS = 2_000;

/**
 * Names a kind of work: a route, with the model that a send names.
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
 * The usual answer time of each kind of work, as a geometric mean that follows the load.
 *
 * @public
 */
export class AnswerTimes {
  private readonly logMeans = new Map<string, number>();

  /** Takes a time in and returns how it compares with the usual; 1 is usual. */
  recordTime(kind: string, timeMs: number): number {
    const logTime = Math.log(Math.max(1, timeMs));
    const known = this.logMeans.get(kind);
    if (known === undefined) {
      if (this.logMeans.size < MAX_KINDS) this.logMeans.set(kind, logTime);
      return 1;
    }
    this.logMeans.set(kind, known + (logTime - known) * GAIN);
    return Math.exp(logTime - known);
  }

  /** Returns the usual time in milliseconds, or undefined before the first answer. */
  getTypicalMs(kind: string): number | undefined {
    const logMean = this.logMeans.get(kind);
    return logMean === undefined ? undefined : Math.exp(logMean);
  }
}
