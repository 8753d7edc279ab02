/**
 * The seams between the steps of a model request: resolve the version, plan the answer, run its
 * attempts, send it to the caller, commit its bill.
 *
 * @public
 */
import type {
  ChatRequest,
  ConfiguredVersion,
  ControlApi,
  Usage,
} from '@sycamorehead/schema';
import type {RoutedRequest, Router} from '@sycamorehead/routing';
import type {EntryMetrics} from '@sycamorehead/telemetry';
import type {AnswerFrame} from './AnswerFrame.js';
import type {BackendClient} from './BackendClient.js';
import type {CommitQueue} from './CommitQueue.js';
import type {ConfigurationManager} from './ConfigurationManager.js';
import type {HttpExchange} from './HttpExchange.js';
import type {VersionFeedback} from './feedback/VersionFeedback.js';
import type {VersionResolver} from './VersionResolver.js';

/** What an AnswerSource works with. @public */
export interface AnswerSourceDependencies {
  readonly router: Router;
  readonly backends: BackendClient;
  readonly configuration: ConfigurationManager;
}

/** What the steps of a model request work with. @public */
export interface ChatDependencies extends AnswerSourceDependencies {
  readonly control: ControlApi;
  readonly metrics: EntryMetrics;
  readonly versions: VersionResolver;
  readonly commits: CommitQueue;
  /** Has answers rated and reports on versions. */
  readonly feedback?: VersionFeedback;
  /** Key of the operators' debug header; where absent, it is ignored. */
  readonly debugKey?: string;
}

/** One admitted request on its way to an answer. @public */
export interface ChatTask {
  readonly exchange: HttpExchange;
  readonly chat: ChatRequest;
  readonly routed: RoutedRequest;
  /** Key of the bill and of the request record. */
  readonly requestKey: string;
  /** Whether the caller gave the key, so that it may come back for the answer. */
  readonly hasIdempotencyKey: boolean;
  /** Aborted with a SycamoreheadError as its reason once the work is in vain. */
  readonly signal: AbortSignal;
}

/** Work that a bill charges for. @public */
export interface Charge {
  /** The version as it stood when the work was dispatched, for its price. */
  readonly version: ConfiguredVersion;
  readonly usage: Usage;
}

/**
 * An answer on its way: frames in order, of one version from the first to the last. A plan may run
 * other versions before it yields the first frame.
 *
 * @public
 */
export interface PlannedAnswer {
  /** The version that the frames come from; settled before the first frame. */
  readonly version: ConfiguredVersion;
  /** Revision under which that version was dispatched. */
  readonly revision: number;
  /** Streams the frames; ends normally only after the terminal one. */
  stream(): AsyncGenerator<AnswerFrame>;
  /** Lists what was run so far and is to be billed, one item for each version. */
  listCharges(): Charge[];
}

/** Resolves the version of a task and plans its answer. @public */
export type AnswerPlanner = (
  parts: ChatDependencies,
  task: ChatTask,
) => Promise<PlannedAnswer>;
