import type {ScoreTerms, WaitReason} from '@sycamorehead/routing';
import type {ErrorBody} from '@sycamorehead/schema';

/** Methods that an entry serves to operators on its peer port. @public */
export const ENTRY_METHODS = {
  /** Operator to entry: where a request would go now, and why. */
  explain: 'entry.explain',
} as const;

/**
 * Why a backend server does not get a request now, in the order in which it is found: it is not listed
 * any more, has left, leaves, is in a data centre that is evacuated or may be, wants no requests, runs a
 * version that the roll-out does not permit, has no permit by its limit or its coldness, has to answer
 * first after a pause, has no slot, has failed this request or others, has no memory, or is in its slow
 * start.
 *
 * @public
 */
export type ServerObstacle =
  | 'unlisted'
  | 'not_ready'
  | 'leaving'
  | 'evacuation_unknown'
  | 'evacuated'
  | 'pause'
  | 'version_rejected'
  | 'other_version'
  | 'limit'
  | 'cold'
  | 'returning'
  | 'no_slot'
  | 'tried'
  | 'ejected'
  | 'no_memory'
  | 'slow_start'
  | 'limit_check';

/** A request that an operator asks about. What is absent is as with a caller who does not send it. @public */
export interface RequestQuestion {
  readonly host: string;
  /** Path with query. */
  readonly target: string;
  readonly method?: string;
  /** Decides between services by weight, and between versions for requests without a session. */
  readonly requestId?: string;
  /** Name of the customer; instead of a key. */
  readonly customer?: string;
  /** A customer's key. */
  readonly key?: string;
  readonly session?: string;
  readonly promptTokens?: number;
  readonly answerTokens?: number;
  readonly segments?: ReadonlyArray<{
    readonly id: string;
    readonly tokens: number;
  }>;
  /** Time for which the caller waits, in milliseconds. */
  readonly waitMs?: number;
  /** The body in base64, by which requests in quarantine are known. */
  readonly body?: string;
  /** Number of servers that are listed at most. */
  readonly limit?: number;
}

/** A backend server in an explanation. @public */
export interface ExplainedServer {
  readonly server: string;
  readonly dataCentre: string;
  readonly version: string;
  /** Why it does not get the request; undefined if it may. */
  readonly obstacle?: ServerObstacle;
  readonly inFlight: number;
  readonly othersInFlight: number;
  readonly slots: number;
  /** Work sent to it whose answer has not begun, of all entries, in milliseconds of server time. */
  readonly pendingMs: number;
  /** Tokens that running requests leave in its memory; undefined if its size is unknown. */
  readonly roomTokens?: number;
  /** Requests a second that it takes from all entries; undefined if it names no limit. */
  readonly limitPerSecond?: number;
  readonly isCold: boolean;
  /** Time for which it is still ejected, in milliseconds. */
  readonly ejectedMs?: number;
  /** Time for which it still wants no requests, in milliseconds. */
  readonly pauseMs?: number;
  /** The lowest score wins; undefined for a server that is ruled out, as are the next ones. */
  readonly score?: number;
  readonly terms?: ScoreTerms;
  readonly keptTokens?: number;
  readonly isAlwaysCompared?: boolean;
}

/** What would become of a request now. @public */
export type ExplainedOutcome =
  | {
      readonly type: 'sent';
      /** The best server. */
      readonly server: string;
      /** Whether it is the one that gets the request; otherwise chance has a part in it. */
      readonly isCertain: boolean;
    }
  | {
      readonly type: 'waits';
      readonly reason: WaitReason;
      /** Requests that wait here and go before it. */
      readonly ahead: number;
      /** Undefined if too little is known. */
      readonly expectedMs: number | undefined;
      /** Time after which it is refused, in milliseconds. */
      readonly abandonMs: number;
    }
  | {readonly type: 'refused'; readonly error: ErrorBody};

/** Where a request would go now, as one entry knows it, and why. @public */
export interface RequestExplanation {
  readonly entry: string;
  readonly dataCentre: string;
  /** Whether the entry says that it is ready for new callers. */
  readonly isReady: boolean;
  /** Version of the configuration in force at the entry. */
  readonly configuration: number;
  readonly requestId: string;
  readonly route: string;
  readonly service: string;
  readonly customer: string | undefined;
  readonly priority: number;
  readonly model: string | undefined;
  readonly variant: 'old' | 'new';
  /** Share of such requests that the entry refuses since it does not keep up itself. */
  readonly refusedShare: number;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly deadlineMs: number;
  /** Requests that wait at the entry for the service. */
  readonly waiting: number;
  readonly outcome: ExplainedOutcome;
  /** Number of servers that may get the request, and of those that are drawn to be compared. */
  readonly usable: number;
  readonly drawn: number;
  /** Number of servers that are ruled out, by reason. */
  readonly ruledOut: Readonly<Partial<Record<ServerObstacle, number>>>;
  /** Those that may get the request first, the best one at the head. */
  readonly servers: readonly ExplainedServer[];
  /** Number of servers that are not listed. */
  readonly unlisted: number;
}
