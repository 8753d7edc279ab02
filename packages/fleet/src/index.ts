/** Control plane of a fleet with declared routes. */
export {FLEET_METHODS} from './lib/fleetMessages.js';
export {buildServerLoad} from './lib/serverLoad.js';
export type {
  ControlIdentity,
  CrashEvidenceReport,
  CrashReport,
  DirectoryAge,
  EndedEvacuations,
  EvacuationState,
  ExchangeReply,
  ExchangeRequest,
  FleetDescription,
  FleetUpdate,
  ColdReply,
  ColdReport,
  LimitReply,
  LimitReport,
  LoadTable,
  PermitTable,
  PromptNewsTable,
  QuarantinedSegments,
  QuarantineState,
  ServerListing,
  ServerLoad,
  StoredConfiguration,
  SurvivalTable,
  SyncReply,
  SyncRequest,
} from './lib/fleetMessages.js';
export {ENTRY_METHODS} from './lib/explainMessages.js';
export type {
  ExplainedOutcome,
  ExplainedServer,
  RequestExplanation,
  RequestQuestion,
  ServerObstacle,
} from './lib/explainMessages.js';
export {CrashPool} from './lib/CrashPool.js';
export {EntryReports} from './lib/EntryReports.js';
export type {EntryReportsOptions} from './lib/EntryReports.js';
export {
  COLD_PERMIT_MS,
  DEFAULT_COLD_BOUND,
  computeColdRate,
} from './lib/computeColdRate.js';
export type {ColdBound} from './lib/computeColdRate.js';
export {ColdPermitPool} from './lib/ColdPermitPool.js';
export type {ColdPermitPoolOptions} from './lib/ColdPermitPool.js';
export {LimitPool} from './lib/LimitPool.js';
export {LoadExchange} from './lib/LoadExchange.js';
export {FleetLinks} from './lib/FleetLinks.js';
export type {FleetLinksOptions} from './lib/FleetLinks.js';
export {FleetNode} from './lib/FleetNode.js';
export type {FleetNodeOptions} from './lib/FleetNode.js';
export {FleetCommands} from './lib/FleetCommands.js';
export type {
  ConfigurationDecoder,
  EvacuationOrder,
  RolloutOrder,
} from './lib/FleetCommands.js';
export {ServerRegistry} from './lib/ServerRegistry.js';
export type {RegistryTimeouts} from './lib/ServerRegistry.js';
