/** Types, release notes, errors and validators shared by every other package. */
export {
  ERROR_RESPONSES,
  getErrorResponse,
  isErrorKind,
} from './lib/errorKinds.js';
export type {
  ErrorResponse,
  ErrorKind,
  ExecutionStatus,
} from './lib/errorKinds.js';
export {
  SycamoreheadError,
  readErrorBody,
  toSycamoreheadError,
} from './lib/SycamoreheadError.js';
export type {ErrorBody, ErrorDetails} from './lib/SycamoreheadError.js';
export {computeDigest, formatCanonicalJson} from './lib/json.js';
export type {JsonValue} from './lib/json.js';
export {hashKey, isSameHash, isSameKey} from './lib/keys.js';
export {releaseNoteSchema} from './lib/releaseNote.js';
export type {
  CustomerDeclaration,
  ReleaseNote,
  RolloutDeclaration,
  ServiceCall,
  ServiceDeclaration,
  VersionDeclaration,
  VersionRef,
} from './lib/releaseNote.js';
export {parseReleaseNote} from './lib/parseReleaseNote.js';
export {
  EMPTY_CONFIGURATION,
  formatVersionKey,
  isPermitted,
  isServing,
} from './lib/configuration.js';
export type {
  Configuration,
  ConfiguredVersion,
  VersionState,
} from './lib/configuration.js';
export {applyReleaseNote} from './lib/applyReleaseNote.js';
export {
  chatRequestSchema,
  estimatePromptTokens,
  parseChatRequest,
} from './lib/chat.js';
export type {ChatChunk, ChatRequest, Usage} from './lib/chat.js';
export {announcementSchema, parseAnnouncement} from './lib/announcement.js';
export type {Announcement} from './lib/announcement.js';
export type {
  AnswerOrigin,
  BeginRequestResult,
  Bill,
  ControlApi,
  FinishRequestResult,
  LeaseGrant,
  LeaseRequest,
  SessionPin,
  StoredResponse,
} from './lib/controlApi.js';
export type {
  AttemptEvidence,
  EvidenceBatch,
  EvidenceItem,
  EvidenceReceipt,
  EvidenceSink,
  QualitySummary,
  RatingEvidence,
} from './lib/evidence.js';
export type {
  PlacementApi,
  ReportedServer,
  ServerReport,
  ServerReportResponse,
  VersionLoad,
} from './lib/serverReport.js';
export {
  applyConfigurationDelta,
  diffConfigurations,
} from './lib/configurationDelta.js';
export type {ConfigurationDelta, TableDelta} from './lib/configurationDelta.js';
export {validateInput} from './lib/validateInput.js';
export {
  DEFAULT_CALLER_LIMITS,
  checkRouteConfiguration,
} from './lib/routeConfiguration.js';
export type {
  CallerLimits,
  CustomerKeys,
  EngineDeclaration,
  EngineModel,
  RouteConfiguration,
  RouteDeclaration,
  RouteKind,
  RoutedService,
  ServerWarmup,
  WeightedService,
} from './lib/routeConfiguration.js';
export {evictOldest} from './lib/evictOldest.js';
export {getOrCreate} from './lib/getOrCreate.js';
export {filterTable, isTable, limitCount} from './lib/filterTable.js';
export {
  buildIncarnationKey,
  isNewerRegistration,
} from './lib/serverRegistration.js';
export type {
  ServerRegistration,
  ServerState,
} from './lib/serverRegistration.js';
export {NO_TIMES, countTimeRatio} from './lib/serviceRollout.js';
export type {
  RolloutEvidence,
  RolloutPhase,
  ServiceRollout,
  VersionCounts,
} from './lib/serviceRollout.js';
