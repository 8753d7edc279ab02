/** Confidence at which an answer is as likely to be too weak as to be good enough. */
const EVEN_CONFIDENCE = 40;
/** Spread of the logistic curve; the noise of a confidence is about 1.7 times as large. */
const CONFIDENCE_SPREAD = 4;

/**
 * Estimates the probability that an answer is good enough from the model's confidence in it, 0 to
 * 100; an extrapolated confidence may lie outside that range.
 *
 * @example
 * ```ts
 * estimateQuality(40); // 0.5
 * ```
 * @public
 */
export function estimateQuality(confidence: number): number {
  const distance = (confidence - EVEN_CONFIDENCE) / CONFIDENCE_SPREAD;
  return 1 / (1 + Math.exp(-distance));
}
