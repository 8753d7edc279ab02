import {createHash} from 'node:crypto';
import {stringify} from 'safe-stable-stringify';

/** Any JSON value. @public */
export type JsonValue =
  | null
  | boolean
  | number
  | string
  | JsonValue[]
  | {[key: string]: JsonValue | undefined};

/**
 * Formats a value as JSON with sorted keys, so that equal values have equal text.
 *
 * @example
 * ```ts
 * formatCanonicalJson({b: 1, a: 2}); // '{"a":2,"b":1}'
 * ```
 * @public
 */
export function formatCanonicalJson(value: unknown): string {
  return stringify(value) ?? 'null';
}

/**
 * Computes the SHA-256 digest, in hex, of a value's canonical JSON.
 *
 * @example
 * ```ts
 * computeDigest({a: 1}) === computeDigest({a: 1}); // true
 * ```
 * @public
 */
export function computeDigest(value: unknown): string {
  return createHash('sha256').update(formatCanonicalJson(value)).digest('hex');
}
