import {NO_TIMES, RolloutEvidence, VersionCounts} from '@sycamorehead/schema';

/** Sums of the answers of a version on one route. @public */
export interface AnswerCounts {
  readonly answers: number;
  readonly failures: number;
  readonly losses: number;
  /** Histogram of the answer times relative to the expected ones. */
  readonly times: readonly number[];
}

/** What is known of a roll-out on one route. @public */
export interface RouteEvidence {
  readonly route: string;
  readonly old: AnswerCounts;
  /** Counts of the new version by server. */
  readonly servers: ReadonlyMap<string, AnswerCounts>;
}

/** Counts without answers. @public */
export const NO_COUNTS: AnswerCounts = {
  answers: 0,
  failures: 0,
  losses: 0,
  times: NO_TIMES,
};

/**
 * Adds the counts of two sets of answers.
 *
 * @example
 * ```ts
 * addCounts(NO_COUNTS, counts); // counts
 * ```
 * @public
 */
export function addCounts(
  left: AnswerCounts,
  right: AnswerCounts,
): AnswerCounts {
  return {
    answers: left.answers + right.answers,
    failures: left.failures + right.failures,
    losses: left.losses + right.losses,
    times: left.times.map((count, index) => count + (right.times[index] ?? 0)),
  };
}

/**
 * Sums counts.
 *
 * @example
 * ```ts
 * sumCounts([counts, NO_COUNTS]); // counts
 * ```
 * @public
 */
export function sumCounts(list: Iterable<AnswerCounts>): AnswerCounts {
  let sum = NO_COUNTS;
  for (const counts of list) sum = addCounts(sum, counts);
  return sum;
}

/**
 * Sums reported evidence by roll-out and key.
 *
 * @example
 * ```ts
 * mergeEvidence([ofOneEntry, ofAnother]);
 * ```
 * @internal
 */
export function mergeEvidence(
  list: readonly RolloutEvidence[],
): RolloutEvidence[] {
  const merged = new Map<
    string,
    RolloutEvidence & {counts: Record<string, AnswerCounts>}
  >();
  for (const {service, number, counts} of list) {
    const rolloutKey = `${service} ${number}`;
    const sum = merged.get(rolloutKey) ?? {service, number, counts: {}};
    for (const [key, value] of Object.entries(counts)) {
      sum.counts[key] = addCounts(
        sum.counts[key] ?? NO_COUNTS,
        readCounts(value),
      );
    }
    merged.set(rolloutKey, sum);
  }
  return [...merged.values()];
}

/**
 * Groups the evidence on one roll-out by route.
 *
 * @example
 * ```ts
 * groupByRoute(reports, 'drafts', 3);
 * ```
 * @internal
 */
export function groupByRoute(
  list: readonly RolloutEvidence[],
  service: string,
  number: number,
): RouteEvidence[] {
  const routes = new Map<
    string,
    {old: AnswerCounts; servers: Map<string, AnswerCounts>}
  >();
  const [merged] = mergeEvidence(
    list.filter(
      evidence => evidence.service === service && evidence.number === number,
    ),
  );
  for (const [key, value] of Object.entries(merged?.counts ?? {})) {
    const counts = readCounts(value);
    const {route, server} = parseKey(key);
    const group = routes.get(route) ?? {old: NO_COUNTS, servers: new Map()};
    if (server === undefined) group.old = addCounts(group.old, counts);
    else group.servers.set(server, counts);
    routes.set(route, group);
  }
  return [...routes].map(([route, group]) => ({route, ...group}));
}

/**
 * Returns the evidence that has come since an earlier time. Counts that an entry took with it when it
 * stopped do not become negative.
 *
 * @example
 * ```ts
 * computeNewEvidence(now, fourSecondsAgo);
 * ```
 * @internal
 */
export function computeNewEvidence(
  routes: readonly RouteEvidence[],
  earlier: readonly RouteEvidence[],
): RouteEvidence[] {
  const known = new Map(earlier.map(group => [group.route, group]));
  return routes.map(({route, old, servers}) => {
    const before = known.get(route);
    return {
      route,
      old: computeNewCounts(old, before?.old),
      servers: new Map(
        [...servers].map(([id, counts]) => [
          id,
          computeNewCounts(counts, before?.servers.get(id)),
        ]),
      ),
    };
  });
}

function computeNewCounts(
  counts: AnswerCounts,
  earlier: AnswerCounts = NO_COUNTS,
): AnswerCounts {
  const computeIncrease = (count: number, before: number) =>
    Math.max(0, count - before);
  return {
    answers: computeIncrease(counts.answers, earlier.answers),
    failures: computeIncrease(counts.failures, earlier.failures),
    losses: computeIncrease(counts.losses, earlier.losses),
    times: counts.times.map((count, index) =>
      computeIncrease(count, earlier.times[index] ?? 0),
    ),
  };
}

/** Reads reported counts, with defaults for what earlier builds do not report. */
function readCounts({
  answers,
  failures,
  losses = 0,
  times = NO_TIMES,
}: VersionCounts): AnswerCounts {
  return {answers, failures, losses, times};
}

function parseKey(key: string): {route: string; server: string | undefined} {
  const separatorIndex = key.lastIndexOf('|');
  const name = key.slice(0, separatorIndex);
  if (key.slice(separatorIndex + 1) !== 'new') {
    return {route: name, server: undefined};
  }
  const serverIndex = name.lastIndexOf(' ');
  return {
    route: name.slice(0, serverIndex),
    server: name.slice(serverIndex + 1),
  };
}
