/** Figures computed from the records of a run. @internal */
import type {CallRecord} from '../load/runLoad.js';
import {computeQuantile} from '../load/computeStatistics.js';
import type {ScenarioRecord} from './runScenario.js';

const REFUSED_KINDS = new Set(['overloaded', 'rate_limited']);

/** Returns whether a complete answer arrived within its deadline. @internal */
export function isInTime({outcome, totalMs, arrival}: CallRecord): boolean {
  return outcome === 'ok' && totalMs <= arrival.kind.deadlineMs;
}

/** Returns whether admission control refused a request. @internal */
export function isRefused({outcome}: CallRecord): boolean {
  return REFUSED_KINDS.has(outcome);
}

/** Returns whether a request calls a model, not a plain service. @internal */
export function isModelRequest({arrival}: CallRecord): boolean {
  return !arrival.kind.service;
}

/** Returns whether a request is a long model request. @internal */
export function isLongRequest({arrival}: CallRecord): boolean {
  return arrival.kind.kind === 'brief';
}

/** Returns whether a request is a short model request. @internal */
export function isShortRequest(record: CallRecord): boolean {
  return isModelRequest(record) && !isLongRequest(record);
}

/** Computes the share of requests answered within their deadline; 1 without records. @internal */
export function computeInTimeShare(records: readonly CallRecord[]): number {
  if (records.length === 0) return 1;
  return records.filter(isInTime).length / records.length;
}

/** Sums the output tokens that the requests of the records ask for. @internal */
export function sumOutputTokens(records: readonly CallRecord[]): number {
  return records.reduce((sum, {arrival}) => sum + arrival.outputTokens, 0);
}

/** Returns the figures that the experiments with this workload print for each run. @internal */
export function describeRun(run: ScenarioRecord) {
  const {records} = run;
  const shortRequests = records.filter(isShortRequest);
  const answered = shortRequests.filter(({outcome}) => outcome === 'ok');
  const outcomes: Record<string, number> = {};
  for (const {outcome} of records) {
    outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
  }
  const answerTimes = answered.map(({totalMs}) => totalMs);
  return {
    requests: records.length,
    outcomes,
    shortP50Ms: trimDecimals(computeQuantile(answerTimes, 0.5)),
    shortP99Ms: trimDecimals(computeQuantile(answerTimes, 0.99)),
    shortInTime: trimDecimals(computeInTimeShare(shortRequests)),
    longInTime: trimDecimals(computeInTimeShare(records.filter(isLongRequest))),
    extraWork: trimDecimals(computeExtraWork(run)),
    entryLoopDelayP99Ms: trimDecimals(run.entryLoopDelayP99Ms),
    engineLoopDelayP99Ms: trimDecimals(run.engineLoopDelayP99Ms),
  };
}

/** Computes the tokens generated but not delivered, relative to those delivered. @internal */
export function computeExtraWork({records, runs}: ScenarioRecord): number {
  const generated = runs.flat().reduce((sum, {tokens}) => sum + tokens, 0);
  const delivered = records
    .filter(isModelRequest)
    .reduce((sum, {tokens}) => sum + tokens, 0);
  return Math.max(0, generated / Math.max(delivered, 1) - 1);
}

/** Rounds to four decimals for printing. @internal */
export function trimDecimals(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
