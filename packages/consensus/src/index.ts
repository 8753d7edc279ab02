/** Replicated log: the project's own consensus. */
export type {
  LogRole,
  LogStatus,
  ReplicatedLog,
  StateMachine,
} from './lib/ReplicatedLog.js';
export {SingleVoterLog} from './lib/SingleVoterLog.js';
