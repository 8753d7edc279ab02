import {randomUUID} from 'node:crypto';
import type {RequestQuestion} from '@sycamorehead/fleet';
import {SycamoreheadError} from '@sycamorehead/schema';
import {
  CallerRequest,
  MAX_SEGMENTS,
  MAX_SEGMENT_ID_LENGTH,
  MAX_TOKENS,
  PromptSegment,
  readHost,
} from './CallerRequest.js';
import {buildUnconfigured} from './refusals.js';
import type {RouteTable} from './RouteTable.js';

/** Number of servers that are listed unless the question says otherwise. */
const DEFAULT_LIMIT = 20;
/** Maximum number of servers that are listed. */
const MAX_LIMIT = 300;
/** Maximum length of a text in a question, but for the body, in characters. */
const MAX_TEXT_LENGTH = 8_192;
/** Longest wait of a caller that is believed, in milliseconds. */
const MAX_WAIT_MS = 86_400_000;
const METHOD_PATTERN = /^[A-Z]+$/;
const BASE64_PATTERN = /^[A-Za-z0-9+/]*={0,2}$/;
const BASE64_CHARACTERS_PER_BYTE = 4 / 3;

type Fields = Readonly<Record<string, unknown>>;

/** A decoded question. @internal */
export interface DecodedQuestion {
  readonly request: CallerRequest;
  /** Number of servers to list at most. */
  readonly limit: number;
}

/**
 * Decodes an operator's question as if its request had just arrived. Callers' sizes are bounded without
 * a word; those of a question are refused.
 *
 * @throws SycamoreheadError `malformed_request`, `body_too_large`, `not_found`, `no_configuration`.
 * @example
 * ```ts
 * decodeQuestion({host: 'shop.example', target: '/drafts/1'}, routes).request.path; // '/drafts/1'
 * ```
 * @internal
 */
export function decodeQuestion(
  question: unknown,
  routes: RouteTable | undefined,
): DecodedQuestion {
  if (!routes) throw buildUnconfigured();
  if (typeof question !== 'object' || question === null) {
    throw refuse('question', 'an object');
  }
  const fields = question as Fields;
  const target = readText(fields, 'target') ?? '';
  if (!target.startsWith('/')) throw refuse('target', 'a path');
  const host = readHost(readText(fields, 'host'));
  if (host === '') throw refuse('host', 'the name of a host');
  const method = readText(fields, 'method') ?? 'GET';
  if (!METHOD_PATTERN.test(method)) throw refuse('method', 'capital letters');
  const request: CallerRequest = {
    id: readText(fields, 'requestId') ?? randomUUID(),
    method,
    target,
    path: target.split('?', 1)[0] ?? target,
    host,
    rawHeaders: [],
    key: readKey(fields, routes),
    session: readText(fields, 'session'),
    lastEventId: undefined,
    arrivedAt: performance.now(),
    waitMs: readCount(fields, 'waitMs', MAX_WAIT_MS),
    size: {
      promptTokens: readCount(fields, 'promptTokens', MAX_TOKENS) ?? 0,
      answerTokens: Math.max(
        1,
        readCount(fields, 'answerTokens', MAX_TOKENS) ?? 0,
      ),
    },
    promptSegments: readSegments(fields),
    body: readBody(fields, routes.maxBodyBytes),
  };
  const limit = readCount(fields, 'limit', MAX_LIMIT) ?? DEFAULT_LIMIT;
  return {request, limit};
}

function readKey(fields: Fields, routes: RouteTable): string | undefined {
  const customer = readText(fields, 'customer');
  const key = readText(fields, 'key');
  if (customer === undefined) return key;
  if (key !== undefined) throw refuse('customer', 'none beside a key');
  const known = routes.findKey(customer);
  if (known !== undefined) return known;
  throw new SycamoreheadError('not_found', 'no customer has this name', {
    field: 'customer',
  });
}

function readSegments(fields: Fields): PromptSegment[] {
  const {segments = []} = fields;
  if (!Array.isArray(segments) || segments.length > MAX_SEGMENTS) {
    throw refuse('segments', `a list of at most ${MAX_SEGMENTS}`);
  }
  return segments.map((segment: unknown) => {
    if (typeof segment !== 'object' || segment === null) {
      throw refuse('segments', 'objects');
    }
    const id = readText(segment as Fields, 'id');
    if (id === undefined || id.length > MAX_SEGMENT_ID_LENGTH) {
      throw refuse('id', `1 to ${MAX_SEGMENT_ID_LENGTH} characters`);
    }
    return {
      id,
      tokens: readCount(segment as Fields, 'tokens', MAX_TOKENS) ?? 0,
    };
  });
}

function readBody(fields: Fields, maxBytes: number): Buffer {
  const {body = ''} = fields;
  if (typeof body !== 'string') throw refuse('body', 'base64');
  const bytes = Math.floor(body.length / BASE64_CHARACTERS_PER_BYTE);
  // Padding takes up to two characters.
  if (bytes - 2 > maxBytes) throw buildTooLarge(maxBytes);
  if (!BASE64_PATTERN.test(body)) throw refuse('body', 'base64');
  const decoded = Buffer.from(body, 'base64');
  if (decoded.length > maxBytes) throw buildTooLarge(maxBytes);
  return decoded;
}

function readText(
  fields: Fields,
  name: Exclude<keyof RequestQuestion, 'body'> | 'id',
): string | undefined {
  const value = fields[name];
  if (value === undefined || value === '') return undefined;
  if (typeof value !== 'string' || value.length > MAX_TEXT_LENGTH) {
    throw refuse(name, `a text of at most ${MAX_TEXT_LENGTH} characters`);
  }
  return value;
}

function readCount(
  fields: Fields,
  name: keyof RequestQuestion | 'tokens',
  max: number,
): number | undefined {
  const value = fields[name];
  if (value === undefined) return undefined;
  const isCount =
    typeof value === 'number' &&
    Number.isInteger(value) &&
    value >= 0 &&
    value <= max;
  if (!isCount) throw refuse(name, `a whole number of 0 to ${max}`);
  return value;
}

function buildTooLarge(maxBytes: number): SycamoreheadError {
  return new SycamoreheadError(
    'body_too_large',
    `the body exceeds ${maxBytes} bytes`,
    {field: 'body'},
  );
}

/** Builds the error of a field, whose value may be secret and is not told. */
function refuse(field: string, expected: string): SycamoreheadError {
  return new SycamoreheadError(
    'malformed_request',
    `${field}: expected ${expected}`,
    {field},
  );
}
