import {ChatRequest, SycamoreheadError} from '@sycamorehead/schema';

const MIN_DEADLINE_MS = 1;

/**
 * Reads the time within which a caller requires its answer from `metadata.deadline_ms`. Returns
 * `maxMs` if it is absent or longer.
 *
 * @throws SycamoreheadError `malformed_request` if it is not a number of at least 1.
 * @example
 * ```ts
 * readDeadlineMs({metadata: {deadline_ms: '600'}}, 120_000); // 600
 * ```
 * @public
 */
export function readDeadlineMs(
  chat: Pick<ChatRequest, 'metadata'>,
  maxMs: number,
): number {
  const text = chat.metadata?.deadline_ms;
  if (text === undefined) return maxMs;
  const deadlineMs = Number(text);
  if (Number.isFinite(deadlineMs) && deadlineMs >= MIN_DEADLINE_MS) {
    return Math.min(deadlineMs, maxMs);
  }
  throw new SycamoreheadError(
    'malformed_request',
    'metadata.deadline_ms: expected a number of milliseconds, at least 1',
    {field: 'metadata.deadline_ms'},
  );
}
