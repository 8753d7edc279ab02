import type {Bill, Usage} from '@sycamorehead/schema';
import {formatVersionKey} from '@sycamorehead/schema';
import type {Charge} from './answerTypes.js';

/** Input of `computeModelBill`. @public */
export interface BillInput {
  readonly requestKey: string;
  readonly requestId: string;
  readonly customer: string;
  readonly revision: number;
  /** The work that was run. The version of the last charge becomes the item of the bill. */
  readonly charges: readonly Charge[];
}

/**
 * Computes the bill of a model answer, which covers all versions that were run for it. Prices are
 * in currency units per million tokens, which equals micro-units per token.
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
