import type {Dispatcher} from 'undici';

const PARTIAL_STATUS = 206;
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;
/** The body as it is. */
const IDENTITY = 'identity';
const CHUNKED = 'chunked';

/**
 * Returns why the body of a plain service's response is not the one that its caller is owed; undefined if
 * it may be. Callers get the body without these fields, and no call asks for a coding or for a part.
 *
 * @example
 * ```ts
 * findServiceViolation(response); // 'the response is encoded: gzip'
 * ```
 * @internal
 */
export function findServiceViolation({
  statusCode,
  headers,
}: Dispatcher.ResponseData): string | undefined {
  if (statusCode < MIN_FINAL_STATUS || statusCode > MAX_FINAL_STATUS) {
    return `the status ${statusCode} is not that of a final response`;
  }
  const coding = String(headers['content-encoding'] ?? IDENTITY);
  const transferCoding = String(headers['transfer-encoding'] ?? CHUNKED);
  const isEncoded =
    coding.toLowerCase() !== IDENTITY ||
    transferCoding.toLowerCase() !== CHUNKED;
  if (isEncoded) return `the response is encoded: ${coding} ${transferCoding}`;
  return statusCode === PARTIAL_STATUS
    ? 'the response is a part of one'
    : undefined;
}
