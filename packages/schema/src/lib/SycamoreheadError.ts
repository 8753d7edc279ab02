import {
  ErrorKind,
  ExecutionStatus,
  getErrorResponse,
  isErrorKind,
} from './errorKinds.js';

/** Optional particulars of an error. @public */
export interface ErrorDetails {
  /** Overrides the kind's default; `no` promises that the work was not run. */
  readonly ran?: ExecutionStatus;
  /** Overrides the kind's default retry advice, in milliseconds. */
  readonly retryAfterMs?: number;
  /** The input field at fault, as a dotted path. */
  readonly field?: string;
  /** Identifier of the leader to ask instead, for `not_leader`. */
  readonly leader?: string;
  readonly cause?: unknown;
}

/** The JSON body of an error answer, and an error's form between processes. @public */
export interface ErrorBody {
  readonly kind: ErrorKind;
  readonly message: string;
  readonly ran: ExecutionStatus;
  readonly retryAfterMs?: number;
  readonly field?: string;
  readonly leader?: string;
}

/**
 * The error class of the whole product: a kind of the closed list with a message.
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
    const answer = getErrorResponse(kind);
    this.name = 'SycamoreheadError';
    this.kind = kind;
    this.ran = details.ran ?? answer.ran;
    this.retryAfterMs = details.retryAfterMs ?? answer.retryAfterMs;
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
 * Turns anything thrown into a SycamoreheadError; what is not one becomes `internal`.
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
 * Rebuilds an error received from another process.
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
