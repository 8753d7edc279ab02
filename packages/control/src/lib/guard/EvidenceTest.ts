/** Bets as fractions of the largest bet that cannot reduce the wealth to zero. */
const BET_FRACTIONS = [0.05, 0.1, 0.2, 0.4, 0.65, 0.9] as const;
/** Larger bounds are reduced to this one, so that bets stay finite. */
const MAX_BOUND = 0.999;
const MAX_SOURCES = 256;
const OTHER_SOURCES = '(other)';

/** Settings of an EvidenceTest. @public */
export interface EvidenceTestOptions {
  /**
   * Probability that a false alarm ever occurs; with `restarts`, the inverse of the mean number of
   * observations between false alarms.
   */
  readonly falseAlarmRate: number;
  /** Whether wealth is reset when it falls below its start, to detect a change at any time. */
  readonly restarts: boolean;
  /** Share of the alarm's log evidence that one source may contribute; 1 for a sole source. */
  readonly maxSourceShare: number;
}

/**
 * Sequential test of the hypothesis that the mean of observations from 0 to 1 is at least a bound.
 * Its statistic is the mean wealth of several bettors against the hypothesis. Under the hypothesis
 * the wealth is a supermartingale, so by Ville's inequality it reaches 1/a with probability at most
 * a, at any stopping time and for any distribution. With restarts it is a CUSUM e-detector.
 *
 * Gains of a source beyond its share are ignored. This only lowers the wealth, so the false-alarm
 * rate still holds.
 *
 * @public
 */
export class EvidenceTest {
  private readonly wealth = BET_FRACTIONS.map(() => 0);
  private readonly gains = new Map<string, number[]>();
  private readonly alarmThreshold: number;

  constructor(private readonly options: EvidenceTestOptions) {
    this.alarmThreshold = -Math.log(options.falseAlarmRate);
  }

  /**
   * Adds one observation, with a bound that was fixed before it was made.
   *
   * @example
   * ```ts
   * test.observe(0.4, 0.85, 'customer-a');
   * ```
   */
  observe(value: number, bound: number, source: string): void {
    const mean = Math.min(bound, MAX_BOUND);
    if (mean <= 0) return;
    const gains = this.getGains(source);
    const maxGain = this.alarmThreshold * this.options.maxSourceShare;
    BET_FRACTIONS.forEach((fraction, index) => {
      const bet = fraction / (1 - mean);
      const gain = Math.log(1 + bet * (mean - value));
      const allowed = Math.min(gain, maxGain - gains[index]!);
      if (gain > 0 && allowed <= 0) return;
      gains[index]! += allowed;
      this.wealth[index]! += allowed;
      if (this.options.restarts && this.wealth[index]! < 0) this.restart(index);
    });
  }

  /** Natural logarithm of the evidence against the hypothesis. */
  get logEvidence(): number {
    const maxWealth = Math.max(...this.wealth);
    const sum = this.wealth.reduce(
      (total, wealth) => total + Math.exp(wealth - maxWealth),
      0,
    );
    return maxWealth + Math.log(sum / this.wealth.length);
  }

  /** Whether the evidence reaches the alarm threshold. */
  get isAlarming(): boolean {
    return this.logEvidence >= this.alarmThreshold;
  }

  private restart(index: number): void {
    this.wealth[index] = 0;
    for (const gains of this.gains.values()) gains[index] = 0;
  }

  private getGains(source: string): number[] {
    const isFull = this.gains.size >= MAX_SOURCES && !this.gains.has(source);
    const key = isFull ? OTHER_SOURCES : source;
    const known = this.gains.get(key);
    if (known) return known;
    const gains = BET_FRACTIONS.map(() => 0);
    this.gains.set(key, gains);
    return gains;
  }
}
