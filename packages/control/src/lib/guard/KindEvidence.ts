import {DecayingStatistics} from './DecayingStatistics.js';
import {EvidenceTest} from './EvidenceTest.js';
import {
  CHANGE_FALSE_ALARM_RATE,
  ROLLOUT_FALSE_ALARM_RATE,
  computeKindShare,
} from './falseAlarmRates.js';

/** Effective number of ratings in the long-run mean. */
const RATING_MEMORY = 700;
const FIRST_TOKEN_WINDOW = 128;
const MIN_REFERENCE_RATINGS = 8;
const MIN_HISTORY_RATINGS = 20;
const MIN_REFERENCE_TIMES = 32;
/** Amount by which a mean rating may lie below its reference. */
const REFERENCE_TOLERANCE = 0.05;
/** Drop of the mean rating below its long-run mean that counts as a change. */
const CHANGE_TOLERANCE = 0.1;
const REFERENCE_QUANTILE = 0.95;

/**
 * Evidence on one version for one kind of request.
 *
 * @internal
 */
export class KindEvidence {
  readonly ratings = new DecayingStatistics(RATING_MEMORY);
  /** Test against the replaced version, during a roll-out. */
  readonly comparison: EvidenceTest;
  /** Test against the version's own long-run mean, at any time. */
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

  /** Adds a rating, with the bound computed from the replaced version's ratings if there is one. */
  observeRating(rating: number, source: string, bound?: number): void {
    if (bound !== undefined) this.comparison.observe(rating, bound, source);
    const changeBound = this.computeChangeBound();
    if (changeBound !== undefined)
      this.change.observe(rating, changeBound, source);
    this.ratings.observe(rating);
  }

  /** Adds a time to the first token. */
  observeFirstToken(firstTokenMs: number): void {
    this.firstTokens.push(firstTokenMs);
    if (this.firstTokens.length > FIRST_TOKEN_WINDOW) this.firstTokens.shift();
  }

  /** Computes the bound below which ratings differ from this version's history. */
  computeChangeBound(): number | undefined {
    const {count, mean} = this.ratings;
    return count < MIN_HISTORY_RATINGS ? undefined : mean - CHANGE_TOLERANCE;
  }

  /** Computes the bound for a version that replaces this one, once there are enough ratings. */
  computeComparisonBound(): number | undefined {
    const {count, mean, standardError} = this.ratings;
    if (count < MIN_REFERENCE_RATINGS) return undefined;
    return mean - 2 * standardError - REFERENCE_TOLERANCE;
  }

  /** Computes the 95th percentile of recent times to the first token, once there are enough. */
  computeUsualFirstTokenMs(): number | undefined {
    if (this.firstTokens.length < MIN_REFERENCE_TIMES) return undefined;
    const sorted = [...this.firstTokens].sort((left, right) => left - right);
    return sorted[Math.floor(REFERENCE_QUANTILE * (sorted.length - 1))];
  }
}
