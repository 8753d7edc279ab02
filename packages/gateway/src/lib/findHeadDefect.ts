import {validateHeaderName, validateHeaderValue} from 'node:http';
import type {IncomingMessage} from 'node:http';
import type {HeaderNames} from './headerNames.js';
import {listConnectionNames} from './listConnectionNames.js';

const MIN_STATUS = 100;
const MAX_STATUS = 599;
/** Begins the head of another answer. */
const STATUS_LINE = /^HTTP\/\d/;

/**
 * Returns why the head of an answer cannot be passed on as it is; undefined if it can. The parser of
 * `node:http` accepts heads of faulty servers that its writer refuses, and drops what a Connection
 * header names.
 *
 * @example
 * ```ts
 * findHeadDefect(message, names); // 'a header cannot be passed on'
 * ```
 * @internal
 */
export function findHeadDefect(
  {statusCode = 0, rawHeaders}: IncomingMessage,
  names: HeaderNames,
): string | undefined {
  if (statusCode < MIN_STATUS || statusCode > MAX_STATUS) {
    return `the status ${statusCode} does not exist`;
  }
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (!isSendable(rawHeaders[index] ?? '', rawHeaders[index + 1] ?? '')) {
      return 'a header cannot be passed on';
    }
  }
  const dropped = listConnectionNames(rawHeaders);
  const {signature, requestId, weightVersion} = names;
  const owed = [signature, requestId, weightVersion, 'content-type'];
  const missing = owed.find(name => dropped.has(name));
  return missing && `the header ${missing} is for this connection only`;
}

function isSendable(name: string, value: string): boolean {
  try {
    validateHeaderName(name);
    validateHeaderValue(name, value);
  } catch {
    return false;
  }
  return !STATUS_LINE.test(value);
}
