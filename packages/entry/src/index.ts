/** One entry instance: callers' HTTP, delivery, and the managers that it owns. */
export {Entry} from './lib/Entry.js';
export type {EntryOptions, EntryPorts} from './lib/Entry.js';
export {ConfigurationManager} from './lib/ConfigurationManager.js';
export type {ConfigurationStatus} from './lib/ConfigurationManager.js';
export {AnswerSource} from './lib/AnswerSource.js';
export {Attempt} from './lib/Attempt.js';
export type {AttemptOptions} from './lib/Attempt.js';
export {ANSWER_PLANNERS} from './lib/answerPlanners.js';
export type {AnswerPlannerName} from './lib/answerPlanners.js';
export type {AnswerFrame} from './lib/AnswerFrame.js';
export type {
  AnswerPlanner,
  AnswerSourceDependencies,
  Charge,
  ChatDependencies,
  ChatTask,
  PlannedAnswer,
} from './lib/answerTypes.js';
export {BackendClient, DEFAULT_BACKEND_TIMEOUTS} from './lib/BackendClient.js';
export type {BackendTimeouts} from './lib/BackendClient.js';
export {FrameChecker} from './lib/FrameChecker.js';
export {computeModelBill} from './lib/computeModelBill.js';
export {RatingClient} from './lib/feedback/RatingClient.js';
export type {
  RatingPriority,
  RatingRequest,
  RatingSettings,
} from './lib/feedback/RatingClient.js';
export {EvidenceReporter} from './lib/feedback/EvidenceReporter.js';
export type {EvidenceReporterOptions} from './lib/feedback/EvidenceReporter.js';
export {VersionFeedback} from './lib/feedback/VersionFeedback.js';
export type {
  DeliveredAnswer,
  VersionFeedbackOptions,
} from './lib/feedback/VersionFeedback.js';
export type {BillInput} from './lib/computeModelBill.js';
export {DEFAULT_ENTRY_TIMEOUTS} from './lib/entryTimeouts.js';
export type {EntryTimeouts} from './lib/entryTimeouts.js';
export {VersionResolver, ensureDispatchable} from './lib/VersionResolver.js';
export type {
  ResolvedVersion,
  VersionResolverDependencies,
} from './lib/VersionResolver.js';
