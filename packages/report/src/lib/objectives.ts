import {ErrorKind, isErrorKind} from '@sycamorehead/schema';

/** Service-level objectives. @public */
export interface Objectives {
  /** Share of the requests without caller errors that are answered completely, 0 to 1. */
  readonly availability: number;
  /** Time, in seconds, within which `firstTokenShare` of the answers send their first token. */
  readonly firstTokenSeconds: number;
  /** Share of the answers with a first token within `firstTokenSeconds`, 0 to 1. */
  readonly firstTokenShare: number;
}

/** Default objectives. @public */
export const DEFAULT_OBJECTIVES: Objectives = {
  availability: 0.999,
  firstTokenSeconds: 1.6,
  firstTokenShare: 0.95,
};

/** A window over which burn is computed. @public */
export interface BurnWindow {
  readonly name: string;
  readonly lengthMs: number;
  /** Burn above which an alert is raised. */
  readonly alertAbove: number;
  readonly speed: 'fast' | 'slow';
}

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/**
 * Windows with the usual alert thresholds for a 30-day error budget: 2% of it in one hour, 5% in
 * six hours, 10% in three days.
 *
 * @public
 */
export const BURN_WINDOWS: readonly BurnWindow[] = [
  {name: '5m', lengthMs: 5 * MINUTE_MS, alertAbove: 14.4, speed: 'fast'},
  {name: '1h', lengthMs: HOUR_MS, alertAbove: 14.4, speed: 'fast'},
  {name: '6h', lengthMs: 6 * HOUR_MS, alertAbove: 6, speed: 'slow'},
  {name: '3d', lengthMs: 72 * HOUR_MS, alertAbove: 1, speed: 'slow'},
];

/** Errors caused by the caller, which do not count against the service's error budget. */
const CALLER_ERRORS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'malformed_request',
  'body_too_large',
  'header_too_large',
  'unauthenticated',
  'not_permitted',
  'unknown_model',
  'unknown_service',
  'not_found',
  'method_not_allowed',
  'context_too_long',
  'idempotency_key_required',
  'idempotency_key_reused',
  'rate_limited',
]);

/** How an outcome counts towards the availability objective. @public */
export type OutcomeClass = 'answered' | 'failed' | 'excluded';

/**
 * Classifies the outcome label of an answer.
 *
 * @example
 * ```ts
 * classifyOutcome('overloaded'); // 'failed'
 * ```
 * @public
 */
export function classifyOutcome(outcome: string): OutcomeClass {
  if (outcome === 'ok') return 'answered';
  const isCallerError = isErrorKind(outcome) && CALLER_ERRORS.has(outcome);
  return isCallerError ? 'excluded' : 'failed';
}
