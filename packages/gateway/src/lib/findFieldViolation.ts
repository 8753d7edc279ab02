import {validateHeaderName, validateHeaderValue} from 'node:http';
import type {IncomingMessage} from 'node:http';
import type {HeaderNames} from './headerNames.js';
import {listConnectionNames} from './listConnectionNames.js';

const MIN_STATUS = 100;
const CONTENT_TYPE = 'content-type';

/**
 * Returns why the head of an answer cannot be passed on to a caller; undefined if it can. Node.js reads
 * some heads that it refuses to write.
 *
 * @example
 * ```ts
 * findFieldViolation(message, names); // 'the answer has the status 99'
 * ```
 * @internal
 */
export function findFieldViolation(
  {statusCode = 0, rawHeaders}: IncomingMessage,
  {requestId, signature, weightVersion}: HeaderNames,
): string | undefined {
  if (statusCode < MIN_STATUS) return `the answer has the status ${statusCode}`;
  try {
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
      const name = rawHeaders[index] ?? '';
      validateHeaderName(name);
      validateHeaderValue(name, rawHeaders[index + 1] ?? '');
    }
  } catch {
    return 'the answer has a field that is none';
  }
  // A field that is named as one of the connection would be dropped.
  const named = listConnectionNames(rawHeaders);
  const owed = [requestId, signature, weightVersion, CONTENT_TYPE];
  const hidden = owed.find(name => named.has(name));
  if (hidden === undefined) return undefined;
  return `the answer has the field ${hidden} for the connection only`;
}
