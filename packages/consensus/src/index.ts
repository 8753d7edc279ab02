/** The replicated log: an implementation of the Raft consensus algorithm. */
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
export {MAX_MEMBERS} from './lib/maxMembers.js';
export {DEFAULT_RAFT_TIMING} from './lib/raftTiming.js';
export type {RaftTiming} from './lib/raftTiming.js';
export {RaftNode} from './lib/RaftNode.js';
export type {RaftNodeOptions} from './lib/RaftNode.js';
export type {AppendFile, Disk} from './lib/storage/Disk.js';
export {FileDisk} from './lib/storage/FileDisk.js';
export type {StorageCounts} from './lib/storage/LogStorage.js';
export {loadMemberId} from './lib/storage/loadMemberId.js';
export {SingleVoterLog} from './lib/SingleVoterLog.js';
export {LinkPool} from './lib/LinkPool.js';
export type {LinkPoolOptions} from './lib/LinkPool.js';
export {WireTransport, createConsensusMethods} from './lib/WireTransport.js';
export {createFirstGroup} from './lib/createFirstGroup.js';
export type {FirstGroupOptions} from './lib/createFirstGroup.js';
