/**
 * The commands of the replicated control state, as they stand in the log.
 *
 * @public
 */
import type {
  BeginRequestResult,
  Bill,
  ErrorBody,
  FinishRequestResult,
  ReleaseNote,
  SessionPin,
  StoredResponse,
  VersionRef,
} from '@sycamorehead/schema';

/** One command of the log. @public */
export type ControlCommand =
  | {readonly type: 'publish'; readonly note: ReleaseNote}
  | {
      readonly type: 'quarantine';
      readonly version: VersionRef;
      readonly reason: string;
    }
  | {
      readonly type: 'advance_rollout';
      readonly version: VersionRef;
      /** Step that the sender saw; another one in force makes the command void. */
      readonly fromStep: number;
    }
  | {
      readonly type: 'pin_session';
      readonly session: string;
      readonly customer: string;
      readonly version: VersionRef;
      /** Sender's wall clock in milliseconds, for expiry only. */
      readonly at: number;
    }
  | {
      readonly type: 'begin_request';
      readonly requestKey: string;
      readonly bodyDigest: string;
      readonly owner: string;
      readonly isRepeatable: boolean;
      readonly ownerLimitMs: number;
      readonly at: number;
    }
  | {
      readonly type: 'finish_request';
      readonly requestKey: string;
      readonly fencing: number;
      readonly outcome: 'done' | 'not_run' | 'unknown';
      readonly answer?: StoredResponse;
      /** Committed with the outcome, so that no answer stands without its bill. */
      readonly bill?: Bill;
    }
  | {readonly type: 'record_bill'; readonly bill: Bill}
  | {
      /** The fact that no entry can route on an older revision any more. */
      readonly type: 'mark_in_force';
      readonly revision: number;
    }
  | {
      readonly type: 'issue_order';
      readonly action: 'load' | 'unload';
      readonly server: string;
      readonly version: VersionRef;
    };

/** Name of a command. @public */
export type ControlCommandType = ControlCommand['type'];

/** Outcome of publishing a note. @public */
export interface PublishResult {
  readonly state: 'accepted' | 'already_in_force';
  readonly number: number;
  readonly revision: number;
  readonly digest: string;
}

/** Results by command; an error travels as its body. @public */
export interface ControlResults {
  readonly mark_in_force: {readonly changed: boolean};
  readonly publish: PublishResult | {readonly error: ErrorBody};
  readonly quarantine: {readonly changed: boolean};
  readonly advance_rollout: {readonly changed: boolean};
  readonly pin_session: SessionPin;
  readonly begin_request: BeginRequestResult;
  readonly finish_request: FinishRequestResult;
  readonly record_bill: {readonly isNew: boolean};
  /** The order's index in the log. */
  readonly issue_order: {readonly fencing: number};
}
