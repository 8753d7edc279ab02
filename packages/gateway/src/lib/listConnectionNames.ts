/**
 * Lists the headers that a Connection header declares as specific to the connection, in lower case.
 *
 * @example
 * ```ts
 * listConnectionNames(['Connection', 'close, X-Hop']); // Set {'close', 'x-hop'}
 * ```
 * @internal
 */
export function listConnectionNames(
  rawHeaders: readonly string[],
): Set<string> {
  const names = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'connection') continue;
    for (const name of (rawHeaders[index + 1] ?? '').split(',')) {
      names.add(name.trim().toLowerCase());
    }
  }
  return names;
}
