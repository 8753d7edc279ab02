/**
 * Messages between the members of a group. Each contains its shard, group, sender and receiver, so
 * that one link can carry the logs of several shards, and an instance that has replaced another
 * rejects messages for its predecessor.
 *
 * @public
 */
import type {LogEntry, Membership} from './logTypes.js';

interface RequestBase {
  readonly shard: number;
  readonly group: string;
  /** Member id of the sender. */
  readonly from: string;
  /** Member id of the receiver. */
  readonly to: string;
  readonly term: number;
}

/** Requests a vote, or in a pre-vote asks whether it would be granted. @public */
export interface VoteRequest extends RequestBase {
  readonly type: 'vote';
  readonly isPreVote: boolean;
  /** Whether the leader started this election by a leadership transfer. */
  readonly isTransfer: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Sends entries. A request without entries is a heartbeat. @public */
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
  /** Content of the chunk in base64. */
  readonly chunk: string;
}

/** Asks a voter to start an election at once. @public */
export interface TransferRequest extends RequestBase {
  readonly type: 'transfer';
}

/** Any request between members. @public */
export type ConsensusRequest =
  VoteRequest | AppendRequest | SnapshotRequest | TransferRequest;

/** Reply to a VoteRequest. @public */
export interface VoteReply {
  readonly term: number;
  readonly isGranted: boolean;
}

/** Reply to an AppendRequest. @public */
export interface AppendReply {
  readonly term: number;
  readonly isMatching: boolean;
  /** Last index at which both logs match; if `isMatching` is false, the index to try next. */
  readonly index: number;
}

/** Reply to a SnapshotRequest. @public */
export interface SnapshotReply {
  readonly term: number;
  readonly isInstalled: boolean;
  /** Offset at which the next chunk should begin. */
  readonly nextOffset: number;
}

/** Reply to a TransferRequest. @public */
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

/** The reply type of a request type. @public */
export type ReplyTo<Request extends ConsensusRequest> =
  ConsensusReplies[Request['type']];

/** The identity of an instance, available before it belongs to a group. @public */
export interface MemberIdentity {
  readonly id: string;
  readonly instance: string;
  /** Empty while the instance belongs to no group. */
  readonly group: string;
}

/** Sends requests to other members: over links, or over a fake network in tests. @public */
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
  /** Requests the identity of the instance at an address. */
  readIdentity(address: string, shard: number): Promise<MemberIdentity>;
}
