/** Routing policies and the state that they share. */
export {buildCallerGone} from './lib/forwarding/buildCallerGone.js';
export type {
  AdmissionPolicy,
  AdmissionTicket,
  AttemptOutcome,
  Candidate,
  Decision,
  RoutedRequest,
  ServerPolicy,
  VersionPolicy,
} from './lib/routingTypes.js';
export {InFlightWork} from './lib/InFlightWork.js';
export {VERSION_POLICIES} from './lib/versionPolicies.js';
export {listPermittedVersions} from './lib/listPermittedVersions.js';
export {createCheapestAtTarget} from './lib/cheapestAtTarget.js';
export type {VersionPolicyContext} from './lib/cheapestAtTarget.js';
export {
  sampleByHash,
  selectRolloutVersions,
} from './lib/selectRolloutVersions.js';
export type {OfferedVersion} from './lib/selectRolloutVersions.js';
export {QualityTable} from './lib/QualityTable.js';
export type {QualityEstimate} from './lib/QualityTable.js';
export type {VersionPolicyName} from './lib/versionPolicies.js';
export {SERVER_POLICIES} from './lib/serverPolicies.js';
export type {ServerPolicyName} from './lib/serverPolicies.js';
export {ADMISSION_POLICIES} from './lib/admissionPolicies.js';
export type {AdmissionPolicyName} from './lib/admissionPolicies.js';
export {HEDGE_POLICIES} from './lib/hedgePolicies.js';
export type {HedgePolicy, HedgePolicyName} from './lib/hedgePolicies.js';
export {PRIORITY_POLICIES} from './lib/priorityPolicies.js';
export type {
  PriorityPolicy,
  PriorityPolicyName,
} from './lib/priorityPolicies.js';
export {RoutingContext} from './lib/RoutingContext.js';
export type {TrackedAttempt} from './lib/AttemptTracker.js';
export type {UsageReport} from './lib/PeerUsage.js';
export {UsageExchange} from './lib/UsageExchange.js';
export type {UsageExchangeOptions} from './lib/UsageExchange.js';
export {UsageReporter} from './lib/UsageReporter.js';
export type {UsageReporterOptions} from './lib/UsageReporter.js';
export {Router} from './lib/Router.js';
export type {RouterOptions} from './lib/Router.js';
export {
  buildRequestSegment,
  isRequestSegment,
} from './lib/forwarding/requestSegments.js';
export {findCrashSuspects} from './lib/forwarding/findCrashSuspects.js';
export type {
  CrashEvidence,
  CrashObservation,
} from './lib/forwarding/countCrashes.js';
export type {CrashSuspect} from './lib/forwarding/findCrashSuspects.js';
export {chooseModel, isWorthEscalating} from './lib/forwarding/chooseModel.js';
export {AnswerValues} from './lib/forwarding/AnswerValues.js';
export type {RequestSize} from './lib/forwarding/AnswerValues.js';
export {
  computeLoadFraction,
  computePressure,
} from './lib/forwarding/enginePressure.js';
export {EngineTimePrices} from './lib/forwarding/EngineTimePrices.js';
export type {RouteRequest} from './lib/forwarding/EngineTimePrices.js';
export {ConfidenceGains} from './lib/forwarding/ConfidenceGains.js';
export {estimateQuality} from './lib/forwarding/estimateQuality.js';
export type {
  ModelChoiceInput,
  ModelOption,
  ModelPolicy,
} from './lib/forwarding/chooseModel.js';
export {PlacementQueue} from './lib/forwarding/PlacementQueue.js';
export type {QueueNote, WaitingWork} from './lib/forwarding/PlacementQueue.js';
export {explainPlacement} from './lib/forwarding/explainPlacement.js';
export type {
  ExplainedPlacement,
  QuestionedWork,
  WaitReason,
} from './lib/forwarding/explainPlacement.js';
export {QueueRefusal} from './lib/forwarding/QueueRefusal.js';
export type {QueueRefusalReason} from './lib/forwarding/QueueRefusal.js';
export {
  NO_DEMAND,
  computeOthersDemand,
  computeOthersWaiting,
  filterDemand,
  filterWaiting,
  sumDemand,
} from './lib/forwarding/serviceDemand.js';
export type {
  CustomerTable,
  DemandTable,
  QueuedDemand,
  ServiceDemand,
  WaitingTable,
} from './lib/forwarding/serviceDemand.js';
export {RetryBudget} from './lib/forwarding/RetryBudget.js';
export type {RetryBudgetOptions} from './lib/forwarding/RetryBudget.js';
export {countSampled, sampleServers} from './lib/forwarding/sampleServers.js';
export type {SampleOptions} from './lib/forwarding/sampleServers.js';
export {DecayingSum} from './lib/forwarding/DecayingSum.js';
export {KeptPrompts, buildKeptPrompt} from './lib/forwarding/KeptPrompts.js';
export type {KeptPrompt, KeptSegmentId} from './lib/forwarding/KeptPrompts.js';
export {
  ServerMemory,
  countNeededTokens,
} from './lib/forwarding/ServerMemory.js';
export {ServerPace, updateTypicalPace} from './lib/forwarding/ServerPace.js';
export {
  ServerSlowness,
  ServiceSlowness,
} from './lib/forwarding/ServerSlowness.js';
export type {AwaitedStart, PaceSums} from './lib/forwarding/ServerPace.js';
export {
  computeRefusedShare,
  estimateOwnDelay,
  isEntryOverloaded,
} from './lib/forwarding/judgeEntryPace.js';
export type {EntryPace} from './lib/forwarding/judgeEntryPace.js';
export {computeScoreTerms, scoreServer} from './lib/forwarding/scoreServer.js';
export type {
  ScoreTerms,
  ServerCandidate,
  ForwardPolicy,
} from './lib/forwarding/scoreServer.js';
export {
  choosePreferredServers,
  hashToShare,
} from './lib/forwarding/choosePreferredServers.js';
export type {PreferredServers} from './lib/forwarding/choosePreferredServers.js';
export {parseRetryAfter} from './lib/forwarding/parseRetryAfter.js';
export {parseRateLimit} from './lib/forwarding/parseRateLimit.js';
export type {RateLimitNotice} from './lib/forwarding/parseRateLimit.js';
export {
  PrefillRates,
  addPrefillSums,
  buildPrefillSums,
} from './lib/forwarding/PrefillRates.js';
export type {
  PrefillSumTable,
  PrefillSums,
} from './lib/forwarding/PrefillRates.js';
export {
  computeHeadTimeouts,
  computeStallTimeouts,
} from './lib/forwarding/computeSilenceTimeouts.js';
export type {
  SilenceTimeouts,
  StallTimeoutInput,
  HeadTimeoutInput,
} from './lib/forwarding/computeSilenceTimeouts.js';
export {decodeLimitTable} from './lib/forwarding/decodeLimitTable.js';
export {ObservedLimits} from './lib/forwarding/ObservedLimits.js';
export type {
  LimitTable,
  ObservedLimit,
} from './lib/forwarding/ObservedLimits.js';
export {PermitBucket} from './lib/forwarding/PermitBucket.js';
export {SendPermits} from './lib/forwarding/SendPermits.js';
export {computeSendRate} from './lib/forwarding/computeSendRate.js';
