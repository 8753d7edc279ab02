import type {
  AttemptEvidence,
  ConfiguredVersion,
  EvidenceItem,
  QualitySummary,
  RatingEvidence,
} from '@sycamorehead/schema';
import {DecayingStatistics} from './DecayingStatistics.js';
import {EvidenceTest} from './EvidenceTest.js';
import {
  CHANGE_FALSE_ALARM_RATE,
  ROLLOUT_FALSE_ALARM_RATE,
} from './falseAlarmRates.js';
import {KindEvidence} from './KindEvidence.js';

const MAX_KINDS = 64;
const OTHER_KINDS = '(other)';
const ATTEMPT_MEMORY = 100;
const MIN_REFERENCE_ATTEMPTS = 20;
/** Factor over the replaced version's usual time above which a first token is slow. */
const SLOW_FACTOR = 3;
/** Largest share of slow first tokens that is tolerated. */
const MAX_SLOW_SHARE = 0.2;
/** Share of an alarm's evidence that one customer may contribute. */
const MAX_CUSTOMER_SHARE = 0.7;
/** Share of an alarm's evidence that one backend server may contribute. */
const MAX_SERVER_SHARE = 0.5;
/**
 * Natural logarithm of the evidence from which a roll-out stays at its step, below the alarm
 * threshold.
 */
const SUSPICIOUS_LOG_EVIDENCE = 3;

/** References for the evidence on a version. @internal */
export interface EvidenceReferences {
  readonly version: ConfiguredVersion;
  readonly replaced?: VersionEvidence;
  /** Recent attempts on all other versions, with value 1 for an answer and 0 for a failure. */
  readonly otherAttempts: DecayingStatistics;
}

/**
 * Evidence on one version since its roll-out began.
 *
 * @internal
 */
export class VersionEvidence {
  readonly attempts = new DecayingStatistics(ATTEMPT_MEMORY);
  private readonly kinds = new Map<string, KindEvidence>();
  private readonly ratingsByStep = new Map<number, number>();
  private readonly tests: Readonly<Record<string, EvidenceTest>>;
  private readonly maxCustomerShare: number;

  /** @param isSoleCustomer Whether only one customer may use the version. */
  constructor(
    readonly since: number,
    isSoleCustomer: boolean,
  ) {
    this.maxCustomerShare = isSoleCustomer ? 1 : MAX_CUSTOMER_SHARE;
    const createTest = (
      falseAlarmRate: number,
      restarts: boolean,
      maxSourceShare: number,
    ) => new EvidenceTest({falseAlarmRate, restarts, maxSourceShare});
    const {quality, comparison, errors, latency} = ROLLOUT_FALSE_ALARM_RATE;
    const change = CHANGE_FALSE_ALARM_RATE;
    this.tests = {
      quality: createTest(quality, false, this.maxCustomerShare),
      // Tests each rating against the bound of its kind.
      comparison: createTest(comparison, false, this.maxCustomerShare),
      change: createTest(change, true, this.maxCustomerShare),
      later_quality: createTest(change, true, this.maxCustomerShare),
      errors: createTest(errors, false, MAX_SERVER_SHARE),
      later_errors: createTest(change, true, MAX_SERVER_SHARE),
      latency: createTest(latency, false, MAX_SERVER_SHARE),
    };
  }

  // Commands.

  /** Adds one item of evidence. */
  observe(item: EvidenceItem, references: EvidenceReferences): void {
    if (item.type === 'rating') this.observeRating(item, references);
    else this.observeAttempt(item, references);
  }

  // Queries.

  /** Describes the first test that raises an alarm; undefined if none does. */
  findAlarm(): string | undefined {
    for (const [name, test] of Object.entries(this.tests)) {
      if (test.isAlarming) return describeAlarm(name, test);
    }
    for (const {kind, comparison, change, ratings} of this.kinds.values()) {
      const detail = `kind=${kind} mean=${ratings.mean.toFixed(3)}`;
      if (comparison.isAlarming) {
        return describeAlarm('comparison_of_kind', comparison, detail);
      }
      if (change.isAlarming)
        return describeAlarm('change_of_kind', change, detail);
    }
    return undefined;
  }

