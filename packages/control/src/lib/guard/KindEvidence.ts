import {DecayingStatistics} from './DecayingStatistics.js';
import {EvidenceTest} from './EvidenceTest.js';
import {
  CHANGE_FALSE_ALARM_RATE,
  ROLLOUT_FALSE_ALARM_RATE,
  computeKindShare,
} from './falseAlarmRates.js';

/** Ratings that the long-run mean covers. */
const RATING_MEMORY = 700;
const FIRST_TOKEN_WINDOW = 128;
const MIN_REFERENCE_RATINGS = 8;
const MIN_HISTORY_RATINGS = 20;
const MIN_REFERENCE_TIMES = 32;
/** How far below its reference a mean rating may lie. */
const REFERENCE_TOLERANCE = 0.05;
/** Fall of the mean rating below its own long-run mean that is a change. */
const CHANGE_TOLERANCE = 0.1;
const REFERENCE_QUANTILE = 0.95;

/**
 * Evidence of one kind of request on one version.
 *
 * @internal
 */
export class KindEvidence {
  readonly ratings = new DecayingStatistics(RATING_MEMORY);
  /** Against the replaced version, during a roll-out. */
  readonly comparison: EvidenceTest;
  /** Against its own long-run mean, at any time. */
  readonly change: EvidenceTest;
  private readonly firstTokens: number[] = [];

  /** @param index Order in which the version's kinds were first seen, from 0. */
  constructor(
    readonly kind: string,
    index: number,
    maxSourceShare: number,
  ) {
    this.comparison = new EvidenceTest({
      falseAlarmRate: ROLLOUT_FALSE_ALARM_RATE.kinds * computeKindShare(index),
      restarts: false,
      maxSourceShare,
    });
    this.change = new EvidenceTest({
      falseAlarmRate: CHANGE_FALSE_ALARM_RATE,
      restarts: true,
      maxSourceShare,
    });
  }

  /** Takes a rating, with the bound that the replaced version's set where there is one. */
  observeRating(rating: number, source: string, bound?: number): void {
    if (bound !== undefined) this.comparison.observe(rating, bound, source);
    const usual = this.computeChangeBound();
    if (usual !== undefined) this.change.observe(rating, usual, source);
    this.ratings.observe(rating);
  }

  /** Takes the time to the first token. */
  observeFirstToken(firstTokenMs: number): void {
    this.firstTokens.push(firstTokenMs);
    if (this.firstTokens.length > FIRST_TOKEN_WINDOW) this.firstTokens.shift();
  }

  /** Computes the bound below which ratings are a change from this version's own past. */
  computeChangeBound(): number | undefined {
    const {count, mean} = this.ratings;
    return count < MIN_HISTORY_RATINGS ? undefined : mean - CHANGE_TOLERANCE;
  }

  /** Computes the bound that a version in this one's place has to keep, once it is known. */
  computeComparisonBound(): number | undefined {
    const {count, mean, standardError} = this.ratings;
    if (count < MIN_REFERENCE_RATINGS) return undefined;
    return mean - 2 * standardError - REFERENCE_TOLERANCE;
  }

  /** Computes the time that few of the recent first tokens exceeded, once enough are known. */
  computeUsualFirstTokenMs(): number | undefined {
    if (this.firstTokens.length < MIN_REFERENCE_TIMES) return undefined;
    const sorted = [...this.firstTokens].sort((left, right) => left - right);
    return sorted[Math.floor(REFERENCE_QUANTILE * (sorted.length - 1))];
  }
}
