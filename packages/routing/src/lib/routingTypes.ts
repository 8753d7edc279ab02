/**
 * The types shared by the entry and the routing policies.
 *
 * @public
 */
import type {
  Configuration,
  CustomerDeclaration,
  VersionRef,
} from '@sycamorehead/schema';
import type {KnownServer} from '@sycamorehead/membership';
import type {QualityEstimate} from './QualityTable.js';

/** A model request as the policies see it. @public */
export interface RoutedRequest {
  readonly requestId: string;
  readonly customer: CustomerDeclaration;
  /** A model's name, or `auto`. */
  readonly model: string;
  /** Kind of work, for learned quality and for reports. */
  readonly kind: string;
  readonly promptTokens: number;
  /** Upper bound on the answer's tokens, if the caller gave one. */
  readonly maxTokens?: number;
  readonly session?: string;
  /** Hash of the conversation's beginning, for prefix affinity. */
  readonly prefixKey: string;
  /** The deadline for the answer on the monotonic clock, in milliseconds. */
  readonly deadlineAt: number;
}

/** An option that a decision considered. @public */
export interface Candidate {
  readonly name: string;
  /** Lower is better. */
  readonly score: number;
  /** Learned quality of a version. */
  readonly quality?: QualityEstimate;
  /** The reason why it was ruled out, if it was. */
  readonly ruledOut?: string;
}

/** A choice, the candidates considered, and the reason. @public */
export interface Decision<Choice> {
  readonly choice: Choice;
  readonly candidates: readonly Candidate[];
  readonly reason: string;
}

/** Chooses the version of a request. @public */
export interface VersionPolicy {
  /** @throws SycamoreheadError `unknown_model`, `not_permitted`, `no_backend_server`. */
  choose(
    request: RoutedRequest,
    configuration: Configuration,
  ): Decision<VersionRef>;
}

/** Chooses the backend server of an attempt. @public */
export interface ServerPolicy {
  /** @throws SycamoreheadError `no_backend_server`. */
  choose(
    request: RoutedRequest,
    servers: readonly KnownServer[],
  ): Decision<KnownServer>;
}

/** The admission of one request; must be released exactly once. @public */
export interface AdmissionTicket {
  release(): void;
}

/** Decides when a request may run. @public */
export interface AdmissionPolicy {
  /** @throws SycamoreheadError `overloaded` or `rate_limited`, always with `ran: 'no'`. */
  admit(request: RoutedRequest): Promise<AdmissionTicket>;
  /** Learns from a finished attempt. */
  observe?(outcome: AttemptOutcome): void;
  /** Counts the queued requests of each class. */
  countQueued?(): {readonly short: number; readonly long: number};
}

/** The outcome of one attempt. @public */
export interface AttemptOutcome {
  readonly request: RoutedRequest;
  readonly version: VersionRef;
  readonly server: string;
  readonly result: 'answered' | 'failed' | 'truncated' | 'cancelled';
  readonly firstTokenMs?: number;
  readonly totalMs: number;
  readonly outputTokens: number;
  /** Tokens that earlier attempts had delivered. */
  readonly resumedFrom?: number;
}
