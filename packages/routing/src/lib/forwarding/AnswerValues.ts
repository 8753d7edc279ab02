/** Part of an answer's value that does not depend on its length. */
const FIXED_FRACTION = 0.3;
/** Weight of the newest request in the typical length. */
const GAIN = 0.02;
/** Maximum number of routes that are tracked. */
const MAX_ROUTES = 2_000;
const TOKENS_PER_PRICE = 1_000;

/**
 * Estimates what a good answer is worth, from its maximum length and the typical one on its route.
 *
 * @public
 */
export class AnswerValues {
  private readonly typicalTokens = new Map<string, number>();

  /** Expects the value of a thousand answer tokens, in the unit of the models' prices. */
  constructor(private readonly valuePerThousand: number) {}

  /** Records the maximum answer length of a request. */
  record(route: string, tokens: number): void {
    const known = this.typicalTokens.get(route);
    if (known === undefined && this.typicalTokens.size >= MAX_ROUTES) return;
    const mean = known ?? tokens;
    this.typicalTokens.set(route, mean + (tokens - mean) * GAIN);
  }

  /** Estimates the value of a good answer of at most the given length. */
  estimateValue(route: string, tokens: number): number {
    const typical = this.typicalTokens.get(route) ?? tokens;
    const weighted = FIXED_FRACTION * typical + (1 - FIXED_FRACTION) * tokens;
    return (weighted / TOKENS_PER_PRICE) * this.valuePerThousand;
  }
}
