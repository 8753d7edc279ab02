const MS_PER_SECOND = 1_000;
/** The longest delay that is honoured, in milliseconds. */
const MAX_RETRY_AFTER_MS = 600_000;
const DELAY_SECONDS = /^\d+(\.\d+)?$/;

/**
 * Parses the delay of a `Retry-After` header, in milliseconds. Fractions of a second are accepted.
 * Returns undefined for anything but a delay, dates included, since clocks may differ.
 *
 * @example
 * ```ts
 * parseRetryAfter('0.5'); // 500
 * ```
 * @public
 */
export function parseRetryAfter(text: string | undefined): number | undefined {
  const trimmed = text?.trim() ?? '';
  if (!DELAY_SECONDS.test(trimmed)) return undefined;
  return Math.min(MAX_RETRY_AFTER_MS, Number(trimmed) * MS_PER_SECOND);
}
