/**
 * Messages between the members of a group. Each names its shard, its group and both ends, so that
 * one link can carry many logs and no message reaches an instance that took another's place.
 *
 * @public
 */
import type {LogEntry, Membership} from './logTypes.js';

interface RequestBase {
  readonly shard: number;
  readonly group: string;
  /** Member ids. */
  readonly from: string;
  readonly to: string;
  readonly term: number;
}

/** Asks for a vote, or in a pre-vote whether one would be given. @public */
export interface VoteRequest extends RequestBase {
  readonly type: 'vote';
  readonly isPreVote: boolean;
  /** Whether the leader asked for this election. */
  readonly isTransfer: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Sends entries, or none as a heartbeat. @public */
export interface AppendRequest extends RequestBase {
  readonly type: 'append';
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
}

/** Sends one chunk of a snapshot. @public */
export interface SnapshotRequest extends RequestBase {
  readonly type: 'snapshot';
  readonly index: number;
  readonly snapshotTerm: number;
  readonly members: Membership;
  /** SHA-256 of the whole data in hex. */
  readonly digest: string;
  readonly totalBytes: number;
  readonly offset: number;
  /** Data in base64. */
  readonly chunk: string;
}

/** Asks a voter to stand for election at once. @public */
export interface TransferRequest extends RequestBase {
  readonly type: 'transfer';
}

/** Any request between members. @public */
export type ConsensusRequest =
  VoteRequest | AppendRequest | SnapshotRequest | TransferRequest;

/** Answer to a VoteRequest. @public */
export interface VoteReply {
  readonly term: number;
  readonly isGranted: boolean;
}

/** Answer to an AppendRequest. @public */
export interface AppendReply {
  readonly term: number;
  readonly isMatching: boolean;
  /** Where matching, the last index known to equal the sender's; else the index to try next. */
  readonly index: number;
}

/** Answer to a SnapshotRequest. @public */
export interface SnapshotReply {
  readonly term: number;
  readonly isInstalled: boolean;
  /** Where the next chunk should begin. */
  readonly nextOffset: number;
}

/** Answer to a TransferRequest. @public */
export interface TransferReply {
  readonly term: number;
}

/** Replies by type of request. @public */
export interface ConsensusReplies {
  readonly vote: VoteReply;
  readonly append: AppendReply;
  readonly snapshot: SnapshotReply;
  readonly transfer: TransferReply;
}

/** The reply that belongs to a request. @public */
export type ReplyTo<Request extends ConsensusRequest> =
  ConsensusReplies[Request['type']];

/** Who an instance is, asked before it belongs to a group. @public */
export interface MemberIdentity {
  readonly id: string;
  readonly instance: string;
  /** Empty while it belongs to none. */
  readonly group: string;
}

/** Carries requests to other members: links in production, a fake in tests. @public */
export interface ConsensusTransport {
  /**
   * Sends a request and returns its reply.
   *
   * @throws SycamoreheadError `timeout` or `link_closed`; the request may have been received.
   */
  call<Request extends ConsensusRequest>(
    address: string,
    request: Request,
    timeoutMs: number,
  ): Promise<ReplyTo<Request>>;
  /** Asks the instance at an address who it is. */
  readIdentity(address: string, shard: number): Promise<MemberIdentity>;
}
