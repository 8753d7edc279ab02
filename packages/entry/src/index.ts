/** One entry instance: callers' HTTP, delivery, and the managers that it owns. */
export {Entry} from './lib/Entry.js';
export type {EntryOptions, EntryPorts} from './lib/Entry.js';
export {ConfigurationManager} from './lib/ConfigurationManager.js';
export type {ConfigurationReading} from './lib/ConfigurationManager.js';
export {AnswerSource, ensureDispatchable} from './lib/AnswerSource.js';
export type {AnswerFrame, AnswerSourceParts} from './lib/AnswerSource.js';
export {BackendClient, DEFAULT_BACKEND_TIMEOUTS} from './lib/BackendClient.js';
export type {BackendTimeouts} from './lib/BackendClient.js';
export {computeModelBill} from './lib/computeBill.js';
export {RatingClient} from './lib/feedback/RatingClient.js';
export type {
  RatingPriority,
  RatingQuestion,
  RatingSettings,
} from './lib/feedback/RatingClient.js';
export {EvidenceReporter} from './lib/feedback/EvidenceReporter.js';
export type {EvidenceReporterParts} from './lib/feedback/EvidenceReporter.js';
export {VersionFeedback} from './lib/feedback/VersionFeedback.js';
export type {
  GivenAnswer,
  VersionFeedbackParts,
} from './lib/feedback/VersionFeedback.js';
