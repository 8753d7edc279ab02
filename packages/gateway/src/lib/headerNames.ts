import {listConnectionNames} from './listConnectionNames.js';

/** Names of the headers that callers and backend servers use, in lower case. @public */
export interface HeaderNames {
  readonly requestId: string;
  /** Time that the caller will wait, in milliseconds. */
  readonly deadlineMs: string;
  /** A customer's key. */
  readonly key: string;
  /** The customer's name, sent to backend servers. */
  readonly customer: string;
  /** Id of the intended backend server. */
  readonly expectServer: string;
  /** Id of the answering backend server; only some answers have it. */
  readonly serverId: string;
  /** Present on an answer that guarantees that the request was not run. */
  readonly notExecuted: string;
  /** Set to 1 on the answers of a backend server that is leaving. */
  readonly serverLeaving: string;
  /** Requests a second that a backend server accepts from all entries together, a decimal number. */
  readonly serverLimit: string;
  /** Time for which a backend server stays cold, in whole milliseconds. */
  readonly coldMs: string;
  /** A backend server's signature of its answer. */
  readonly signature: string;
  readonly model: string;
  /** Prompt tokens and maximum answer tokens, `IN,OUT`. */
  readonly tokenUsage: string;
  /** Segments of the prompt in order, `ID:TOKENS,...`. */
  readonly prefix: string;
  readonly session: string;
  readonly lastEventId: string;
  readonly priority: string;
  /** The confidence of a model in its answer, 0 to 100. */
  readonly confidence: string;
  /** The version of a model's weights; also the name of a field of events, as their first line. */
  readonly weightVersion: string;
  /** Headers that only the router may set; removed from callers' requests. */
  readonly routerOwned: readonly string[];
}

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Copies the end-to-end headers and preserves their case and order.
 *
 * @example
 * ```ts
 * copyEndToEndHeaders(['Host', 'a', 'Connection', 'close'], new Set()); // ['Host', 'a']
 * ```
 * @public
 */
export function copyEndToEndHeaders(
  rawHeaders: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  const named = listConnectionNames(rawHeaders);
  const copied: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const key = name.toLowerCase();
    if (CONNECTION_HEADERS.has(key) || named.has(key) || dropped.has(key)) {
      continue;
    }
    copied.push(name, rawHeaders[index + 1] ?? '');
  }
  return copied;
}
