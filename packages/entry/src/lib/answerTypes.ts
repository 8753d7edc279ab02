/**
 * The interfaces between the steps of a model request: resolve the version, plan the answer, run
 * its attempts, send it to the caller, commit its bill.
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
import type {VersionFeedback} from './feedback/VersionFeedback.js';
import type {HttpExchange} from './HttpExchange.js';
import type {VersionResolver} from './VersionResolver.js';

/** Dependencies of an AnswerSource. @public */
export interface AnswerSourceDependencies {
  readonly router: Router;
  readonly backends: BackendClient;
  readonly configuration: ConfigurationManager;
}

/** Dependencies of the steps of a model request. @public */
export interface ChatDependencies extends AnswerSourceDependencies {
  readonly control: ControlApi;
  readonly metrics: EntryMetrics;
  readonly versions: VersionResolver;
  readonly commits: CommitQueue;
  /** Requests ratings of answers and reports evidence on versions. */
  readonly feedback?: VersionFeedback;
  /** Key that operators send in the debug header; if absent, the header is ignored. */
  readonly debugKey?: string;
}

/** A model request that is being served. @public */
export interface ChatTask {
  readonly exchange: HttpExchange;
  readonly chat: ChatRequest;
  readonly routed: RoutedRequest;
  /** Key of the bill and of the request record. */
  readonly requestKey: string;
  /** Whether the caller sent an idempotency key, so that it may retry for the answer. */
  readonly hasIdempotencyKey: boolean;
  /** Aborted once the work is cancelled, with a SycamoreheadError as the reason. */
  readonly signal: AbortSignal;
}

/** Work that a bill charges for. @public */
export interface Charge {
  /** The version as configured when the work was dispatched, which determines the price. */
  readonly version: ConfiguredVersion;
  readonly usage: Usage;
}

/**
 * An answer that is being produced. All of its frames come from one version. A plan may run other
 * versions before it yields the first frame.
 *
 * @public
 */
export interface PlannedAnswer {
  /** The version that produces the frames; fixed before the first frame. */
  readonly version: ConfiguredVersion;
  /** Revision under which that version was dispatched. */
  readonly revision: number;
  /** Streams the frames in order; ends normally only after the terminal one. */
  stream(): AsyncGenerator<AnswerFrame>;
  /** Lists the work that was run so far and must be billed, with one charge for each version. */
  listCharges(): Charge[];
}

/** Resolves the version of a task and plans its answer. @public */
export type AnswerPlanner = (
  dependencies: ChatDependencies,
  task: ChatTask,
) => Promise<PlannedAnswer>;
