import type {LoadTable, ServerLoad} from './fleetMessages.js';

/**
 * Adds the load of others to that of servers.
 *
 * @example
 * ```ts
 * addLoad(sum, {s1: [2, 100]});
 * ```
 * @internal
 */
export function addLoad(
  sum: Record<string, ServerLoad>,
  load: LoadTable,
): void {
  for (const [id, part] of Object.entries(load)) {
    sum[id] = mergeLoad(sum[id] ?? [0, 0], part, (left, right) => left + right);
  }
}

/**
 * Computes the load without a part of it; servers of which nothing is left are left out.
 *
 * @example
 * ```ts
 * computeOthersLoad({s1: [5, 100]}, {s1: [2, 60]}); // {s1: [3, 40]}
 * ```
 * @internal
 */
export function computeOthersLoad(load: LoadTable, part: LoadTable): LoadTable {
  const rest: Record<string, ServerLoad> = {};
  for (const [id, total] of Object.entries(load)) {
    const own = part[id] ?? [0, 0];
    const left = mergeLoad(total, own, (sum, mine) => sum - mine);
    const [inFlight, , active = 0, , , answers = 0] = left;
    if (inFlight <= 0 && active <= 0 && answers <= 0) continue;
    rest[id] = left;
  }
  return rest;
}

/**
 * Builds the load of a server without the numbers at the end that are 0, except for the first two.
 *
 * @example
 * ```ts
 * buildServerLoad([2, 100, 0, 0]); // [2, 100]
 * ```
 * @public
 */
export function buildServerLoad(numbers: readonly number[]): ServerLoad {
  const [inFlight = 0, pendingMs = 0, ...optional] = numbers;
  while (optional.at(-1) === 0) optional.pop();
  const [active, heldTokens, readTokens, answers, logRatios] = optional;
  if (active === undefined) return [inFlight, pendingMs];
  if (heldTokens === undefined) return [inFlight, pendingMs, active];
  return [
    inFlight,
    pendingMs,
    active,
    heldTokens,
    readTokens ?? 0,
    answers ?? 0,
    logRatios ?? 0,
  ];
}

function mergeLoad(
  left: ServerLoad,
  right: ServerLoad,
  compute: (left: number, right: number) => number,
): ServerLoad {
  const numbers: number[] = [];
  const length = Math.max(left.length, right.length);
  for (let index = 0; index < length; index += 1) {
    numbers.push(compute(left[index] ?? 0, right[index] ?? 0));
  }
  return buildServerLoad(numbers);
}
