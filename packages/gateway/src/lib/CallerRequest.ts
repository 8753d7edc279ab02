import type {IncomingMessage} from 'node:http';
import type {RequestSize} from '@sycamorehead/routing';
import {SycamoreheadError} from '@sycamorehead/schema';
import type {HeaderNames} from './headerNames.js';

/** A segment of a prompt. @public */
export interface PromptSegment {
  readonly id: string;
  readonly tokens: number;
}

/** A caller's request, decoded. @public */
export interface CallerRequest {
  readonly id: string;
  readonly method: string;
  /** Path with query, as sent. */
  readonly target: string;
  readonly path: string;
  /** In lower case, without a port. */
  readonly host: string;
  readonly rawHeaders: readonly string[];
  readonly key: string | undefined;
  readonly session: string | undefined;
  readonly lastEventId: string | undefined;
  /** When it arrived, on the monotonic clock. */
  readonly arrivedAt: number;
  /** Time for which the caller waits, counted from `arrivedAt`, in milliseconds. */
  readonly waitMs: number | undefined;
  /** Its answer tokens are 1 if the caller names no maximum. */
  readonly size: RequestSize;
  readonly promptSegments: readonly PromptSegment[];
  body: Buffer;
}

/** Returns the ids of the segments of a prompt that other prompts may share: all but the last. @internal */
export function listSharedSegments({
  promptSegments,
}: Pick<CallerRequest, 'promptSegments'>): string[] {
  return promptSegments.slice(0, -1).map(({id}) => id);
}

/**
 * Headers that may occur only once; of several, a backend server might use a different one than the
 * gateway.
 */
const SINGLE_HEADERS = ['host', 'content-length', 'transfer-encoding'];
/** Maximum number of segments of a prompt; the rest is ignored. @internal */
export const MAX_SEGMENTS = 64;
/** Maximum number of tokens that is believed of a prompt, a segment or an answer. @internal */
export const MAX_TOKENS = 10_000_000;
/** Maximum length of the id of a prompt segment, of which many are kept; the rest is ignored. @internal */
export const MAX_SEGMENT_ID_LENGTH = 64;

/**
 * Decodes a request's head.
 *
 * @throws SycamoreheadError `malformed_request` if it is ambiguous.
 * @example
 * ```ts
 * const request = decodeRequest(message, names);
 * ```
 * @public
 */
export function decodeRequest(
  message: IncomingMessage,
  names: HeaderNames,
): CallerRequest {
  const {headers, rawHeaders} = message;
  checkFraming(message, names);
  const target = message.url ?? '';
  if (!target.startsWith('/')) refuse('expected a path as the target');
  const read = (name: string) => {
    const value = headers[name];
    return typeof value === 'string' && value !== '' ? value : undefined;
  };
  const usage = (read(names.tokenUsage) ?? '').split(',');
  const [promptTokens = '', maxAnswerTokens = ''] = usage;
  return {
    id: read(names.requestId) ?? refuse('expected a request id'),
    method: message.method ?? 'GET',
    target,
    path: target.split('?', 1)[0] ?? target,
    host: readHost(headers.host),
    rawHeaders,
    key: read(names.key),
    session: read(names.session),
    lastEventId: read(names.lastEventId),
    arrivedAt: performance.now(),
    waitMs: readWait(read(names.deadlineMs)),
    size: {
      promptTokens: readCount(promptTokens),
      answerTokens: Math.max(1, readCount(maxAnswerTokens)),
    },
    promptSegments: readSegments(read(names.prefix)),
    body: Buffer.alloc(0),
  };
}

function checkFraming(
  {headers, rawHeaders}: IncomingMessage,
  names: HeaderNames,
): void {
  for (const name of [...SINGLE_HEADERS, names.requestId, names.key]) {
    if (countHeader(rawHeaders, name) > 1) refuse(`${name}: expected once`);
  }
  const coding = headers['transfer-encoding'];
  if (coding === undefined) return;
  if (headers['content-length'] !== undefined) {
    refuse('expected a length or chunks, not both');
  }
  if (coding.toLowerCase() !== 'chunked') refuse('expected chunks only');
}

function countHeader(rawHeaders: readonly string[], name: string): number {
  let count = 0;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === name) count += 1;
  }
  return count;
}

/** Reads the name of a host, in lower case and without a port. @internal */
export function readHost(host: string | undefined): string {
  return (host ?? '').toLowerCase().replace(/:\d+$/, '');
}

function readWait(text: string | undefined): number | undefined {
  const value = Number(text ?? NaN);
  return Number.isFinite(value) && value >= 0 ? value : undefined;
}

function readCount(text: string): number {
  const value = Number(text);
  return Number.isFinite(value) && value > 0 ? Math.min(value, MAX_TOKENS) : 0;
}

function readSegments(text: string | undefined): PromptSegment[] {
  if (text === undefined) return [];
  return text
    .split(',')
    .slice(0, MAX_SEGMENTS)
    .map(segment => {
      const [id = '', tokens = ''] = segment.trim().split(':');
      return {
        id: id.slice(0, MAX_SEGMENT_ID_LENGTH),
        tokens: readCount(tokens),
      };
    });
}

function refuse(message: string): never {
  throw new SycamoreheadError('malformed_request', message);
}
