import {evictOldest} from './evictOldest.js';

/**
 * Returns the value of a key in a map, and adds one if there is none. The oldest values are removed beyond
 * `maxSize`.
 *
 * @example
 * ```ts
 * const bucket = getOrCreate(buckets, 's1 17', 2_000, () => new PermitBucket());
 * ```
 * @public
 */
export function getOrCreate<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  maxSize: number,
  create: () => Value,
): Value {
  const known = map.get(key);
  if (known !== undefined) return known;
  const created = create();
  map.set(key, created);
  evictOldest(map, maxSize);
  return created;
}
