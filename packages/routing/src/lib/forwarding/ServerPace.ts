import {DecayingSum} from './DecayingSum.js';
import {limitTimeRatio} from './limitTimeRatio.js';

/** Time in which the time ratio of an answer decays to 1/e, in milliseconds. */
const PACE_LIFETIME_MS = 2_000;
/** Weight with which the pace is drawn to that of its service, in answers. */
const TYPICAL_WEIGHT = 3;
/** Factor by which sums are reported as whole numbers. */
const REPORT_SCALE = 100;

/** A send whose answer has not begun. @public */
export interface AwaitedStart {
  readonly sentAt: number;
  /** Time expected of a typical server until the answer begins, in milliseconds. */
  readonly expectedMs: number;
}

/** Time ratios of one server: their weight, and the weighted sum of their logarithms. @public */
export interface PaceSums {
  readonly answers: number;
  readonly logRatios: number;
}

/**
 * Learns how slow a server is, relative to its service, from the times that its answers take relative
 * to the times expected of them. One of many entries sees too few answers of a server, so the sums of
 * all entries are added.
 *
 * @public
 */
export class ServerPace {
  private readonly answers = new DecayingSum(PACE_LIFETIME_MS);
  private readonly logRatios = new DecayingSum(PACE_LIFETIME_MS);
  private readonly othersAnswers = new DecayingSum(PACE_LIFETIME_MS);
  private readonly othersLogRatios = new DecayingSum(PACE_LIFETIME_MS);
  private readonly awaited = new Set<AwaitedStart>();
  /** Mean logarithm of the time ratios of its service. */
  private typicalLog = 0;
  private currentSlowness = 1;

  // Commands.

  /** Records the ratio of an answer's time to the expected time. */
  recordRatio(timeRatio: number): void {
    if (!Number.isFinite(timeRatio)) return;
    this.answers.add(1);
    this.logRatios.add(computeLog(timeRatio));
    this.updateSlowness();
  }

  /** Records a send; `recordStart` ends it. */
  recordSend(expectedMs: number): AwaitedStart {
    const send = {sentAt: performance.now(), expectedMs};
    this.awaited.add(send);
    return send;
  }

  /** Records that an answer has begun or is not awaited any more. */
  recordStart(send: AwaitedStart): void {
    this.awaited.delete(send);
  }

  /** Sets the sums that the other entries have reported, as described by `describeOwn`. */
  setOthers(answers: number, logRatios: number, now = performance.now()): void {
    const isValid =
      Number.isFinite(answers) && Number.isFinite(logRatios) && answers > 0;
    this.othersAnswers.set(isValid ? answers / REPORT_SCALE : 0, now);
    this.othersLogRatios.set(isValid ? logRatios / REPORT_SCALE : 0, now);
  }

  /** Sets the mean logarithm of the time ratios of its service; its own sums may be known already. */
  setTypicalLog(typicalLog: number, sums = this.sumAll()): void {
    this.typicalLog = typicalLog;
    this.updateSlowness(sums);
  }

  // Queries.

  /** Describes this entry's sums in hundredths, including the sends that are overdue. */
  describeOwn(now = performance.now()): PaceSums {
    const {answers, logRatios} = this.sumOwn(now);
    return {
      answers: Math.round(answers * REPORT_SCALE),
      logRatios: Math.round(logRatios * REPORT_SCALE),
    };
  }

  /** Sums the time ratios of all entries. */
  sumAll(now = performance.now()): PaceSums {
    const own = this.sumOwn(now);
    return {
      answers: own.answers + this.othersAnswers.readAt(now),
      logRatios: own.logRatios + this.othersLogRatios.readAt(now),
    };
  }

  /** Its times relative to those of its service; 1 is typical. */
  get slowness(): number {
    return this.currentSlowness;
  }

  private updateSlowness({answers, logRatios} = this.sumAll()): void {
    const excess = logRatios - answers * this.typicalLog;
    const slowness = Math.exp(excess / (answers + TYPICAL_WEIGHT));
    this.currentSlowness = limitTimeRatio(slowness);
  }

  private sumOwn(now: number): PaceSums {
    let answers = this.answers.readAt(now);
    let logRatios = this.logRatios.readAt(now);
    for (const {sentAt, expectedMs} of this.awaited) {
      const ratio = (now - sentAt) / Math.max(1, expectedMs);
      // The answer takes at least that long.
      if (ratio <= 1) continue;
      answers += 1;
      logRatios += computeLog(ratio);
    }
    return {answers, logRatios};
  }
}

/**
 * Relates the servers of one service to each other.
 *
 * @example
 * ```ts
 * updateTypicalPace(servers.map(({pace}) => pace));
 * ```
 * @public
 */
export function updateTypicalPace(paces: readonly ServerPace[]): void {
  const now = performance.now();
  const sums = paces.map(pace => pace.sumAll(now));
  let answers = TYPICAL_WEIGHT;
  let logRatios = 0;
  for (const sum of sums) {
    answers += sum.answers;
    logRatios += sum.logRatios;
  }
  paces.forEach((pace, index) =>
    pace.setTypicalLog(logRatios / answers, sums[index]),
  );
}

function computeLog(timeRatio: number): number {
  return Math.log(limitTimeRatio(timeRatio));
}
