import {DemandTable, NO_DEMAND, ServiceDemand} from '@sycamorehead/routing';
import type {ExchangeRequest, ServerLoad} from './fleetMessages.js';
import {BRIEF_NUMBERS} from './serverLoad.js';

const NO_LOAD: ServerLoad = [0, 0];

/**
 * Completes a brief report by what the same entry told in its last report: a brief one leaves out what
 * changes slowly.
 *
 * @example
 * ```ts
 * completeReport({...brief, load: {s1: [2, 100]}}, {...last, load: {s1: [1, 50, 1, 9, 8, 7, 6]}}).load;
 * // {s1: [2, 100, 0, 0, 8, 7, 6]}
 * ```
 * @internal
 */
export function completeReport(
  brief: ExchangeRequest,
  last: ExchangeRequest,
): ExchangeRequest {
  return {
    ...brief,
    load: completeLoad(brief, last),
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

function completeLoad(
  brief: ExchangeRequest,
  last: ExchangeRequest,
): ExchangeRequest['load'] {
  const load: Record<string, ServerLoad> = {...brief.load};
  for (const id of Object.keys(last.load)) {
    const told = last.load[id] ?? NO_LOAD;
    if (told.length <= BRIEF_NUMBERS) continue;
    const now = brief.load[id] ?? NO_LOAD;
    load[id] = [
      now[0],
      now[1],
      now[2] ?? 0,
      now[3] ?? 0,
      told[4] ?? 0,
      told[5] ?? 0,
      told[6] ?? 0,
    ];
  }
  return load;
}
