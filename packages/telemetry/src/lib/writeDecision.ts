import {Socket} from 'node:net';
import {LogFields, formatLogLine} from './createLogger.js';

/** Lines are gathered for this long before they are written together, in milliseconds. */
const FLUSH_INTERVAL_MS = 100;
/** Lines kept between two writes; beyond it they are counted and dropped. */
const MAX_LINES = 1_000;
/** Bytes that may wait at standard output; beyond it lines are counted and dropped. */
const MAX_WAITING_BYTES = 1024 * 1024;

let lines: string[] = [];
let dropped = 0;
let timer: NodeJS.Timeout | undefined;
let output: NodeJS.WritableStream & {writableLength: number};
let isEnabled = false;

/**
 * Turns decision lines on. They go to standard output and never block: what the reader does not
 * take in time is dropped, and the number of dropped lines is written.
 *
 * @example
 * ```ts
 * startDecisions();
 * ```
 * @public
 */
export function startDecisionLog(): void {
  isEnabled = true;
  try {
    // Unlike process.stdout, a socket over a pipe does not block its writer.
    output = new Socket({fd: 1, readable: false, writable: true});
  } catch {
    // Standard output is a file, which does not block for long.
    output = process.stdout;
  }
  output.on('error', () => {
    // The reader has gone; there is nowhere left to say so.
    isEnabled = false;
  });
}

/**
 * Writes one line for a decision that touches a request or changes what the process believes.
 *
 * @example
 * ```ts
 * writeDecision('request_done', {request: '9c41', status: 200, ms: 12});
 * ```
 * @public
 */
export function writeDecision(event: string, fields: LogFields = {}): void {
  if (!isEnabled) return;
  if (lines.length >= MAX_LINES) {
    dropped += 1;
    return;
  }
  const at = Math.round(performance.now());
  lines.push(formatLogLine(event, {at, ...fields}));
  timer ??= setTimeout(flushDecisionLog, FLUSH_INTERVAL_MS);
}

/**
 * Writes what has been gathered, as before the process ends.
 *
 * @example
 * ```ts
 * flushDecisions();
 * ```
 * @public
 */
export function flushDecisionLog(): void {
  clearTimeout(timer);
  timer = undefined;
  if (!isEnabled || lines.length === 0) return;
  if (output.writableLength > MAX_WAITING_BYTES) {
    dropped += lines.length;
    lines = [];
    return;
  }
  if (dropped > 0) lines.push(formatLogLine('lines_dropped', {dropped}));
  dropped = 0;
  output.write(lines.join('\n') + '\n');
  lines = [];
}
