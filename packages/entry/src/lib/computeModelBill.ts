import type {Bill, Usage} from '@sycamorehead/schema';
import {formatVersionKey} from '@sycamorehead/schema';
import type {Charge} from './answerTypes.js';

/** What a bill of a model answer is computed from. @public */
export interface BillInput {
  readonly requestKey: string;
  readonly requestId: string;
  readonly customer: string;
  readonly revision: number;
  /** What was run; the last one names the bill. */
  readonly charges: readonly Charge[];
}

/**
 * Computes the one bill of a model answer, whatever number of versions it took. Prices are
 * currency units for a million tokens, which is micro-units for one token.
 *
 * @example
 * ```ts
 * computeModelBill({requestKey, requestId, customer, revision, charges: [{version, usage}]});
 * ```
 * @public
 */
export function computeModelBill(input: BillInput): Bill {
  const {requestKey, requestId, customer, revision, charges} = input;
  const amount = charges.reduce(
    (sum, {version, usage}) =>
      sum +
      usage.prompt_tokens * version.inputPrice +
      usage.completion_tokens * version.outputPrice,
    0,
  );
  const last = charges[charges.length - 1];
  return {
    requestKey,
    requestId,
    customer,
    item: last ? formatVersionKey(last.version) : '',
    usage: sumUsage(charges.map(({usage}) => usage)),
    amountMicros: Math.round(amount),
    revision,
  };
}

function sumUsage(usages: readonly Usage[]): Usage {
  const sum = (read: (usage: Usage) => number) =>
    usages.reduce((total, usage) => total + read(usage), 0);
  return {
    prompt_tokens: sum(usage => usage.prompt_tokens),
    completion_tokens: sum(usage => usage.completion_tokens),
    cached_tokens: sum(usage => usage.cached_tokens ?? 0),
  };
}
