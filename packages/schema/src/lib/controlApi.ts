/**
 * Messages between entries and control about sessions, request records, bills and leases.
 *
 * @public
 */
import type {Configuration} from './configuration.js';
import type {ConfigurationDelta} from './configurationDelta.js';
import type {VersionRef} from './releaseNote.js';
import type {Usage} from './chat.js';

/**
 * A lease on a configuration revision, valid for `leaseMs` from the time its request was sent.
 *
 * @public
 */
export interface LeaseGrant {
  readonly revision: number;
  readonly leaseMs: number;
  /** The whole configuration, if the entry has another revision and no delta is available. */
  readonly configuration?: Configuration;
  /** The changes from the entry's revision to this one. */
  readonly delta?: ConfigurationDelta;
}

/** An entry's request for a lease. @public */
export interface LeaseRequest {
  readonly entry: string;
  /** Identifies one run of the entry's process, to distinguish processes that share a name. */
  readonly incarnation?: string;
  /** Revision of the configuration that the entry uses; 0 before the first. */
  readonly confirmedRevision: number;
  /** Whether a delta could not be applied, so that the whole configuration is required. */
  readonly needsWhole?: boolean;
}

/** The version that a session is pinned to. @public */
export interface SessionPin extends VersionRef {
  /** Whether this call created the pin. */
  readonly isNew: boolean;
  /** The previous version, if this call ended the pin to it. */
  readonly endedPin?: VersionRef;
}

/** The stored response to a request with an idempotency key. @public */
export interface StoredResponse {
  readonly status: number;
  readonly contentType: string;
  /** The whole body in base64. */
  readonly body: string;
  /** The origin of a model answer; absent for plain services. */
  readonly origin?: AnswerOrigin;
}

/** The version and revision that produced an answer. @public */
export interface AnswerOrigin {
  readonly version: VersionRef;
  readonly revision: number;
}

/** The result of `beginRequest`. @public */
export type BeginRequestResult =
  | {readonly state: 'begun'; readonly fencing: number}
  | {readonly state: 'in_progress'}
  | {readonly state: 'outcome_unknown'}
  | {readonly state: 'key_reused'}
  /** The request ran and was billed, but its answer is no longer retained. */
  | {readonly state: 'answer_not_kept'}
  /** The table of request records is full, and none is old enough to be evicted. */
  | {readonly state: 'records_full'}
  | {readonly state: 'done'; readonly answer: StoredResponse};

/** The result of `finishRequest`. @public */
export interface FinishRequestResult {
  /** Whether the record now contains this outcome; also true for a resent command. */
  readonly isAccepted: boolean;
}

/** A bill, identified by the key of the request that it charges for. @public */
export interface Bill {
  readonly requestKey: string;
  /** Request id that was returned to the first caller of this request. */
  readonly requestId: string;
  readonly customer: string;
  /** `model/version`, or the service's name. */
  readonly item: string;
  readonly usage?: Usage;
  /** Amount in currency micro-units. */
  readonly amountMicros: number;
  readonly revision: number;
}

/** The commands and queries that control provides to entries. @public */
export interface ControlApi {
  /** Renews an entry's lease and confirms the revision of the configuration that the entry uses. */
  renewLease(params: LeaseRequest): Promise<LeaseGrant>;
  /**
   * Returns once a revision above the known one is committed, or after `waitMs`. The result is only
   * a hint to renew the lease at once; it grants no lease.
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
    /** Identifies one request at one entry, so that a resent command finds its own record. */
    owner: string;
    /** Whether the work may run again after an earlier owner was lost. */
    isRepeatable: boolean;
    /** Time after which an owner that has not finished is considered lost, in milliseconds. */
    ownerLimitMs: number;
  }): Promise<BeginRequestResult>;
  /** Commits the outcome of such a request, with its bill if the outcome is `done`. */
  finishRequest(params: {
    requestKey: string;
    fencing: number;
    outcome: 'done' | 'not_run' | 'unknown';
    answer?: StoredResponse;
    bill?: Bill;
  }): Promise<FinishRequestResult>;
  /** Commits a bill. A second bill with the same key has no effect. */
  recordBill(params: Bill): Promise<{isNew: boolean}>;
}
