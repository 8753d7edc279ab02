/**
 * The data types of a log: entries, positions, members and snapshots.
 *
 * @public
 */
import type {JsonValue} from '@sycamorehead/schema';

/** The role of a member. Only the acknowledgements and votes of voters count. @public */
export type MemberRole = 'voter' | 'learner';

/** One member of a log's group. @public */
export interface Member {
  /** `INSTANCE/DISK`. An instance whose disk was wiped gets a new id and is a new member. */
  readonly id: string;
  readonly instance: string;
  /** `IP:PORT` of its peer port. */
  readonly address: string;
  readonly role: MemberRole;
}

/** The members of a group. @public */
export type Membership = readonly Member[];

/** A position in the log. @public */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/** One entry of the log. @public */
export type LogEntry = LogPosition &
  (
    | {readonly type: 'noop'}
    | {readonly type: 'command'; readonly command: JsonValue}
    | {readonly type: 'membership'; readonly members: Membership}
  );

/** The complete state at one position of the log. @public */
export interface Snapshot extends LogPosition {
  readonly members: Membership;
  /** The state machine's state as JSON in UTF-8. */
  readonly data: Buffer;
}

/** The state that a member persists besides its log. @internal */
export interface VoteRecord {
  /** Identifier of the group; empty before the instance belongs to one. */
  readonly group: string;
  readonly term: number;
  readonly votedFor: string;
}
