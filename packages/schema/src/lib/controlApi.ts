/**
 * Messages between entries and control about sessions, request records, bills and leases.
 *
 * @public
 */
import type {Configuration} from './configuration.js';
import type {ConfigurationDelta} from './configurationDelta.js';
import type {VersionRef} from './releaseNote.js';
import type {Usage} from './chat.js';

/** A lease on a configuration revision. Valid for `leaseMs` from when its request was sent. @public */
export interface LeaseGrant {
  readonly revision: number;
  readonly leaseMs: number;
  /** The configuration, where the entry's revision differs and no delta leads to it. */
  readonly configuration?: Configuration;
  /** What leads from the entry's revision to this one. */
  readonly delta?: ConfigurationDelta;
}

/** An entry's request for a lease. @public */
export interface LeaseRequest {
  readonly entry: string;
  /** Names one run of the entry's process: two that share a name are still told apart. */
  readonly incarnation?: string;
  /** Revision that the entry routes on; 0 before the first. */
  readonly confirmedRevision: number;
  /** Whether a delta did not fit, so that the whole configuration is needed. */
  readonly needsWhole?: boolean;
}

/** A session's version. @public */
export interface SessionPin extends VersionRef {
  /** Whether this call created the pin. */
  readonly isNew: boolean;
  /** The earlier version, where the pin to it has ended with this call. */
  readonly endedPin?: VersionRef;
}

/** A stored answer of a call that may not be repeated. @public */
export interface StoredResponse {
  readonly status: number;
  readonly contentType: string;
  /** Whole body in base64. */
  readonly body: string;
  /** What a model answer came from; absent for plain services. */
  readonly origin?: AnswerOrigin;
}

/** The version and revision that an answer came from. @public */
export interface AnswerOrigin {
  readonly version: VersionRef;
  readonly revision: number;
}

/** Answer to an entry that wants to run a call that may not be repeated. @public */
export type BeginRequestResult =
  | {readonly state: 'begun'; readonly fencing: number}
  | {readonly state: 'in_progress'}
  | {readonly state: 'outcome_unknown'}
  | {readonly state: 'key_reused'}
  /** It ran and was billed, but its answer is no longer kept. */
  | {readonly state: 'answer_not_kept'}
  /** The table of records is full of records that are too young to drop. */
  | {readonly state: 'records_full'}
  | {readonly state: 'done'; readonly answer: StoredResponse};

/** Answer to an entry that commits the outcome of such a call. @public */
export interface FinishRequestResult {
  /** Whether the record now holds this outcome, also after a resend. */
  readonly isAccepted: boolean;
}

/** One bill; its key is the request it pays for. @public */
export interface Bill {
  readonly requestKey: string;
  /** Identifier that the first caller of this request was given. */
  readonly requestId: string;
  readonly customer: string;
  /** `model/version`, or the service's name. */
  readonly item: string;
  readonly usage?: Usage;
  /** Currency micro-units. */
  readonly amountMicros: number;
  readonly revision: number;
}

/** The commands and queries that control offers to entries. @public */
export interface ControlApi {
  /** Prolongs an entry's lease and confirms the revision that it routes on. */
  renewLease(params: LeaseRequest): Promise<LeaseGrant>;
  /**
   * Returns once a revision above the known one is committed, or after the wait. It is a hint to
   * renew the lease at once and grants nothing.
   */
  watchRevision(params: {
    knownRevision: number;
    waitMs: number;
  }): Promise<{revision: number}>;
  /** Pins a session to a version; the first write wins. */
  pinSession(params: {
    session: string;
    customer: string;
    version: VersionRef;
  }): Promise<SessionPin>;
  /** Commits the intent to run a request that carries an idempotency key. */
  beginRequest(params: {
    requestKey: string;
    bodyDigest: string;
    /** Names one request at one entry, so that a resent command finds its own record. */
    owner: string;
    /** Whether the work may run again where an earlier owner was lost. */
    isRepeatable: boolean;
    /** Time after which an owner that has not finished counts as lost, in milliseconds. */
    ownerLimitMs: number;
  }): Promise<BeginRequestResult>;
  /** Commits the outcome of such a request, with its bill where it is done. */
  finishRequest(params: {
    requestKey: string;
    fencing: number;
    outcome: 'done' | 'not_run' | 'unknown';
    answer?: StoredResponse;
    bill?: Bill;
  }): Promise<FinishRequestResult>;
  /** Commits a bill; a second one with the same key changes nothing. */
  recordBill(params: Bill): Promise<{isNew: boolean}>;
}
