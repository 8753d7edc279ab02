/** Figures drawn from the records of a run. @internal */
import type {CallRecord} from '../load/runLoad.js';
import {computeQuantile} from '../load/computeStatistics.js';
import type {ScenarioRecord} from './runScenario.js';
import {CAPACITY_TOKENS_PER_MS} from './workload.js';

const BIN_MS = 20;
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
export function isModelWork({arrival}: CallRecord): boolean {
  return !arrival.kind.service;
}

/** Tells whether a request is long model work. @internal */
export function isLongWork({arrival}: CallRecord): boolean {
  return arrival.kind.kind === 'brief';
}

/** Tells whether a request is short model work. @internal */
export function isShortWork(record: CallRecord): boolean {
  return isModelWork(record) && !isLongWork(record);
}

/** Computes the share of the records in time; 1 for none. @internal */
export function computeInTimeShare(records: readonly CallRecord[]): number {
  if (records.length === 0) return 1;
  return records.filter(isInTime).length / records.length;
}

/** Sums the answers' tokens of records. @internal */
export function sumTokens(records: readonly CallRecord[]): number {
  return records.reduce((sum, {arrival}) => sum + arrival.outputTokens, 0);
}

/**
 * Computes the tokens that the engines could at most have generated within the deadlines of their
 * requests: one server of the fleet's whole speed that always works on the earliest deadline and
 * drops work whose deadline has passed. No real policy reaches it, since an answer is generated one
 * token after another.
 *
 * @internal
 */
export function computePossibleTokens(records: readonly CallRecord[]): number {
  const waiting: Array<{deadlineAt: number; tokens: number}> = [];
  const arrivals = records
    .filter(isModelWork)
    .map(({arrival}) => arrival)
    .sort((left, right) => left.atMs - right.atMs);
  let next = 0;
  let possible = 0;
  for (let now = 0; next < arrivals.length || waiting.length > 0;) {
    now += BIN_MS;
    while (arrivals[next] && arrivals[next]!.atMs <= now) {
      const {atMs, kind, outputTokens} = arrivals[next]!;
      waiting.push({deadlineAt: atMs + kind.deadlineMs, tokens: outputTokens});
      next += 1;
    }
    waiting.sort((left, right) => left.deadlineAt - right.deadlineAt);
    while (waiting[0] && waiting[0].deadlineAt < now) waiting.shift();
    let left = CAPACITY_TOKENS_PER_MS * BIN_MS;
    while (waiting[0] && left > 0) {
      const taken = Math.min(left, waiting[0].tokens);
      waiting[0].tokens -= taken;
      left -= taken;
      possible += taken;
      if (waiting[0].tokens <= 0) waiting.shift();
    }
  }
  return possible;
}

/** Figures of one run that every experiment prints. @internal */
export function describeRun(run: ScenarioRecord) {
  const {records} = run;
  const short = records.filter(isShortWork);
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
    longInTime: trimDecimals(computeInTimeShare(records.filter(isLongWork))),
    extraWork: trimDecimals(computeExtraWork(run)),
    entryLoopDelayP99Ms: trimDecimals(run.entryLoopDelayP99Ms),
    engineLoopDelayP99Ms: trimDecimals(run.engineLoopDelayP99Ms),
  };
}

/** Computes the engines' tokens beyond those of answers delivered, as a share of these. @internal */
export function computeExtraWork({records, runs}: ScenarioRecord): number {
  const generated = runs.flat().reduce((sum, {tokens}) => sum + tokens, 0);
  const delivered = records
    .filter(isModelWork)
    .reduce((sum, {tokens}) => sum + tokens, 0);
  return Math.max(0, generated / Math.max(delivered, 1) - 1);
}

/** Rounds to four decimals, for printing. @internal */
export function trimDecimals(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
