/**
 * The seam between replicated state and what is built on it: a log of commands applied in one
 * order by every voter.
 *
 * @public
 */
import type {JsonValue} from '@sycamorehead/schema';
import type {Membership} from './logTypes.js';
import type {StorageCounts} from './storage/LogStorage.js';

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
  /** Name of the known leader's instance. */
  readonly leader?: string;
  readonly commitIndex: number;
  readonly lastIndex: number;
  /** Names of the voters' instances. */
  readonly voters: readonly string[];
  /** Own member id, where the log is replicated. */
  readonly id?: string;
  /** Identifier of the group; empty before the instance belongs to one. */
  readonly group?: string;
  readonly members?: Membership;
  readonly snapshotIndex?: number;
  readonly storage?: StorageCounts;
}

/** One shard's replicated log as its users see it. @public */
export interface ReplicatedLog {
  /**
   * Appends a command and returns its result once a quorum has synced it and it is applied here.
   *
   * @throws SycamoreheadError `not_leader` or `overloaded` (not appended), or
   * `control_unavailable` where the outcome is unknown.
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
  /** Calls the listener each time that this voter has been elected. */
  addLeaderListener(listener: () => void): void;
  /** Hands leadership over where possible and stops. */
  stop(): Promise<void>;
}

/** Commands that change who belongs to a log's group. Only the leader takes them. @public */
export interface MembershipCommands {
  /**
   * Adds an instance: first as a learner, then as a voter once it has caught up. Repeating it
   * after a failure goes on where it stood.
   */
  addMember(instance: string, address: string): Promise<Membership>;
  /** Removes a member, named by its instance or its member id. */
  removeMember(name: string): Promise<Membership>;
}
