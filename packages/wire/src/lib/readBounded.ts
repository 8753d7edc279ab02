/**
 * Reads a whole stream into memory, up to a maximum size.
 *
 * @param createError Creates the error to throw if the stream exceeds the maximum size.
 * @example
 * ```ts
 * const body = await readBounded(request, 1024, () => new Error('too large'));
 * ```
 * @public
 */
export async function readBounded(
  source: AsyncIterable<Buffer>,
  maxBytes: number,
  createError: () => Error,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of source) {
    size += chunk.length;
    if (size > maxBytes) throw createError();
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
