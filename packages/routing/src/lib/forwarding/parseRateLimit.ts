/** What an answer says of the requests a second that its server accepts from all entries together. @public */
export type RateLimitNotice =
  | {readonly type: 'none'}
  | {readonly type: 'named'; readonly perSecond: number}
  | {readonly type: 'malformed'; readonly text: string};

const DECIMAL = /^\d+(\.\d+)?$/;
/** The highest limit that is distinguished, in requests a second. */
const MAX_PER_SECOND = 1_000_000;
/** Maximum length of a malformed text that is retained for a log line, in characters. */
const MAX_TEXT_LENGTH = 32;

/**
 * Parses a header that names a limit of requests a second. A header that is repeated with the same
 * value names that value; node:http joins repeated headers with commas.
 *
 * @example
 * ```ts
 * parseRateLimit('2.5'); // {type: 'named', perSecond: 2.5}
 * ```
 * @public
 */
export function parseRateLimit(
  header: string | readonly string[] | undefined,
): RateLimitNotice {
  if (header === undefined) return {type: 'none'};
  const text = String(header);
  const values = new Set(text.split(',').map(value => value.trim()));
  const [value = ''] = values;
  if (values.size !== 1 || !DECIMAL.test(value)) {
    return {type: 'malformed', text: text.slice(0, MAX_TEXT_LENGTH)};
  }
  return {type: 'named', perSecond: Math.min(MAX_PER_SECOND, Number(value))};
}
