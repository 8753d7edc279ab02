import type {Bill} from '@sycamorehead/schema';

/** Result of comparing the released answers with the bills. @internal */
export interface AnswerComparison {
  /** Number of requests with a released answer; a resent request counts once. */
  readonly answers: number;
  /** Number of these requests that have their one bill. */
  readonly billedOnce: number;
  /** Keys of requests that were answered but have no bill. */
  readonly missing: readonly string[];
}

/** Log line of a released answer; captures the request's key, which may be quoted. */
const RELEASED_ANSWER = /event=answer_released\b.*?\srequest_key=("[^"]*"|\S+)/;

/** Compares the released answers in the entries' logs with the bills. @internal */
export function compareAnswers(
  log: string,
  bills: readonly Bill[],
  customer?: string,
): AnswerComparison {
  const answered = new Set<string>();
  for (const line of log.split('\n')) {
    const key = RELEASED_ANSWER.exec(line)?.[1];
    if (key === undefined) continue;
    const text = key.startsWith('"') ? (JSON.parse(key) as string) : key;
    if (customer && !text.startsWith(`${customer}/`)) continue;
    answered.add(text);
  }
  // The ledger holds at most one bill per key, so duplicates need no check.
  const billed = new Set(bills.map(({requestKey}) => requestKey));
  const missing = [...answered].filter(key => !billed.has(key));
  return {
    answers: answered.size,
    billedOnce: answered.size - missing.length,
    missing,
  };
}
