import {request} from 'undici';
import {createLogger} from '@sycamorehead/telemetry';
import {readBounded} from '@sycamorehead/wire';
import {parseMetrics} from './parseMetrics.js';
import type {Sample} from './SampleStore.js';

const log = createLogger('report');

const PREFIX = 'sycamorehead_';
const SCRAPE_TIMEOUT_MS = 3_000;
/** Maximum size of a page of metrics, in bytes. */
const MAX_PAGE_BYTES = 16 * 1024 * 1024;

/**
 * Formats the key of a series with its labels sorted by name.
 *
 * @example
 * ```ts
 * formatSeriesKey('a', {y: '1', x: '2'}); // 'a{x="2",y="1"}'
 * ```
 * @public
 */
export function formatSeriesKey(
  name: string,
  labels: Readonly<Record<string, string>>,
): string {
  const pairs = Object.keys(labels)
    .sort()
    .map(label => `${label}=${JSON.stringify(labels[label])}`);
  return `${name}{${pairs.join(',')}}`;
}

async function sampleEntry(url: string, at: number): Promise<Sample[]> {
  try {
    const {statusCode, body} = await request(new URL('/metrics', url), {
      signal: AbortSignal.timeout(SCRAPE_TIMEOUT_MS),
    });
    const bytes = await readBounded(
      body,
      MAX_PAGE_BYTES,
      () => new Error('the page of metrics is too long'),
    );
    const page = bytes.toString('utf8');
    if (statusCode !== 200) throw new Error(`HTTP status ${statusCode}`);
    const values: Record<string, number> = {};
    for (const {name, labels, value} of parseMetrics(page)) {
      if (!name.startsWith(PREFIX)) continue;
      values[formatSeriesKey(name, labels)] = value;
    }
    return [{at, entry: url, values}];
  } catch (error) {
    log('entry_not_sampled', {entry: url, error: String(error)});
    return [];
  }
}

/**
 * Reads the metrics of every entry; skips entries that do not answer.
 *
 * @example
 * ```ts
 * store.append(await collectSamples(['http://127.0.0.1:8080']));
 * ```
 * @public
 */
export async function collectSamples(
  entryUrls: readonly string[],
  at = Date.now(),
): Promise<Sample[]> {
  const samples = await Promise.all(entryUrls.map(url => sampleEntry(url, at)));
  return samples.flat();
}
