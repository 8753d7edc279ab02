import type {IncomingMessage} from 'node:http';

/** Maximum length of a content type in a log line. */
const MAX_TYPE_LENGTH = 40;

/**
 * Describes for a log line what the head of an answer says of its body.
 *
 * @example
 * ```ts
 * describeHead(message); // 'text/event-stream chunked'
 * ```
 * @internal
 */
export function describeHead({headers}: IncomingMessage): string {
  const type = headers['content-type']?.slice(0, MAX_TYPE_LENGTH);
  return `${type || 'untyped'} ${describeFraming(headers)}`;
}

function describeFraming(headers: IncomingMessage['headers']): string {
  if (headers['transfer-encoding'] !== undefined) return 'chunked';
  return headers['content-length'] === undefined ? 'unframed' : 'sized';
}
