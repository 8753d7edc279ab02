import {
  ErrorKind,
  ExecutionStatus,
  getErrorResponse,
  isErrorKind,
} from './errorKinds.js';

/** Optional details of an error. @public */
export interface ErrorDetails {
  /** Overrides the kind's default. `no` guarantees that the work was not executed. */
  readonly ran?: ExecutionStatus;
  /** Overrides the kind's default delay before a retry, in milliseconds. */
  readonly retryAfterMs?: number;
  /** The invalid input field, as a dotted path. */
  readonly field?: string;
  /** Identifier of the current leader, for `not_leader`. */
  readonly leader?: string;
  readonly cause?: unknown;
}

/** The JSON body of an error response, and the form of an error sent between processes. @public */
export interface ErrorBody {
  readonly kind: ErrorKind;
  readonly message: string;
  readonly ran: ExecutionStatus;
  readonly retryAfterMs?: number;
  readonly field?: string;
  readonly leader?: string;
}

/**
 * The error class used by all packages: an error kind with a message.
 *
 * @public
 */
export class SycamoreheadError extends Error {
  readonly kind: ErrorKind;
  readonly ran: ExecutionStatus;
  readonly retryAfterMs: number | undefined;
  readonly field: string | undefined;
  readonly leader: string | undefined;

  constructor(kind: ErrorKind, message: string, details: ErrorDetails = {}) {
    super(message, {cause: details.cause});
    const response = getErrorResponse(kind);
    this.name = 'SycamoreheadError';
    this.kind = kind;
    this.ran = details.ran ?? response.ran;
    this.retryAfterMs = details.retryAfterMs ?? response.retryAfterMs;
    this.field = details.field;
    this.leader = details.leader;
  }

  /**
   * Returns the JSON form of this error.
   *
   * @example
   * ```ts
   * new SycamoreheadError('stopping', 'shutting down').toBody().ran; // 'no'
   * ```
   */
  toBody(): ErrorBody {
    return {
      kind: this.kind,
      message: this.message,
      ran: this.ran,
      ...(this.retryAfterMs !== undefined && {retryAfterMs: this.retryAfterMs}),
      ...(this.field !== undefined && {field: this.field}),
      ...(this.leader !== undefined && {leader: this.leader}),
    };
  }
}

/**
 * Converts a thrown value to a SycamoreheadError. Any other value gets the kind `internal`.
 *
 * @example
 * ```ts
 * toSycamoreheadError(new Error('x')).kind; // 'internal'
 * ```
 * @public
 */
export function toSycamoreheadError(thrown: unknown): SycamoreheadError {
  if (thrown instanceof SycamoreheadError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new SycamoreheadError('internal', message, {cause: thrown});
}

/**
 * Reconstructs an error received from another process.
 *
 * @example
 * ```ts
 * readErrorBody({kind: 'not_leader', message: 'ask c2', ran: 'no'}).kind; // 'not_leader'
 * ```
 * @public
 */
export function readErrorBody(body: unknown): SycamoreheadError {
  if (typeof body !== 'object' || body === null) {
    return new SycamoreheadError('internal', 'error without a body');
  }
  const {kind, message, ran, retryAfterMs, field, leader} = body as Record<
    string,
    unknown
  >;
  if (typeof kind !== 'string' || !isErrorKind(kind)) {
    return new SycamoreheadError('internal', `unknown error kind ${kind}`);
  }
  return new SycamoreheadError(kind, String(message ?? kind), {
    ran: ran === 'no' || ran === 'yes' || ran === 'unknown' ? ran : undefined,
    retryAfterMs: typeof retryAfterMs === 'number' ? retryAfterMs : undefined,
    field: typeof field === 'string' ? field : undefined,
    leader: typeof leader === 'string' ? leader : undefined,
  });
}
