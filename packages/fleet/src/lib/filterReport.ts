import {
  PrefillSums,
  buildPrefillSums,
  filterDemand,
  filterWaiting,
} from '@sycamorehead/routing';
import {
  RolloutEvidence,
  NO_TIMES,
  VersionCounts,
  filterTable,
  isTable,
  limitCount,
} from '@sycamorehead/schema';
import type {
  CrashReport,
  ExchangeRequest,
  LoadDigest,
  ServerLoad,
} from './fleetMessages.js';
import {LOAD_NUMBERS, buildServerLoad} from './serverLoad.js';

/** Maximum number of elements of a list in a report that are looked at. */
const MAX_LISTED = 10_000;
/** Position of the sum of logarithms in the load of a server; it alone may be below 0. */
const LOG_RATIOS_INDEX = 6;
/** Maximum of the logarithm of one time ratio, in hundredths. */
const MAX_LOG_RATIO = 1_000;

type FieldName = keyof ExchangeRequest | keyof LoadDigest;
type FieldFilter = (value: unknown, entries: number) => unknown;

const FIELD_FILTERS = {
  load: value => filterTable(value, filterLoad),
  evidence: value => filterList(value, filterEvidence),
  leaving: value => filterList(value, filterText),
  kept: value => filterList(value, filterText),
  arrived: value => filterList(value, filterText),
  prefill: value => filterTable(value, filterPrefill),
  prompts: value => filterTable(value, filterHashes),
  crashes: value => filterList(value, filterCrash),
  survivals: value => filterTable(value, filterAge),
  demand: filterDemand,
  waiting: filterWaiting,
  limits: value => filterTable(value, filterLimit),
  hearsay: value => filterTable(value, filterLimit),
  wanted: value => filterTable(value, count => limitCount(count)),
  coldWanted: value => filterTable(value, count => limitCount(count)),
  heard: value => filterTable(value, count => limitCount(count)),
} satisfies Partial<Record<FieldName, FieldFilter>>;

/** Fields that every report has, or is treated as having. */
const REQUIRED_FIELDS: readonly string[] = ['load', 'evidence', 'arrived'];

/**
 * Filters the report of an entry, or the digest of a control instance, before it is stored: a faulty
 * process must not keep the others from being answered. What has not the right shape is left out, and
 * numbers are limited.
 *
 * @param entries - Number of entries that it describes.
 * @example
 * ```ts
 * filterReport({entry: 'e1', load: {s1: [-2, 100]}, evidence: []}, 1).load; // {s1: [0, 100]}
 * ```
 * @internal
 */
export function filterReport<Report extends object>(
  report: Report,
  entries: number,
): Report {
  const given = report as Readonly<Record<string, unknown>>;
  const filtered: Record<string, unknown> = {...given};
  for (const [name, filter] of Object.entries<FieldFilter>(FIELD_FILTERS)) {
    if (given[name] === undefined && !REQUIRED_FIELDS.includes(name)) continue;
    filtered[name] = filter(given[name], entries);
  }
  return filtered as Report;
}

function filterList<Item>(
  list: unknown,
  filterItem: (item: unknown) => Item | undefined,
): Item[] {
  if (!Array.isArray(list)) return [];
  return list
    .slice(0, MAX_LISTED)
    .map(filterItem)
    .filter((item): item is Awaited<Item> & Item => item !== undefined);
}

function filterText(value: unknown): string | undefined {
  return typeof value === 'string' ? value : undefined;
}

function filterLoad(value: unknown): ServerLoad | undefined {
  if (!Array.isArray(value)) return undefined;
  const given: readonly unknown[] = value;
  const length = Math.min(LOAD_NUMBERS, given.length);
  const numbers: number[] = [];
  for (let index = 0; index < Math.min(length, LOG_RATIOS_INDEX); index += 1) {
    numbers.push(limitCount(given[index]));
  }
  const logRatios = given[LOG_RATIOS_INDEX];
  if (logRatios === undefined) return buildServerLoad(numbers);
  const answers = numbers.at(-1) ?? 0;
  const bound = MAX_LOG_RATIO * Math.max(1, answers);
  const isBelow = typeof logRatios === 'number' && logRatios < 0;
  numbers.push(
    isBelow ? -limitCount(-logRatios, bound) : limitCount(logRatios, bound),
  );
  return buildServerLoad(numbers);
}

function filterEvidence(value: unknown): RolloutEvidence | undefined {
  if (!isTable(value)) return undefined;
  const {service, number, counts} = value;
  if (typeof service !== 'string' || typeof number !== 'number') {
    return undefined;
  }
  return {service, number, counts: filterTable(counts, filterCounts)};
}

function filterCounts(value: unknown): VersionCounts | undefined {
  if (!isTable(value)) return undefined;
  const {answers, failures, losses, times} = value;
  return {
    answers: limitCount(answers),
    failures: limitCount(failures),
    ...(losses !== undefined && {losses: limitCount(losses)}),
    ...(Array.isArray(times) && {
      times: NO_TIMES.map((_, index) => limitCount(times[index])),
    }),
  };
}

function filterPrefill(value: unknown): PrefillSums | undefined {
  if (!isTable(value)) return undefined;
  const sums = buildPrefillSums();
  for (const key of Object.keys(sums) as Array<keyof PrefillSums>) {
    sums[key] = limitCount(value[key], Number.MAX_SAFE_INTEGER);
  }
  return sums;
}

function filterHashes(value: unknown): number[] | undefined {
  const hashes = filterList(value, hash =>
    Number.isSafeInteger(hash) ? (hash as number) : undefined,
  );
  return hashes.length > 0 ? hashes : undefined;
}

function filterCrash(value: unknown): CrashReport | undefined {
  if (!isTable(value)) return undefined;
  const {incarnation, ageMs, segments, service} = value;
  const age = filterAge(ageMs);
  if (typeof incarnation !== 'string' || age === undefined) return undefined;
  return {
    incarnation,
    ageMs: age,
    segments: filterList(segments, filterText),
    ...(typeof service === 'string' && {service}),
  };
}

/** Filters an age; one that is not known would make what it describes new. */
function filterAge(value: unknown): number | undefined {
  const isAge = typeof value === 'number' && Number.isFinite(value);
  return isAge && value >= 0 ? value : undefined;
}

function filterLimit(
  value: unknown,
): readonly [perSecond: number | null, ageMs: number] | undefined {
  if (!Array.isArray(value)) return undefined;
  const [perSecond, ageMs] = value as readonly unknown[];
  const age = filterAge(ageMs);
  if (age === undefined) return undefined;
  if (perSecond === null) return [null, age];
  const rate = filterAge(perSecond);
  return rate === undefined ? undefined : [rate, age];
}
