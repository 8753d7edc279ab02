import {validateHeaderName, validateHeaderValue} from 'node:http';
import type {IncomingMessage} from 'node:http';

const MIN_STATUS = 100;

/**
 * Returns why the head of an answer cannot be passed on to a caller; undefined if it can. Node.js reads
 * some heads that it refuses to write.
 *
 * @example
 * ```ts
 * findFieldViolation(message); // 'the answer has the status 99'
 * ```
 * @internal
 */
export function findFieldViolation({
  statusCode = 0,
  rawHeaders,
}: IncomingMessage): string | undefined {
  if (statusCode < MIN_STATUS) return `the answer has the status ${statusCode}`;
  try {
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
      const name = rawHeaders[index] ?? '';
      validateHeaderName(name);
      validateHeaderValue(name, rawHeaders[index + 1] ?? '');
    }
    return undefined;
  } catch {
    return 'the answer has a field that is none';
  }
}
