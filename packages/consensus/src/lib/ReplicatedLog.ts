/**
 * The interface between the consensus algorithm and the code built on it: a log of commands that
 * every member applies in the same order.
 *
 * @public
 */
import type {JsonValue} from '@sycamorehead/schema';
import type {Membership} from './logTypes.js';
import type {StorageCounts} from './storage/LogStorage.js';

/** The state that a log applies its committed commands to. Must be deterministic. @public */
export interface StateMachine {
  /** Applies one committed command and returns its result. Must not throw. */
  apply(command: JsonValue, index: number): JsonValue;
  /** Returns the whole state as JSON. */
  takeSnapshot(): JsonValue;
  /** Replaces the whole state with a snapshot. */
  restoreSnapshot(snapshot: JsonValue): void;
}

/** The current role of a member. @public */
export type LogRole = 'leader' | 'follower' | 'candidate' | 'learner';

/** The status of a log on one member. @public */
export interface LogStatus {
  readonly shard: number;
  readonly role: LogRole;
  readonly term: number;
  /** Name of the leader's instance, if known. */
  readonly leader?: string;
  readonly commitIndex: number;
  readonly lastIndex: number;
  /** Names of the voters' instances. */
  readonly voters: readonly string[];
  /** Own member id, if the log is replicated. */
  readonly id?: string;
  /** Identifier of the group; empty before the instance belongs to one. */
  readonly group?: string;
  readonly members?: Membership;
  readonly snapshotIndex?: number;
  /** Bytes of the entries in memory, as JSON. */
  readonly retainedBytes?: number;
  readonly storage?: StorageCounts;
}

/** The replicated log of one shard. @public */
export interface ReplicatedLog {
  /**
   * Appends a command and returns its result once a quorum has synced it and this member has
   * applied it.
   *
   * @throws SycamoreheadError `not_leader` or `overloaded` if the command was not appended,
   * `control_unavailable` if the outcome is unknown.
   */
  propose(command: JsonValue): Promise<JsonValue>;
  /**
   * Returns once a quorum has confirmed that this member still leads and its state machine has
   * applied everything that was committed before the call.
   *
   * @throws SycamoreheadError `not_leader` or `control_unavailable`.
   */
  confirmLeadership(): Promise<void>;
  getStatus(): LogStatus;
  /** Calls the listener each time this member is elected leader. */
  addLeaderListener(listener: () => void): void;
  /** Transfers leadership to another voter if possible, then stops. */
  stop(): Promise<void>;
}

/** Commands that change the membership of a log's group. Only the leader accepts them. @public */
export interface MembershipCommands {
  /**
   * Adds an instance as a learner and promotes it to a voter once it has caught up. A repeated
   * call after a failure continues where the previous one stopped.
   */
  addMember(instance: string, address: string): Promise<Membership>;
  /** Removes a member, given by its instance name or its member id. */
  removeMember(name: string): Promise<Membership>;
}
