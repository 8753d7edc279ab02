import type {QueueNote} from '@sycamorehead/routing';
import type {SycamoreheadError} from '@sycamorehead/schema';
import {writeDecision} from '@sycamorehead/telemetry';
import type {CallerAnswer} from './CallerAnswer.js';
import {CallerRequest, listSharedSegments} from './CallerRequest.js';
import type {ModelCascade} from './ModelCascade.js';

/** Maximum number of prompt segments in a line. */
const MAX_SEGMENTS = 6;

/** The outcome of one request. @internal */
export interface RequestRecord {
  readonly request: CallerRequest;
  readonly routeName: string;
  /** Undefined if the request was refused before its first send. */
  readonly fingerprint: string | undefined;
  /** The status sent, or 0 if the caller has disconnected. */
  readonly status: number;
  readonly failure: SycamoreheadError | undefined;
  readonly isCallerDisconnected: boolean;
  readonly answer: CallerAnswer;
  readonly cascade: ModelCascade;
  /** Each send with its outcome. */
  readonly history: readonly string[];
  readonly waitedMs: number;
  /** How it began to wait; undefined if it did not. */
  readonly queueNote: QueueNote | undefined;
  /** Version of the configuration in force. */
  readonly version: number | undefined;
}

/** Writes the log line of a request; docs/OPERATIONS.md describes it. @internal */
export function writeRequestLine(record: RequestRecord): void {
  const {request, failure, cascade, answer} = record;
  const {firstBytesAt} = answer;
  writeDecision('request', {
    request: request.id,
    route: record.routeName,
    fingerprint: record.fingerprint,
    status: record.status,
    kind: failure?.kind,
    reason: failure?.message,
    gone: record.isCallerDisconnected || undefined,
    tokens: request.size.promptTokens || undefined,
    segments:
      listSharedSegments(request).slice(0, MAX_SEGMENTS).join(',') || undefined,
    model: cascade.answeredBy,
    confidence: cascade.lastConfidence,
    pressure: cascade.lastPressure?.toFixed(2),
    sends: record.history.join(','),
    waited_ms: Math.round(record.waitedMs),
    queued: formatQueueNote(record.queueNote),
    first_ms: firstBytesAt && Math.round(firstBytesAt - request.arrivedAt),
    pause_ms: Math.round(answer.longestPauseMs) || undefined,
    ms: Math.round(performance.now() - request.arrivedAt),
    version: record.version,
  });
}

function formatQueueNote(note: QueueNote | undefined): string | undefined {
  if (!note) return undefined;
  const {urgencyClass, ahead, expectedMs} = note;
  const expected = expectedMs === undefined ? '?' : Math.round(expectedMs);
  return `${urgencyClass}:${ahead}~${expected}`;
}
