/** Ids stay exact as numbers up to this number of digits. */
const EVENT_ID = /^\d{1,15}$/;

/**
 * Parses the id of an event; undefined if it is no whole number of up to 15 digits.
 *
 * @example
 * ```ts
 * parseEventId('12'); // 12
 * ```
 * @internal
 */
export function parseEventId(id: string | undefined): number | undefined {
  return id !== undefined && EVENT_ID.test(id) ? Number(id) : undefined;
}
