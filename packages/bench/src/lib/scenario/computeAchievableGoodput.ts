import type {Arrival} from '../load/arrivals.js';
import {ENGINE_COUNT, ENGINE_SPEED} from './workload.js';

const SLOT_COUNT = ENGINE_COUNT * ENGINE_SPEED.slots;
const TOKEN_MS =
  ENGINE_SPEED.stepMs + (ENGINE_SPEED.slots - 1) * ENGINE_SPEED.stepMsPerJob;

/** Tokens and requests that could be completed within their deadlines. @public */
export interface AchievableGoodput {
  readonly tokens: number;
  readonly requests: number;
}

interface Job {
  readonly arrival: Arrival;
  readonly runMs: number;
  readonly deadlineAt: number;
}

/** Keys by which a schedule selects the next waiting job; the lowest key is selected first. */
const SCHEDULING_KEYS: ReadonlyArray<(job: Job) => number> = [
  ({arrival}) => arrival.atMs,
  ({deadlineAt}) => deadlineAt,
  ({deadlineAt, runMs}) => deadlineAt - runMs,
  ({runMs}) => runMs,
  ({runMs}) => -runMs,
];

/**
 * Computes the goodput that the engines' slots allow: the best result of several schedules over one
 * queue. Each schedule knows the length of every answer in advance, adds no delay between router
 * and engine, and drops a job as soon as it cannot finish by its deadline. The tokens and the
 * requests may come from different schedules.
 *
 * @example
 * ```ts
 * computeAchievableGoodput(arrivals).tokens;
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
  const goodputs = SCHEDULING_KEYS.map(getKey =>
    simulateSchedule(jobs, getKey),
  );
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
    deadlineAt: atMs + kind.deadlineMs,
  };
}

function simulateSchedule(
  jobs: readonly Job[],
  getKey: (job: Job) => number,
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
    waiting = waiting.filter(
      ({deadlineAt, runMs}) => now + runMs <= deadlineAt,
    );
    if (waiting.length === 0) continue;
    const selected = waiting.reduce((best, job) =>
      getKey(job) < getKey(best) ? job : best,
    );
    waiting.splice(waiting.indexOf(selected), 1);
    slotFreeAt[slot] = now + selected.runMs;
    tokens += selected.arrival.outputTokens;
    requests += 1;
  }
  return {tokens, requests};
}
