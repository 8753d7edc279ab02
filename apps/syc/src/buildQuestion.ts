import type {RequestQuestion} from '@sycamorehead/fleet';
import {SycamoreheadError} from '@sycamorehead/schema';

/** What `syc explain` is told of a request, as text. @internal */
export interface QuestionArguments {
  /** `HOST/PATH`. */
  readonly url: string;
  readonly method: string | undefined;
  readonly id: string | undefined;
  readonly customer: string | undefined;
  readonly session: string | undefined;
  /** `IN,OUT`. */
  readonly tokens: string | undefined;
  /** `ID:TOKENS,...`. */
  readonly segments: string | undefined;
  readonly waitMs: string | undefined;
  readonly limit: string | undefined;
}

/**
 * Builds the question to an entry from the arguments of the command line.
 *
 * @throws SycamoreheadError `malformed_request` naming the argument.
 * @example
 * ```ts
 * buildQuestion({...none, url: 'shop.example/drafts/1', tokens: '800,20'}).promptTokens; // 800
 * ```
 * @internal
 */
export function buildQuestion(args: QuestionArguments): RequestQuestion {
  const {url, method, id, customer, session, waitMs, limit} = args;
  const [, host, target = '/'] = /^([^/:]+)(?::\d+)?(\/.*)?$/.exec(url) ?? [];
  if (host === undefined) throw refuse('HOST/PATH', 'as in shop.example/x');
  return {
    host,
    target,
    method,
    requestId: id,
    customer,
    session,
    ...parseSize(args.tokens),
    segments: args.segments?.split(',').map(parseSegment),
    waitMs: parseCount('--wait-ms', waitMs),
    limit: parseCount('--limit', limit),
  };
}

function parseSize(
  text: string | undefined,
): Pick<RequestQuestion, 'promptTokens' | 'answerTokens'> {
  if (text === undefined) return {};
  const [promptTokens, answerTokens, ...rest] = text.split(',');
  if (rest.length > 0) throw refuse('--tokens', 'IN,OUT');
  return {
    promptTokens: parseCount('--tokens', promptTokens),
    answerTokens: parseCount('--tokens', answerTokens),
  };
}

function parseSegment(text: string): {id: string; tokens: number} {
  const [id = '', tokens, ...rest] = text.split(':');
  const count = parseCount('--segments', tokens);
  if (id === '' || count === undefined || rest.length > 0) {
    throw refuse('--segments', 'ID:TOKENS,...');
  }
  return {id, tokens: count};
}

function parseCount(
  name: string,
  text: string | undefined,
): number | undefined {
  if (text === undefined) return undefined;
  if (/^\d+$/.test(text)) return Number(text);
  throw refuse(name, 'whole numbers');
}

function refuse(name: string, expected: string): SycamoreheadError {
  return new SycamoreheadError(
    'malformed_request',
    `${name}: expected ${expected}`,
  );
}
