/**
 * All error kinds, and the table that maps each kind to its response.
 *
 * @public
 */

/** Whether the work of a failed request was executed, as stated in the error body. @public */
export type ExecutionStatus = 'no' | 'unknown' | 'yes';

/** The response to an error of one kind. @public */
export interface ErrorResponse {
  /** HTTP status code. */
  readonly status: number;
  /** Default of the body's `ran` field, which the details of an error can override. */
  readonly ran: ExecutionStatus;
  /** Suggested delay before a retry, in milliseconds; absent if a retry cannot succeed. */
  readonly retryAfterMs?: number;
  /** Exit code of the command-line tool. */
  readonly exitCode: number;
}

/** Every error kind with its response. @public */
export const ERROR_RESPONSES = {
  malformed_request: {status: 400, ran: 'no', exitCode: 10},
  body_too_large: {status: 413, ran: 'no', exitCode: 11},
  header_too_large: {status: 431, ran: 'no', exitCode: 11},
  request_timeout: {status: 408, ran: 'no', exitCode: 40},
  unauthenticated: {status: 401, ran: 'no', exitCode: 12},
  not_permitted: {status: 403, ran: 'no', exitCode: 13},
  unknown_model: {status: 404, ran: 'no', exitCode: 14},
  unknown_service: {status: 404, ran: 'no', exitCode: 15},
  not_found: {status: 404, ran: 'no', exitCode: 16},
  method_not_allowed: {status: 405, ran: 'no', exitCode: 16},
  context_too_long: {status: 400, ran: 'no', exitCode: 17},
  idempotency_key_required: {status: 400, ran: 'no', exitCode: 18},
  idempotency_key_reused: {status: 422, ran: 'no', exitCode: 19},
  in_progress: {
    status: 409,
    ran: 'unknown',
    retryAfterMs: 1_000,
    exitCode: 20,
  },
  answer_not_kept: {status: 410, ran: 'yes', exitCode: 36},
  bill_pending: {status: 503, ran: 'yes', exitCode: 37},
  caller_gone: {status: 499, ran: 'unknown', exitCode: 35},
  outcome_unknown: {status: 502, ran: 'unknown', exitCode: 21},
  version_withdrawn: {status: 410, ran: 'no', exitCode: 22},
  no_configuration: {
    status: 503,
    ran: 'no',
    retryAfterMs: 1_000,
    exitCode: 23,
  },
  no_backend_server: {
    status: 503,
    ran: 'no',
    retryAfterMs: 1_000,
    exitCode: 24,
  },
  overloaded: {status: 503, ran: 'no', retryAfterMs: 1_000, exitCode: 25},
  segment_quarantined: {
    status: 503,
    ran: 'no',
    retryAfterMs: 60_000,
    exitCode: 38,
  },
  request_quarantined: {
    status: 503,
    ran: 'no',
    retryAfterMs: 60_000,
    exitCode: 39,
  },
  data_centre_evacuated: {
    status: 503,
    ran: 'no',
    retryAfterMs: 2_000,
    exitCode: 41,
  },
  rate_limited: {status: 429, ran: 'no', retryAfterMs: 1_000, exitCode: 26},
  deadline_exceeded: {status: 504, ran: 'unknown', exitCode: 27},
  backend_failed: {status: 502, ran: 'unknown', exitCode: 28},
  incomplete_answer: {status: 502, ran: 'unknown', exitCode: 29},
  stopping: {status: 503, ran: 'no', retryAfterMs: 500, exitCode: 30},
  note_invalid: {status: 422, ran: 'no', exitCode: 3},
  note_conflict: {status: 409, ran: 'no', exitCode: 4},
  note_out_of_order: {status: 409, ran: 'no', exitCode: 5},
  not_leader: {status: 503, ran: 'no', retryAfterMs: 200, exitCode: 31},
  control_unavailable: {
    status: 503,
    ran: 'unknown',
    retryAfterMs: 1_000,
    exitCode: 6,
  },
  storage_failed: {status: 503, ran: 'unknown', exitCode: 32},
  link_closed: {status: 503, ran: 'unknown', exitCode: 33},
  frame_invalid: {status: 400, ran: 'no', exitCode: 34},
  timeout: {status: 504, ran: 'unknown', exitCode: 7},
  settings_invalid: {status: 500, ran: 'no', exitCode: 2},
  internal: {status: 500, ran: 'unknown', exitCode: 1},
} as const satisfies Record<string, ErrorResponse>;

/** An error kind. @public */
export type ErrorKind = keyof typeof ERROR_RESPONSES;

/**
 * Returns the response to errors of a kind.
 *
 * @example
 * ```ts
 * getErrorResponse('unauthenticated').status; // 401
 * ```
 * @public
 */
export function getErrorResponse(kind: ErrorKind): ErrorResponse {
  return ERROR_RESPONSES[kind];
}

/**
 * Returns whether a string is an error kind; used for errors received from another process.
 *
 * @example
 * ```ts
 * isErrorKind('overloaded'); // true
 * ```
 * @public
 */
export function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(ERROR_RESPONSES, text);
}
