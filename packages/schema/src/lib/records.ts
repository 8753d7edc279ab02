/**
 * Messages between entries and control about sessions, request records, bills and leases.
 *
 * @public
 */
import type {Configuration} from './configuration.js';
import type {VersionRef} from './releaseNote.js';
import type {Usage} from './chat.js';

/** A lease on a configuration revision. Valid for `leaseMs` from when its request was sent. @public */
export interface LeaseGrant {
  readonly revision: number;
  readonly leaseMs: number;
  /** The configuration, where the entry's revision differs. */
  readonly configuration?: Configuration;
}

/** A session's version. @public */
export interface SessionPin extends VersionRef {
  /** Whether this call created the pin. */
  readonly isNew: boolean;
}

/** A stored answer of a call that may not be repeated. @public */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Whole body in base64. */
  readonly body: string;
}

/** Answer to an entry that wants to run a call that may not be repeated. @public */
export type BeginResult =
  | {readonly state: 'begun'; readonly fencing: number}
  | {readonly state: 'in_progress'}
  | {readonly state: 'outcome_unknown'}
  | {readonly state: 'key_reused'}
  | {readonly state: 'done'; readonly answer: StoredAnswer};

/** One bill; its key is the request it pays for. @public */
export interface Bill {
  readonly requestKey: string;
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
  renewLease(params: {
    entry: string;
    confirmedRevision: number;
  }): Promise<LeaseGrant>;
  /** Pins a session to a version; the first write wins. */
  pinSession(params: {
    session: string;
    customer: string;
    version: VersionRef;
  }): Promise<SessionPin>;
  /** Commits the intent to run a call that may not be repeated. */
  beginRequest(params: {
    requestKey: string;
    bodyDigest: string;
    owner: string;
  }): Promise<BeginResult>;
  /** Commits the result of such a call. */
  finishRequest(params: {
    requestKey: string;
    fencing: number;
    outcome: 'done' | 'not_run' | 'unknown';
    answer?: StoredAnswer;
  }): Promise<void>;
  /** Commits a bill; a second one with the same key changes nothing. */
  recordBill(params: Bill): Promise<{isNew: boolean}>;
}