  /** Returns whether the evidence of any test is close to an alarm. */
  isSuspicious(): boolean {
    const tests = Object.values(this.tests);
    const kindTests = [...this.kinds.values()].flatMap(
      ({comparison, change}) => [comparison, change],
    );
    return [...tests, ...kindTests].some(
      test => test.logEvidence >= SUSPICIOUS_LOG_EVIDENCE,
    );
  }

  /** Counts the ratings of requests that were dispatched during a step. */
  countRatings(step: number): number {
    return this.ratingsByStep.get(step) ?? 0;
  }

  /** Lists the estimated quality by kind. */
  listQuality(version: string): QualitySummary[] {
    return [...this.kinds.values()]
      .filter(({ratings}) => ratings.count > 0)
      .map(({kind, ratings: {count, mean, variance}}) => ({
        version,
        kind,
        count,
        mean,
        variance,
      }));
  }

  private observeRating(
    item: RatingEvidence,
    {version, replaced}: EvidenceReferences,
  ): void {
    const {kind, customer, rating, step} = item;
    const isRollingOut = version.state === 'rolling_out';
    const reference = isRollingOut ? replaced?.kinds.get(kind) : undefined;
    const bound = reference?.computeComparisonBound();
    const evidence = this.getKind(kind);
    const changeBound = evidence?.computeChangeBound();
    if (changeBound !== undefined) {
      this.tests.change!.observe(rating, changeBound, customer);
    }
    evidence?.observeRating(rating, customer, bound);
    if (bound !== undefined) {
      this.tests.comparison!.observe(rating, bound, customer);
    }
    this.ratingsByStep.set(step, this.countRatings(step) + 1);
    const minQuality = version.rollout?.guard.minQuality;
    if (minQuality === undefined) return;
    const {quality, later_quality: later} = this.tests;
    if (isRollingOut) quality!.observe(rating, minQuality, customer);
    later!.observe(rating, minQuality, customer);
  }

  private observeAttempt(
    item: AttemptEvidence,
    {version, replaced, otherAttempts}: EvidenceReferences,
  ): void {
    const success = item.result === 'answered' ? 1 : 0;
    this.attempts.observe(success);
    const maxErrorRate = version.rollout?.guard.maxErrorRate;
    // A failing backend server or data centre affects every version on it, so only errors in excess
    // of those of the other versions at the same time count.
    const isComparable = otherAttempts.count >= MIN_REFERENCE_ATTEMPTS;
    if (maxErrorRate !== undefined && isComparable) {
      const {mean, standardError} = otherAttempts;
      const bound = Math.min(1 - maxErrorRate, mean - 2 * standardError);
      const {errors, later_errors: later} = this.tests;
      if (version.state === 'rolling_out') {
        errors!.observe(success, bound, item.server);
      }
      later!.observe(success, bound, item.server);
    }
    this.observeFirstToken(item, version, replaced);
  }

  private observeFirstToken(
    {firstTokenMs, kind, server}: AttemptEvidence,
    version: ConfiguredVersion,
    replaced: VersionEvidence | undefined,
  ): void {
    if (firstTokenMs === undefined) return;
    this.getKind(kind)?.observeFirstToken(firstTokenMs);
    if (version.state !== 'rolling_out') return;
    const usualMs = replaced?.kinds.get(kind)?.computeUsualFirstTokenMs();
    if (usualMs === undefined) return;
    const isInTime = firstTokenMs <= SLOW_FACTOR * usualMs ? 1 : 0;
    this.tests.latency!.observe(isInTime, 1 - MAX_SLOW_SHARE, server);
  }

  private getKind(kind: string): KindEvidence | undefined {
    const isFull = this.kinds.size >= MAX_KINDS && !this.kinds.has(kind);
    const key = isFull ? OTHER_KINDS : kind;
    const known = this.kinds.get(key);
    if (known) return known;
    const evidence = new KindEvidence(
      key,
      this.kinds.size,
      this.maxCustomerShare,
    );
    this.kinds.set(key, evidence);
    return evidence;
  }
}

function describeAlarm(
  name: string,
  test: EvidenceTest,
  detail?: string,
): string {
  const evidence = `test=${name} log_evidence=${test.logEvidence.toFixed(1)}`;
  return detail ? `${evidence} ${detail}` : evidence;
}
