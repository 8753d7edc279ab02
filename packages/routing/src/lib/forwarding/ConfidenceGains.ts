/** Assumed gain of the largest model over any other one before the first observation. */
const LARGEST_GAIN = 50;
/** Assumed gain of another model over a smaller one before the first observation. */
const STEP_GAIN = 17;
/** Number of observations that the assumed gain counts for. */
const PRIOR_WEIGHT = 20;
/** Number of observations after which older ones lose weight. */
const MAX_WEIGHT = 200;
/** Confidences outside these bounds are cut off at 0 or 100 and show only part of the gain. */
const MIN_CONFIDENCE = 10;
const MAX_CONFIDENCE = 95;
/** Maximum number of pairs of models that are tracked. */
const MAX_PAIRS = 1_000;

interface Gain {
  mean: number;
  weight: number;
}

/**
 * Learns how much more confident a larger model is than a smaller one that answered the same
 * request.
 *
 * @public
 */
export class ConfidenceGains {
  private readonly gains = new Map<string, Gain>();

  /** Records the confidences of two models in their answers to one request. */
  record(
    pair: {readonly smaller: string; readonly larger: string},
    smallerConfidence: number,
    largerConfidence: number,
    isLargest: boolean,
  ): void {
    if (smallerConfidence < MIN_CONFIDENCE) return;
    if (largerConfidence > MAX_CONFIDENCE) return;
    const key = `${pair.smaller} ${pair.larger}`;
    const known = this.gains.get(key);
    if (!known && this.gains.size >= MAX_PAIRS) return;
    const gain = known ?? buildPrior(isLargest);
    gain.weight = Math.min(MAX_WEIGHT, gain.weight + 1);
    const seen = largerConfidence - smallerConfidence;
    gain.mean += (seen - gain.mean) / gain.weight;
    this.gains.set(key, gain);
  }

  /** Estimates the gain of a larger model over a smaller one. */
  estimateGain(smaller: string, larger: string, isLargest: boolean): number {
    return (this.gains.get(`${smaller} ${larger}`) ?? buildPrior(isLargest))
      .mean;
  }
}

function buildPrior(isLargest: boolean): Gain {
  return {mean: isLargest ? LARGEST_GAIN : STEP_GAIN, weight: PRIOR_WEIGHT};
}
