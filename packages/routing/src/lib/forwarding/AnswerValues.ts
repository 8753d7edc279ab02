/** Part of an answer's value that does not depend on the size of the request. */
const FIXED_FRACTION = 0.3;
/** What an answer token adds to the size of a request, relative to a prompt token. */
const ANSWER_TOKEN_WEIGHT = 10;
/** Weight of the newest request in the typical sizes. */
const GAIN = 0.02;
/** Maximum number of routes that are tracked. */
const MAX_ROUTES = 2_000;
const TOKENS_PER_PRICE = 1_000;

/** Prompt and answer length of a request, in tokens. @public */
export interface RequestSize {
  readonly promptTokens: number;
  /** The maximum that the caller allows. */
  readonly answerTokens: number;
}

interface TypicalSize {
  answerTokens: number;
  total: number;
}

/**
 * Estimates what a good answer is worth: by the typical answer length of its route, and by the size
 * of the request relative to the typical size there.
 *
 * @public
 */
export class AnswerValues {
  private readonly typicalSizes = new Map<string, TypicalSize>();

  /** Expects the value of a thousand answer tokens, in the unit of the models' prices. */
  constructor(private readonly valuePerThousand: number) {}

  /** Records the size of a request. */
  record(route: string, size: RequestSize): void {
    const known = this.typicalSizes.get(route);
    if (!known && this.typicalSizes.size >= MAX_ROUTES) return;
    const {answerTokens} = size;
    const total = computeTotal(size);
    const typical = known ?? {answerTokens, total};
    typical.answerTokens += (answerTokens - typical.answerTokens) * GAIN;
    typical.total += (total - typical.total) * GAIN;
    this.typicalSizes.set(route, typical);
  }

  /** Estimates the value of a good answer to a request of the given size. */
  estimateValue(route: string, size: RequestSize): number {
    const total = computeTotal(size);
    const {answerTokens} = size;
    const typical = this.typicalSizes.get(route) ?? {answerTokens, total};
    const relativeSize = total / Math.max(1, typical.total);
    const scale = FIXED_FRACTION + (1 - FIXED_FRACTION) * relativeSize;
    const typicalValue =
      (typical.answerTokens / TOKENS_PER_PRICE) * this.valuePerThousand;
    return typicalValue * scale;
  }
}

function computeTotal({promptTokens, answerTokens}: RequestSize): number {
  return promptTokens + ANSWER_TOKEN_WEIGHT * answerTokens;
}
