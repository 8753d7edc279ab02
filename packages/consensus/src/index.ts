/** Replicated log: the project's own consensus. */
export type {
  LogRole,
  LogStatus,
  MembershipCommands,
  ReplicatedLog,
  StateMachine,
} from './lib/ReplicatedLog.js';
export type {
  LogEntry,
  LogPosition,
  Member,
  MemberRole,
  Membership,
  Snapshot,
} from './lib/logTypes.js';
export type {
  AppendReply,
  AppendRequest,
  ConsensusReplies,
  ConsensusRequest,
  ConsensusTransport,
  MemberIdentity,
  ReplyTo,
  SnapshotReply,
  SnapshotRequest,
  TransferReply,
  TransferRequest,
  VoteReply,
  VoteRequest,
} from './lib/consensusMessages.js';
export {DEFAULT_RAFT_TIMING} from './lib/raftTiming.js';
export type {RaftTiming} from './lib/raftTiming.js';
export {RaftNode} from './lib/RaftNode.js';
export type {RaftNodeOptions} from './lib/RaftNode.js';
export type {AppendFile, Disk} from './lib/storage/Disk.js';
export {FileDisk} from './lib/storage/FileDisk.js';
export type {StorageCounts} from './lib/storage/LogStorage.js';
export {loadMemberId} from './lib/storage/identity.js';
export {SingleVoterLog} from './lib/SingleVoterLog.js';
