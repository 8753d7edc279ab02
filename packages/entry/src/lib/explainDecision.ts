import {formatVersionKey, isSameKey} from '@sycamorehead/schema';
import type {Candidate} from '@sycamorehead/routing';
import type {HttpExchange} from './HttpExchange.js';
import type {ResolvedVersion} from './VersionResolver.js';

const KEY_HEADER = 'sycamorehead-debug';
const ANSWER_HEADER = 'Sycamorehead-Decision';
const MAX_HEADER_LENGTH = 4_096;
const DIGITS = 3;

/**
 * Tells an operator, in a header of the answer, why a version was chosen. Callers without the
 * debug key get nothing; the comparison takes the same time for every key.
 *
 * @example
 * ```ts
 * explainDecision(exchange, resolved, 'debug-key');
 * ```
 * @internal
 */
export function explainDecision(
  exchange: HttpExchange,
  {version, decision}: ResolvedVersion,
  debugKey: string | undefined,
): void {
  const given = exchange.request.headers[KEY_HEADER];
  if (!debugKey || typeof given !== 'string') return;
  if (!isSameKey(given, debugKey)) return;
  const choice = formatVersionKey(version);
  const isOwnChoice = decision && formatVersionKey(decision.choice) === choice;
  const text = JSON.stringify({
    choice,
    reason: isOwnChoice ? decision.reason : "the session's pin",
    candidates: decision?.candidates.map(describeCandidate) ?? [],
  });
  exchange.response.setHeader(ANSWER_HEADER, text.slice(0, MAX_HEADER_LENGTH));
}

function describeCandidate({name, score, quality, ruledOut}: Candidate) {
  return {
    name,
    cost: formatNumber(score),
    ...(quality && {
      mean: formatNumber(quality.mean),
      lower: formatNumber(quality.lower),
      upper: formatNumber(quality.upper),
      ratings: Math.round(quality.count),
    }),
    ruledOut,
  };
}

function formatNumber(value: number): number {
  return Number(value.toFixed(DIGITS));
}
