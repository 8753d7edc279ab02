import {DemandTable, NO_DEMAND, ServiceDemand} from '@sycamorehead/routing';
import type {ExchangeRequest} from './fleetMessages.js';

/**
 * Completes a brief report by what the same entry told in its last report: a brief one leaves out what
 * changes slowly. Its load stays as it is.
 *
 * @example
 * ```ts
 * completeReport(brief, last).demand?.drafts?.customers; // as in the last report
 * ```
 * @internal
 */
export function completeReport(
  brief: ExchangeRequest,
  last: ExchangeRequest,
): ExchangeRequest {
  return {
    ...brief,
    prefill: last.prefill,
    demand: completeDemand(brief, last),
  };
}

function completeDemand(
  {waiting = {}}: ExchangeRequest,
  last: ExchangeRequest,
): DemandTable {
  const demand: Record<string, ServiceDemand> = {};
  for (const service of Object.keys(waiting)) {
    const {customers, outcomes} = last.demand?.[service] ?? NO_DEMAND;
    const {placesPerSecond, waiting: counts} = waiting[service] ?? NO_DEMAND;
    demand[service] = {placesPerSecond, waiting: counts, customers, outcomes};
  }
  return demand;
}
