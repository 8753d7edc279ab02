import type {Arrival} from '../load/arrivals.js';
import {ENGINE_COUNT, ENGINE_SPEED} from './workload.js';

const SLOT_COUNT = ENGINE_COUNT * ENGINE_SPEED.slots;
const TOKEN_MS =
  ENGINE_SPEED.stepMs + (ENGINE_SPEED.slots - 1) * ENGINE_SPEED.stepMsPerJob;

/** Work and requests that could be answered in time. @public */
export interface AchievableGoodput {
  readonly tokens: number;
  readonly requests: number;
}

interface Job {
  readonly arrival: Arrival;
  readonly runMs: number;
  readonly endBy: number;
}

/** Orders in which a schedule may take waiting work; the lowest comes first. */
const SCHEDULING_KEYS: ReadonlyArray<(job: Job) => number> = [
  ({arrival}) => arrival.atMs,
  ({endBy}) => endBy,
  ({endBy, runMs}) => endBy - runMs,
  ({runMs}) => runMs,
  ({runMs}) => -runMs,
];

/**
 * Computes what the engines' slots allow: the best of several schedules over one queue that knows
 * each answer's length beforehand, loses no time between router and engine, and drops at once what
 * cannot end by its deadline. Tokens and requests are each the best of their own schedule.
 *
 * @example
 * ```ts
 * computePossible(arrivals).tokens;
 * ```
 * @public
 */
export function computeAchievableGoodput(
  arrivals: readonly Arrival[],
): AchievableGoodput {
  const jobs = arrivals
    .filter(({kind}) => !kind.service)
    .sort((left, right) => left.atMs - right.atMs)
    .map(arrival => createJob(arrival));
  const goodputs = SCHEDULING_KEYS.map(order => simulateSchedule(jobs, order));
  return {
    tokens: Math.max(...goodputs.map(({tokens}) => tokens)),
    requests: Math.max(...goodputs.map(({requests}) => requests)),
  };
}

function createJob(arrival: Arrival): Job {
  const {promptTokens, outputTokens, kind, atMs} = arrival;
  const prefillMs = promptTokens / ENGINE_SPEED.prefillTokensPerMs;
  return {
    arrival,
    runMs: prefillMs + outputTokens * TOKEN_MS,
    endBy: atMs + kind.deadlineMs,
  };
}

function simulateSchedule(
  jobs: readonly Job[],
  order: (job: Job) => number,
): AchievableGoodput {
  const slotFreeAt = new Array<number>(SLOT_COUNT).fill(0);
  let waiting: Job[] = [];
  let next = 0;
  let tokens = 0;
  let requests = 0;
  while (next < jobs.length || waiting.length > 0) {
    const slot = slotFreeAt.indexOf(Math.min(...slotFreeAt));
    const upcoming = jobs[next]?.arrival.atMs ?? Infinity;
    const now =
      waiting.length > 0
        ? slotFreeAt[slot]!
        : Math.max(slotFreeAt[slot]!, upcoming);
    for (; next < jobs.length && jobs[next]!.arrival.atMs <= now; next++) {
      waiting.push(jobs[next]!);
    }
    waiting = waiting.filter(({endBy, runMs}) => now + runMs <= endBy);
    if (waiting.length === 0) continue;
    const selected = waiting.reduce((best, job) =>
      order(job) < order(best) ? job : best,
    );
    waiting.splice(waiting.indexOf(selected), 1);
    slotFreeAt[slot] = now + selected.runMs;
    tokens += selected.arrival.outputTokens;
    requests += 1;
  }
  return {tokens, requests};
}
