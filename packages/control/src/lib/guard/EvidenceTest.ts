/** Bets as fractions of the greatest one that cannot ruin the wealth. */
const BET_FRACTIONS = [0.05, 0.1, 0.2, 0.4, 0.65, 0.9] as const;
/** Bounds above this are taken as this, so that bets stay finite. */
const MAX_BOUND = 0.999;
const MAX_SOURCES = 256;
const OTHER_SOURCES = '(other)';

/** Settings of an EvidenceTest. @public */
export interface EvidenceTestOptions {
  /**
   * Probability of a false alarm ever; with `restarts`, the inverse of the mean number of
   * observations between false alarms.
   */
  readonly falseAlarmRate: number;
  /** Whether wealth never falls below its start, to find a change at any later time. */
  readonly restarts: boolean;
  /** Share of the alarm's log evidence that one source may bring; 1 where there is one only. */
  readonly maxSourceShare: number;
}

/**
 * Sequential test that the mean of observations from 0 to 1 is at least a bound: the mean wealth
 * of several bettors against it. Under the hypothesis the wealth is a supermartingale, so by
 * Ville's inequality it reaches 1/a with probability a at most, whenever one looks and whatever
 * the distribution. With restarts it is an e-detector of the CUSUM form.
 *
 * Gains that a source brings beyond its share are left out. That only lowers the wealth, so the
 * false-alarm rate holds.
 *
 * @public
 */
export class EvidenceTest {
  private readonly wealth = BET_FRACTIONS.map(() => 0);
  private readonly gains = new Map<string, number[]>();
  private readonly alarmAt: number;

  constructor(private readonly options: EvidenceTestOptions) {
    this.alarmAt = -Math.log(options.falseAlarmRate);
  }

  /**
   * Takes one observation against a bound that was fixed before it.
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
    const maxGain = this.alarmAt * this.options.maxSourceShare;
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

  /** Natural logarithm of the evidence against the bound. */
  get logEvidence(): number {
    const top = Math.max(...this.wealth);
    const sum = this.wealth.reduce(
      (total, wealth) => total + Math.exp(wealth - top),
      0,
    );
    return top + Math.log(sum / this.wealth.length);
  }

  /** Whether the evidence suffices for an alarm. */
  get isAlarming(): boolean {
    return this.logEvidence >= this.alarmAt;
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
