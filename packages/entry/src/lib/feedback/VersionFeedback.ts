import {
  ConfiguredVersion,
  EvidenceSink,
  formatVersionKey,
} from '@sycamorehead/schema';
import {
  AttemptOutcome,
  QualityTable,
  RoutedRequest,
  sampleByHash,
} from '@sycamorehead/routing';
import type {ConfigurationManager} from '../ConfigurationManager.js';
import {EvidenceReporter} from './EvidenceReporter.js';
import {RatingClient, RatingPriority, RatingSettings} from './RatingClient.js';

const DEFAULT_SAMPLED_SHARE = 0.2;
/** Number of ratings of a version and request kind up to which every answer is rated. */
const SETTLED_RATINGS = 40;
const MAX_RATED_CHARACTERS = 32 * 1024;

/** Options of a VersionFeedback. @public */
export interface VersionFeedbackOptions {
  readonly entry: string;
  readonly configuration: ConfigurationManager;
  /** Receives the evidence; if absent, evidence is used at this entry only. */
  readonly sink?: EvidenceSink;
  /** The rating service; if absent, no answer is rated. */
  readonly ratings?: RatingSettings;
}

/** An answer that was delivered completely. @public */
export interface DeliveredAnswer {
  readonly routed: RoutedRequest;
  /** The version as configured when the answer was dispatched. */
  readonly version: ConfiguredVersion;
  /** The configuration's revision at that time. */
  readonly revision: number;
  readonly text: string;
}

/**
 * Collects an entry's evidence about versions: requests ratings of answers, and reports ratings and
 * attempts to control, which pools them.
 *
 * @public
 */
export class VersionFeedback {
  readonly quality = new QualityTable();
  private readonly ratings: RatingClient | undefined;
  private readonly reporter: EvidenceReporter | undefined;

  constructor(private readonly options: VersionFeedbackOptions) {
    const {entry, sink, ratings} = options;
    this.ratings = ratings && new RatingClient(ratings);
    this.reporter =
      sink &&
      new EvidenceReporter({
        entry,
        sink,
        onReceipt: receipt => this.quality.replacePooled(receipt.quality),
      });
  }

  // Commands.

  /** Starts to report. */
  start(): void {
    this.reporter?.start();
  }

  /** Stops requesting ratings, and stops reporting once queued evidence has been sent. */
  async stop(): Promise<void> {
    await this.ratings?.stop();
    await this.reporter?.stop();
  }

  /** Reports the outcome of a finished attempt. */
  observeAttempt(outcome: AttemptOutcome): void {
    const {result, request, server, firstTokenMs} = outcome;
    if (result === 'cancelled') return;
    const {configuration} = this.options;
    const key = formatVersionKey(outcome.version);
    this.reporter?.record({
      type: 'attempt',
      version: key,
      kind: request.kind,
      customer: request.customer.customer,
      revision: configuration.getStatus().revision,
      step: configuration.findVersion(key)?.step ?? 0,
      result,
      server,
      firstTokenMs,
    });
  }

  /** Requests the rating of an answer, if it is required or sampled. */
  observeAnswer(answer: DeliveredAnswer): void {
    const priority = this.choosePriority(answer);
    if (!this.ratings || !priority) return;
    const {routed, version, text} = answer;
    const ratingRequest = {
      requestId: routed.requestId,
      kind: routed.kind,
      model: version.model,
      version: version.version,
      answer: text.slice(0, MAX_RATED_CHARACTERS),
    };
    this.ratings.enqueue(ratingRequest, priority, rating =>
      this.recordRating(answer, rating),
    );
  }

  /** Records and reports the rating of an answer. */
  recordRating(answer: DeliveredAnswer, rating: number): void {
    const {routed, version, revision} = answer;
    const key = formatVersionKey(version);
    this.quality.record(key, routed.kind, rating);
    this.reporter?.record({
      type: 'rating',
      version: key,
      kind: routed.kind,
      customer: routed.customer.customer,
      revision,
      step: version.step,
      rating,
    });
  }

  // Queries.

  /** Returns whether there is a rating service and it responds. */
  isRatingServiceHealthy(): boolean {
    return this.ratings?.isHealthy() ?? false;
  }

  private choosePriority(answer: DeliveredAnswer): RatingPriority | undefined {
    const {routed, version} = answer;
    if (version.state === 'rolling_out') return 'rollout';
    const {count} = this.quality.estimate(
      formatVersionKey(version),
      routed.kind,
      version.qualityPrior,
    );
    if (count < SETTLED_RATINGS) return 'unsettled';
    const share = this.options.ratings?.sampledShare ?? DEFAULT_SAMPLED_SHARE;
    const isSampled = sampleByHash(`rate\n${routed.requestId}`) < share;
    return isSampled ? 'sampled' : undefined;
  }
}
