import type {Bill, ConfiguredVersion, Usage} from '@sycamorehead/schema';
import {formatVersionKey} from '@sycamorehead/schema';

/**
 * Computes the bill of a model answer. Prices are currency units for a million tokens, which is
 * micro-units for one token.
 *
 * @example
 * ```ts
 * computeModelBill('r1', 'c', version, {prompt_tokens: 10, completion_tokens: 5}, 3);
 * ```
 * @public
 */
export function computeModelBill(
  requestKey: string,
  customer: string,
  version: ConfiguredVersion,
  usage: Usage,
  revision: number,
): Bill {
  const amount =
    usage.prompt_tokens * version.inputPrice +
    usage.completion_tokens * version.outputPrice;
  return {
    requestKey,
    customer,
    item: formatVersionKey(version),
    usage,
    amountMicros: Math.round(amount),
    revision,
  };
}
