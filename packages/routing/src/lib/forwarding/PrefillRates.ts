/** The prefill time assumed before the first measurement, in milliseconds per token. */
const DEFAULT_MS_PER_TOKEN = 0.015;
/** Weight of the newest measurement. */
const GAIN = 0.1;
/**
 * Minimum prompt length of a measurement, in tokens; the response time of shorter prompts is mostly
 * fixed.
 */
const MIN_TOKENS = 500;
/** Minimum of a plausible measurement, in milliseconds per token. */
const MIN_MS_PER_TOKEN = 0.0005;
/** Maximum of a plausible measurement, in milliseconds per token. */
const MAX_MS_PER_TOKEN = 0.5;
/** Maximum number of models that are tracked. */
const MAX_MODELS = 1_000;

/**
 * Learns the prefill time per prompt token of each model from the time to the first event of
 * requests that did not compete for prefill on their server.
 *
 * @public
 */
export class PrefillRates {
  private readonly logRates = new Map<string, number>();

  /** Records the time to the first event of a prompt that no other prefill delayed. */
  recordPrefill(model: string, tokens: number, timeMs: number): void {
    if (tokens < MIN_TOKENS || timeMs <= 0) return;
    const rate = Math.min(
      MAX_MS_PER_TOKEN,
      Math.max(MIN_MS_PER_TOKEN, timeMs / tokens),
    );
    const known = this.logRates.get(model);
    if (known === undefined && this.logRates.size >= MAX_MODELS) return;
    const next =
      known === undefined
        ? Math.log(rate)
        : known + (Math.log(rate) - known) * GAIN;
    this.logRates.set(model, next);
  }

  /** Estimates the prefill time of prompt tokens, in milliseconds. */
  estimateMs(model: string, tokens: number): number {
    const known = this.logRates.get(model);
    const rate = known === undefined ? DEFAULT_MS_PER_TOKEN : Math.exp(known);
    return tokens * rate;
  }
}
