import type {LoadTable, ServerLoad} from './fleetMessages.js';

/** Numbers in the load of a server. @internal */
export const LOAD_NUMBERS = 7;

/** The first of them, which brief reports and replies have. @internal */
export const BRIEF_NUMBERS = 4;

/** Sums of the numbers of `ServerLoad`, by server id. Reports are added in place, many times a second. @internal */
export type LoadSums = Map<string, number[]>;

/** What one entry has told of its load. @internal */
export interface ToldLoad {
  readonly load: LoadTable;
  /** The last load that was told in full, if a brief one has followed. */
  readonly fullLoad?: LoadTable | undefined;
}

/**
 * Adds the load of others to that of servers; of a brief report the first numbers, the others from the
 * last full one.
 *
 * @example
 * ```ts
 * addLoad(sums, {load: {s1: [2, 100]}});
 * ```
 * @internal
 */
export function addLoad(sums: LoadSums, {load, fullLoad}: ToldLoad): void {
  if (!fullLoad) {
    addNumbers(sums, load, 0, LOAD_NUMBERS);
    return;
  }
  addNumbers(sums, load, 0, BRIEF_NUMBERS);
  addNumbers(sums, fullLoad, BRIEF_NUMBERS, LOAD_NUMBERS);
}

function addNumbers(
  sums: LoadSums,
  load: LoadTable,
  from: number,
  to: number,
): void {
  for (const id of Object.keys(load)) {
    const part = load[id];
    if (!part || part.length <= from) continue;
    let sum = sums.get(id);
    if (!sum) {
      sum = [0, 0, 0, 0, 0, 0, 0];
      sums.set(id, sum);
    }
    const end = Math.min(to, part.length);
    for (let index = from; index < end; index += 1) {
      sum[index] = (sum[index] ?? 0) + (part[index] ?? 0);
    }
  }
}

/**
 * Builds the table of sums.
 *
 * @example
 * ```ts
 * buildLoadTable(new Map([['s1', [2, 100, 0, 0, 0, 0, 0]]])); // {s1: [2, 100]}
 * ```
 * @internal
 */
export function buildLoadTable(sums: LoadSums): LoadTable {
  const table: Record<string, ServerLoad> = {};
  for (const [id, numbers] of sums) table[id] = buildServerLoad(numbers);
  return table;
}

/**
 * Computes the load without a part of it; servers of which nothing is left are left out.
 *
 * @param count - The first numbers of each server to compute.
 * @example
 * ```ts
 * computeOthersLoad(new Map([['s1', [5, 100, 0, 0, 0, 0, 0]]]), {load: {s1: [2, 60]}}); // {s1: [3, 40]}
 * ```
 * @internal
 */
export function computeOthersLoad(
  sums: LoadSums,
  {load, fullLoad = load}: ToldLoad,
  count = LOAD_NUMBERS,
): LoadTable {
  const rest: Record<string, ServerLoad> = {};
  const left = new Array<number>(count).fill(0);
  for (const [id, total] of sums) {
    const own = load[id];
    const ownFull = fullLoad[id];
    for (let index = 0; index < count; index += 1) {
      const part = index < BRIEF_NUMBERS ? own : ownFull;
      left[index] = (total[index] ?? 0) - (part?.[index] ?? 0);
    }
    const [inFlight = 0, , active = 0, , , answers = 0] = left;
    if (inFlight <= 0 && active <= 0 && answers <= 0) continue;
    rest[id] = buildServerLoad(left);
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
  let length = Math.min(LOAD_NUMBERS, numbers.length);
  while (length > 2 && numbers[length - 1] === 0) length -= 1;
  const inFlight = numbers[0] ?? 0;
  const pendingMs = numbers[1] ?? 0;
  if (length <= 2) return [inFlight, pendingMs];
  const active = numbers[2] ?? 0;
  if (length === 3) return [inFlight, pendingMs, active];
  const heldTokens = numbers[3] ?? 0;
  if (length === BRIEF_NUMBERS) {
    return [inFlight, pendingMs, active, heldTokens];
  }
  return [
    inFlight,
    pendingMs,
    active,
    heldTokens,
    numbers[4] ?? 0,
    numbers[5] ?? 0,
    numbers[6] ?? 0,
  ];
}
