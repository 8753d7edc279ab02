/** Figures drawn from the records of a run. @internal */
import type {CallRecord} from '../load/runLoad.js';
import {computeQuantile} from '../load/computeStatistics.js';
import type {ScenarioRecord} from './runScenario.js';

const REFUSED_KINDS = new Set(['overloaded', 'rate_limited']);

/** Tells whether a whole answer arrived within its deadline. @internal */
export function isInTime({outcome, totalMs, arrival}: CallRecord): boolean {
  return outcome === 'ok' && totalMs <= arrival.kind.deadlineMs;
}

/** Tells whether a request was refused by admission. @internal */
export function isRefused({outcome}: CallRecord): boolean {
  return REFUSED_KINDS.has(outcome);
}

/** Tells whether a request asks for a model rather than for a plain service. @internal */
export function isModelRequest({arrival}: CallRecord): boolean {
  return !arrival.kind.service;
}

/** Tells whether a request is long model work. @internal */
export function isLongRequest({arrival}: CallRecord): boolean {
  return arrival.kind.kind === 'brief';
}

/** Tells whether a request is short model work. @internal */
export function isShortRequest(record: CallRecord): boolean {
  return isModelRequest(record) && !isLongRequest(record);
}

/** Computes the share of the records in time; 1 for none. @internal */
export function computeInTimeShare(records: readonly CallRecord[]): number {
  if (records.length === 0) return 1;
  return records.filter(isInTime).length / records.length;
}

/** Sums the answers' tokens of records. @internal */
export function sumOutputTokens(records: readonly CallRecord[]): number {
  return records.reduce((sum, {arrival}) => sum + arrival.outputTokens, 0);
}

/** Figures of one run that every experiment prints. @internal */
export function describeRun(run: ScenarioRecord) {
  const {records} = run;
  const short = records.filter(isShortRequest);
  const answered = short.filter(({outcome}) => outcome === 'ok');
  const outcomes: Record<string, number> = {};
  for (const {outcome} of records) {
    outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
  }
  const times = answered.map(({totalMs}) => totalMs);
  return {
    requests: records.length,
    outcomes,
    shortP50Ms: trimDecimals(computeQuantile(times, 0.5)),
    shortP99Ms: trimDecimals(computeQuantile(times, 0.99)),
    shortInTime: trimDecimals(computeInTimeShare(short)),
    longInTime: trimDecimals(computeInTimeShare(records.filter(isLongRequest))),
    extraWork: trimDecimals(computeExtraWork(run)),
    entryLoopDelayP99Ms: trimDecimals(run.entryLoopDelayP99Ms),
    engineLoopDelayP99Ms: trimDecimals(run.engineLoopDelayP99Ms),
  };
}

/** Computes the engines' tokens beyond those of answers delivered, as a share of these. @internal */
export function computeExtraWork({records, runs}: ScenarioRecord): number {
  const generated = runs.flat().reduce((sum, {tokens}) => sum + tokens, 0);
  const delivered = records
    .filter(isModelRequest)
    .reduce((sum, {tokens}) => sum + tokens, 0);
  return Math.max(0, generated / Math.max(delivered, 1) - 1);
}

/** Rounds to four decimals, for printing. @internal */
export function trimDecimals(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
