import {evictOldest} from '@sycamorehead/schema';

/** Minimum time between two lines on one subject, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/**
 * Bounds how often a line is written on each subject, such as a server or a service.
 *
 * @internal
 */
export class LineIntervals {
  private readonly writtenAt = new Map<string, number>();

  /**
   * @param maxSubjects - Maximum number of subjects that are tracked; the oldest are removed first.
   */
  constructor(private readonly maxSubjects: number) {}

  /** Admits a line on a subject unless one was admitted a moment ago. */
  admit(subject: string): boolean {
    const now = performance.now();
    const writtenAt = this.writtenAt.get(subject) ?? -Infinity;
    if (now - writtenAt < LOG_INTERVAL_MS) return false;
    this.writtenAt.set(subject, now);
    evictOldest(this.writtenAt, this.maxSubjects);
    return true;
  }
}
