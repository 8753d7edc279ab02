import createDebug from 'debug';

/** The fields of a log line. @public */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes one line of key=value pairs for an event. @public */
export type Logger = (event: string, fields?: LogFields) => void;

const NEEDS_QUOTES = /[\s"=]/;
const MAX_VALUE_LENGTH = 1_000;

function formatValue(value: string | number | boolean): string {
  const text = String(value).slice(0, MAX_VALUE_LENGTH);
  return NEEDS_QUOTES.test(text) || text === '' ? JSON.stringify(text) : text;
}

/**
 * Formats one event as `event=name key=value …`; undefined values are omitted.
 *
 * @example
 * ```ts
 * formatLogLine('started', {port: 80}); // 'event=started port=80'
 * ```
 * @public
 */
export function formatLogLine(event: string, fields: LogFields = {}): string {
  const pairs = [`event=${formatValue(event)}`];
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) pairs.push(`${key}=${formatValue(value)}`);
  }
  return pairs.join(' ');
}

/**
 * Creates the logger of one module. The environment variable `DEBUG=sycamorehead:*` or the option
 * `--log` of a program enables it.
 *
 * @example
 * ```ts
 * const log = createLogger('entry');
 * log('request_done', {request: 'r1', ms: 12});
 * ```
 * @public
 */
export function createLogger(module: string): Logger {
  const debug = createDebug(`sycamorehead:${module}`);
  return (event, fields) => {
    if (debug.enabled) debug('%s', formatLogLine(event, fields));
  };
}

/**
 * Enables the loggers of the modules that match a `debug` pattern.
 *
 * @example
 * ```ts
 * setLogPattern('sycamorehead:*');
 * ```
 * @public
 */
export function setLogPattern(pattern: string): void {
  createDebug.enable(pattern);
}
