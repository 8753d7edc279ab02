/**
 * The seam between replicated state and what is built on it: a log of commands applied in one
 * order by every voter.
 *
 * @public
 */
import type {JsonValue} from '@sycamorehead/schema';

/** What a log applies its committed commands to. Must be deterministic. @public */
export interface StateMachine {
  /** Applies one committed command and returns its result. Must not throw. */
  apply(command: JsonValue, index: number): JsonValue;
  /** Returns the whole state as JSON. */
  takeSnapshot(): JsonValue;
  /** Replaces the whole state by a snapshot. */
  restoreSnapshot(snapshot: JsonValue): void;
}

/** What a voter is doing. @public */
export type LogRole = 'leader' | 'follower' | 'candidate' | 'learner';

/** A reading of a log. @public */
export interface LogStatus {
  readonly shard: number;
  readonly role: LogRole;
  readonly term: number;
  /** Identifier of the known leader. */
  readonly leader?: string;
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly voters: readonly string[];
}

/** One shard's replicated log as its users see it. @public */
export interface ReplicatedLog {
  /**
   * Appends a command and returns its result once a quorum has synced it and it is applied here.
   *
   * @throws SycamoreheadError `not_leader` (not appended), or `control_unavailable` where the
   * outcome is unknown.
   */
  propose(command: JsonValue): Promise<JsonValue>;
  /**
   * Returns once a quorum has confirmed that this voter still leads and its state machine has
   * applied everything committed before the call.
   *
   * @throws SycamoreheadError `not_leader` or `control_unavailable`.
   */
  confirmLeadership(): Promise<void>;
  getStatus(): LogStatus;
  /** Hands leadership over where possible and stops. */
  stop(): Promise<void>;
}
