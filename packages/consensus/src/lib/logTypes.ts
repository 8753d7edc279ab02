/**
 * What a log holds: entries, positions, and who its members are.
 *
 * @public
 */
import type {JsonValue} from '@sycamorehead/schema';

/** Whether a member's acknowledgements and votes count. @public */
export type MemberRole = 'voter' | 'learner';

/** One member of a log's group. @public */
export interface Member {
  /** `INSTANCE/DISK`: an instance whose disk was wiped is another member. */
  readonly id: string;
  readonly instance: string;
  /** `IP:PORT` of its peer port. */
  readonly address: string;
  readonly role: MemberRole;
}

/** The members of a group. @public */
export type Membership = readonly Member[];

/** A place in the log. @public */
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

/** The whole state at one position. @public */
export interface Snapshot extends LogPosition {
  readonly members: Membership;
  /** The state machine's state as JSON in UTF-8. */
  readonly data: Buffer;
}

/** What a voter must remember besides its log. @internal */
export interface VoteRecord {
  /** Identifier of the group; empty before the instance belongs to one. */
  readonly group: string;
  readonly term: number;
  readonly votedFor: string;
}
