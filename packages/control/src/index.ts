/** Commands and queries over the replicated control state. */
export {ControlState} from './lib/ControlState.js';
export {ControlNode} from './lib/ControlNode.js';
export type {ControlNodeOptions} from './lib/ControlNode.js';
export {DEFAULT_LEASE_MS} from './lib/configuration/ConfigurationService.js';
export type {InForceReport} from './lib/configuration/ConfigurationService.js';
export type {EntryConfirmation} from './lib/LeaseTable.js';
export type {
  ControlCommand,
  ControlCommandType,
  ControlResults,
  PublishResult,
} from './lib/controlCommands.js';
export type {LedgerReport, LedgerTotal} from './lib/Ledger.js';
export {createControlMethods} from './lib/createControlMethods.js';
export {ControlClient} from './lib/ControlClient.js';
export type {ControlClientOptions} from './lib/ControlClient.js';
export {OperatorServer} from './lib/OperatorServer.js';
export type {OperatorServerOptions} from './lib/OperatorServer.js';
export {OperatorClient} from './lib/OperatorClient.js';
export type {OperatorClientOptions} from './lib/OperatorClient.js';
export {EvidenceTest} from './lib/guard/EvidenceTest.js';
export type {EvidenceTestOptions} from './lib/guard/EvidenceTest.js';
export {EvidencePool} from './lib/guard/EvidencePool.js';
export {RolloutGuard} from './lib/guard/RolloutGuard.js';
export type {RolloutGuardDependencies} from './lib/guard/RolloutGuard.js';
export {
  DEFAULT_RECONCILER_OPTIONS,
  Reconciler,
} from './lib/reconciler/Reconciler.js';
export type {
  ReconcilerHost,
  ReconcilerOptions,
} from './lib/reconciler/Reconciler.js';
export {sendOrder} from './lib/reconciler/sendOrder.js';
export type {WeightStoreRate} from './lib/reconciler/LoadPacer.js';
export type {
  RolloutStatus,
  RolloutWait,
} from './lib/reconciler/describeRollout.js';
export type {
  EngineOrderMessage,
  OrderOutcome,
  OrderSender,
} from './lib/reconciler/sendOrder.js';
export {LeaderForwarder} from './lib/LeaderForwarder.js';
export type {
  LeaderForwarderOptions,
  LeaderOperation,
} from './lib/LeaderForwarder.js';
export {ControlInstance} from './lib/ControlInstance.js';
export type {
  ControlInstanceOptions,
  ControlInstancePorts,
} from './lib/ControlInstance.js';
