import {MetricValue, parseMetrics} from './parseMetrics.js';
import type {Sample} from './SampleStore.js';

/** The increase of each series, summed over the entries. @public */
export type Increases = ReadonlyMap<string, number>;

/**
 * Computes the increase of each counter within a window. A value below the previous one means that
 * the entry restarted, so the whole value counts as an increase.
 *
 * @example
 * ```ts
 * computeIncreases(samples, now - 3_600_000, now).get('answers{}');
 * ```
 * @public
 */
export function computeIncreases(
  samples: readonly Sample[],
  fromMs: number,
  toMs: number,
): Increases {
  const increases = new Map<string, number>();
  const previous = new Map<string, Sample>();
  for (const sample of samples) {
    if (sample.at > toMs) break;
    const before = previous.get(sample.entry);
    previous.set(sample.entry, sample);
    if (sample.at <= fromMs) continue;
    // An entry whose first sample is within the window is assumed to have started in it.
    addIncreases(increases, before?.values ?? {}, sample.values);
  }
  return increases;
}

function addIncreases(
  increases: Map<string, number>,
  before: Sample['values'],
  after: Sample['values'],
): void {
  for (const [key, value] of Object.entries(after)) {
    const old = before[key] ?? 0;
    const increase = value >= old ? value - old : value;
    if (increase > 0) increases.set(key, (increases.get(key) ?? 0) + increase);
  }
}

/**
 * Lists the increases of one counter with parsed labels.
 *
 * @example
 * ```ts
 * listIncreases(increases, 'sycamorehead_answers_total')[0]?.labels.customer;
 * ```
 * @public
 */
export function listIncreases(
  increases: Increases,
  name: string,
): MetricValue[] {
  const lines = [...increases]
    .filter(([key]) => key.startsWith(`${name}{`))
    .map(([key, value]) => `${key} ${value}`);
  return parseMetrics(lines.join('\n'));
}
