/** Reading time assumed before the first measurement, in milliseconds a token. */
const DEFAULT_MS_PER_TOKEN = 0.015;
/** Weight of the newest measurement. */
const GAIN = 0.1;
/** Prompts shorter than this say more of the fixed part of an answer than of reading. */
const MIN_TOKENS = 500;
/** Bounds of a believable measurement, in milliseconds a token. */
const MIN_MS_PER_TOKEN = 0.0005;
const MAX_MS_PER_TOKEN = 0.5;
/** Models remembered. */
const MAX_MODELS = 1_000;

/**
 * How long engines take to read a token of a prompt, by model, learned from first events of
 * requests that had a server's reading to themselves.
 *
 * @public
 */
export class PrefillRates {
  private readonly logRates = new Map<string, number>();

  /** Takes the time to the first event of a prompt that nothing waited before. */
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

  /** Estimates the time to read tokens, in milliseconds. */
  estimateMs(model: string, tokens: number): number {
    const known = this.logRates.get(model);
    const rate = known === undefined ? DEFAULT_MS_PER_TOKEN : Math.exp(known);
    return tokens * rate;
  }
}
