import {Socket} from 'node:net';
import {LogFields, formatLogLine} from './createLogger.js';

/** Time for which lines are buffered before they are written together, in milliseconds. */
const FLUSH_INTERVAL_MS = 100;
/** Maximum number of lines buffered between two writes; further lines are dropped and counted. */
const MAX_BUFFERED_LINES = 1_000;
/** Maximum number of bytes pending on standard output; above it, lines are dropped and counted. */
const MAX_PENDING_BYTES = 1024 * 1024;

let lines: string[] = [];
let dropped = 0;
let timer: NodeJS.Timeout | undefined;
let output: NodeJS.WritableStream & {writableLength: number};
let isEnabled = false;

/**
 * Enables decision lines. They are written to standard output without ever blocking: lines that the
 * reader does not consume in time are dropped, and the number of dropped lines is written.
 *
 * @example
 * ```ts
 * startDecisionLog();
 * ```
 * @public
 */
export function startDecisionLog(): void {
  isEnabled = true;
  try {
    // Unlike process.stdout, a socket over a pipe does not block its writer.
    output = new Socket({fd: 1, readable: false, writable: true});
  } catch {
    // Standard output is a file, and writing to a file does not block for long.
    output = process.stdout;
  }
  output.on('error', () => {
    // The reader has closed its end, so decision lines cannot be written any more.
    isEnabled = false;
  });
}

/**
 * Writes one line for a decision that affects a request or changes the process's view of the
 * system.
 *
 * @example
 * ```ts
 * writeDecision('request_done', {request: '9c41', status: 200, ms: 12});
 * ```
 * @public
 */
export function writeDecision(event: string, fields: LogFields = {}): void {
  if (!isEnabled) return;
  if (lines.length >= MAX_BUFFERED_LINES) {
    dropped += 1;
    return;
  }
  const at = Math.round(performance.now());
  lines.push(formatLogLine(event, {at, ...fields}));
  timer ??= setTimeout(flushDecisionLog, FLUSH_INTERVAL_MS);
}

/**
 * Writes the buffered lines, for example before the process exits.
 *
 * @example
 * ```ts
 * flushDecisionLog();
 * ```
 * @public
 */
export function flushDecisionLog(): void {
  clearTimeout(timer);
  timer = undefined;
  if (!isEnabled || lines.length === 0) return;
  if (output.writableLength > MAX_PENDING_BYTES) {
    dropped += lines.length;
    lines = [];
    return;
  }
  if (dropped > 0) lines.push(formatLogLine('lines_dropped', {dropped}));
  dropped = 0;
  output.write(lines.join('\n') + '\n');
  lines = [];
}
