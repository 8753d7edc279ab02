import type {IncomingMessage} from 'node:http';

/**
 * Lists the different values of a header. A field that is repeated in other words has several, of which
 * `message.headers` keeps one or a list.
 *
 * @example
 * ```ts
 * listValues(message, 'content-type').size; // 1
 * ```
 * @internal
 */
export function listValues(
  {headersDistinct}: IncomingMessage,
  name: string,
): Set<string> {
  return new Set(headersDistinct[name]);
}
