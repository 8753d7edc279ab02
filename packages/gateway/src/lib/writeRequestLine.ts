import type {SycamoreheadError} from '@sycamorehead/schema';
import {writeDecision} from '@sycamorehead/telemetry';
import type {CallerRequest} from './CallerRequest.js';
import type {ModelCascade} from './ModelCascade.js';

/** What became of one request. @internal */
export interface RequestRecord {
  readonly request: CallerRequest;
  readonly routeName: string;
  /** Status sent, or 0 where the caller has gone. */
  readonly status: number;
  readonly failure: SycamoreheadError | undefined;
  readonly isCallerDisconnected: boolean;
  readonly cascade: ModelCascade;
  /** Each send with its outcome. */
  readonly history: readonly string[];
  readonly waitedMs: number;
  /** Version of the configuration in force. */
  readonly version: number | undefined;
}

/** Writes the one log line of a request; docs/OPERATIONS.md says how to read it. @internal */
export function writeRequestLine(record: RequestRecord): void {
  const {request, failure, cascade} = record;
  writeDecision('request', {
    request: request.id,
    route: record.routeName,
    status: record.status,
    kind: failure?.kind,
    reason: failure?.message,
    gone: record.isCallerDisconnected || undefined,
    tokens: request.promptTokens || undefined,
    model: cascade.answeredBy,
    pressure: cascade.lastPressure?.toFixed(2),
    sends: record.history.join(','),
    waited_ms: Math.round(record.waitedMs),
    ms: Math.round(performance.now() - request.arrivedAt),
    version: record.version,
  });
}
