import {ChatChunk, SycamoreheadError} from '@sycamorehead/schema';

const FINISH_REASONS: ReadonlySet<unknown> = new Set(['stop', 'length']);

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isOptional(
  value: unknown,
  isValid: (present: unknown) => boolean,
): boolean {
  return value === undefined || value === null || isValid(value);
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function isUsage(value: unknown): boolean {
  return (
    isRecord(value) &&
    isCount(value.prompt_tokens) &&
    isCount(value.completion_tokens) &&
    isOptional(value.cached_tokens, isCount)
  );
}

function isChoice(value: unknown): boolean {
  return (
    isRecord(value) &&
    isRecord(value.delta) &&
    isOptional(value.delta.content, text => typeof text === 'string') &&
    isOptional(value.finish_reason, reason => FINISH_REASONS.has(reason))
  );
}

/** Checks a chunk without a schema library, for speed: this function runs for every token. */
function isChunk(value: unknown): value is ChatChunk {
  return (
    isRecord(value) &&
    typeof value.id === 'string' &&
    value.id !== '' &&
    Array.isArray(value.choices) &&
    value.choices.every(isChoice) &&
    isOptional(value.offset, isCount) &&
    isOptional(value.tokens, isCount) &&
    isOptional(value.usage, isUsage)
  );
}

function parseJson(data: string): unknown {
  try {
    return JSON.parse(data);
  } catch {
    return undefined;
  }
}

/**
 * Parses one event of an engine's stream and checks its form.
 *
 * @throws SycamoreheadError `backend_failed` if it is not a chunk of a chat answer.
 * @example
 * ```ts
 * parseChunk('{"id":"r.1","choices":[]}').id; // 'r.1'
 * ```
 * @internal
 */
export function parseChunk(data: string): ChatChunk {
  const value = parseJson(data);
  if (isChunk(value)) return value;
  throw new SycamoreheadError(
    'backend_failed',
    `the engine sent an event that is not a chunk: ${data.slice(0, 80)}`,
  );
}
