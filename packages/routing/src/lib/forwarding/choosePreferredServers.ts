const FNV_OFFSET = 2_166_136_261;
const FNV_PRIME = 16_777_619;
const HASH_RANGE = 2 ** 32;

/** The servers that all entries prefer for a key. @public */
export interface PreferredServers {
  readonly first: string | undefined;
  /** The next choice while the first one is too busy. */
  readonly second: string | undefined;
}

/**
 * Chooses the preferred servers of a key by rendezvous hashing: every entry chooses the same ones
 * without coordination, and a server that joins or leaves moves only its own keys.
 *
 * @example
 * ```ts
 * choosePreferredServers('model segment', ['a', 'b', 'c']); // {first: 'b', second: 'a'}
 * ```
 * @public
 */
export function choosePreferredServers(
  key: string,
  ids: readonly string[],
): PreferredServers {
  let first: string | undefined;
  let second: string | undefined;
  let highest = -1;
  let next = -1;
  for (const id of ids) {
    const rank = hashText(`${key} ${id}`);
    if (rank > highest) {
      [second, next] = [first, highest];
      [first, highest] = [id, rank];
    } else if (rank > next) {
      [second, next] = [id, rank];
    }
  }
  return {first, second};
}

/**
 * Hashes a text to a number in [0, 1), the same at every entry.
 *
 * @example
 * ```ts
 * hashToShare(session) < share;
 * ```
 * @public
 */
export function hashToShare(text: string): number {
  return hashText(text) / HASH_RANGE;
}

/**
 * Hashes a text to 32 bits.
 *
 * @example
 * ```ts
 * hashText('a') === hashText('a'); // true
 * ```
 * @public
 */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // With FNV-1a alone, similar texts have similar high bits.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
