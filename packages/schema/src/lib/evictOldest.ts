/**
 * Removes the first entries of a map, in the order of their insertion, until it has no more than
 * `maxSize`.
 *
 * @example
 * ```ts
 * evictOldest(cache, 1_000);
 * ```
 * @public
 */
export function evictOldest<Key>(
  map: Map<Key, unknown>,
  maxSize: number,
): void {
  while (map.size > maxSize) {
    const [oldest] = map.keys();
    if (oldest === undefined) return;
    map.delete(oldest);
  }
}
