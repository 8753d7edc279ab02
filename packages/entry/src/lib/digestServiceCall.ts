import {createHash} from 'node:crypto';
import {formatCanonicalJson} from '@sycamorehead/schema';

/** Bytes that are encoded at a time; a multiple of 3, so that no padding stands inside the text. */
const PIECE_BYTES = 48 * 1024;

/**
 * Computes the digest of the words of a service call and its body in base64, as `computeDigest` does for the
 * list of both, without a text of the whole body.
 *
 * @example
 * ```ts
 * digestServiceCall(['POST', 'orders', '/once', ''], body);
 * ```
 * @public
 */
export function digestServiceCall(
  words: readonly string[],
  body: Buffer,
): string {
  const hash = createHash('sha256');
  const text = formatCanonicalJson([...words, '']);
  const end = '"]';
  hash.update(text.slice(0, -end.length));
  for (let start = 0; start < body.length; start += PIECE_BYTES) {
    hash.update(body.subarray(start, start + PIECE_BYTES).toString('base64'));
  }
  return hash.update(end).digest('hex');
}
