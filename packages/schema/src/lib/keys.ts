import {createHash, timingSafeEqual} from 'node:crypto';

const HASH_PREFIX = 'sha256:';

/**
 * Hashes a secret key for storage in a release note.
 *
 * @example
 * ```ts
 * hashKey('secret').startsWith('sha256:'); // true
 * ```
 * @public
 */
export function hashKey(key: string): string {
  return HASH_PREFIX + createHash('sha256').update(key).digest('hex');
}

/**
 * Compares two keys in constant time, regardless of their lengths.
 *
 * @example
 * ```ts
 * isSameKey('a', 'a'); // true
 * ```
 * @public
 */
export function isSameKey(given: string, expected: string): boolean {
  const left = createHash('sha256').update(given).digest();
  const right = createHash('sha256').update(expected).digest();
  return timingSafeEqual(left, right);
}

/**
 * Compares two key hashes in constant time. Unlike keys, they have the same length, so they are
 * compared directly.
 *
 * @example
 * ```ts
 * isSameHash(hashKey('a'), hashKey('a')); // true
 * ```
 * @public
 */
export function isSameHash(given: string, expected: string): boolean {
  const left = Buffer.from(given);
  const right = Buffer.from(expected);
  return left.length === right.length && timingSafeEqual(left, right);
}
