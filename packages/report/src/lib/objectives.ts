import {ErrorKind, isErrorKind} from '@sycamorehead/schema';

/** What the service promises. @public */
export interface Objectives {
  /** Share of answerable requests that are answered whole, 0 to 1. */
  readonly availability: number;
  /** Time to first token in seconds that `firstTokenShare` of the answers keep within. */
  readonly firstTokenSeconds: number;
  readonly firstTokenShare: number;
}

/** Objectives used where the settings give none. @public */
export const DEFAULT_OBJECTIVES: Objectives = {
  availability: 0.999,
  firstTokenSeconds: 1.6,
  firstTokenShare: 0.95,
};

/** A window over which burn is computed. @public */
export interface BurnWindow {
  readonly name: string;
  readonly lengthMs: number;
  /** Burn above which someone is alerted. */
  readonly alertAbove: number;
  readonly speed: 'fast' | 'slow';
}

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/**
 * Windows with the alert thresholds customary for a 30-day budget: 2% of it in an hour, 5% in
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

/** Errors that are the caller's own, so they spend none of the service's budget. */
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

/** How an outcome counts. @public */
export type OutcomeClass = 'answered' | 'failed' | 'excluded';

/**
 * Classifies an answer's outcome label.
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
