import type {RequestSize} from '@sycamorehead/routing';

/** What a prompt token costs a server, as a fraction of an answer token. */
const PROMPT_TOKEN_WORK = 0.25;
/** Maximum work that one request counts as, in answer tokens: shares rest on what callers tell. */
const MAX_WORK = 1_000_000;

/**
 * Computes what a request costs a server, in answer tokens.
 *
 * @example
 * ```ts
 * computeWork({promptTokens: 800, answerTokens: 50}); // 250
 * ```
 * @internal
 */
export function computeWork({promptTokens, answerTokens}: RequestSize): number {
  return Math.min(MAX_WORK, answerTokens + promptTokens * PROMPT_TOKEN_WORK);
}
