import type {IncomingMessage} from 'node:http';
import {describeHead} from './describeHead.js';
import {isEventStream} from './isEventStream.js';
import {listValues} from './listValues.js';

const STREAM_STATUS = 200;

/**
 * Returns why the head of a success does not begin an event stream; undefined if it does. What a caller
 * of a stream gets follows from its route, whatever a faulty server says of its answer.
 *
 * @example
 * ```ts
 * findHeadViolation(message); // 'a stream was answered 200 text/plain sized'
 * ```
 * @internal
 */
export function findHeadViolation(
  message: IncomingMessage,
): string | undefined {
  const {statusCode} = message;
  const [type = '', ...others] = listValues(message, 'content-type');
  const isStream =
    statusCode === STREAM_STATUS && others.length === 0 && isEventStream(type);
  if (isStream) return undefined;
  const head = `${statusCode} ${describeHead(message)}`;
  return `a stream was answered ${head}`;
}
