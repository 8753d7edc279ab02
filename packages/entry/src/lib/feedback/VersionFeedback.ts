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
/** Ratings below which every answer of a version and kind is rated. */
const SETTLED_RATINGS = 40;
const MAX_RATED_CHARACTERS = 32 * 1024;

/** What a VersionFeedback works with. @public */
export interface VersionFeedbackOptions {
  readonly entry: string;
  readonly configuration: ConfigurationManager;
  /** Takes the evidence; where absent, it is used at this entry only. */
  readonly sink?: EvidenceSink;
  /** The rating service; where absent, no answer is rated. */
  readonly ratings?: RatingSettings;
}

/** An answer that was given whole. @public */
export interface DeliveredAnswer {
  readonly routed: RoutedRequest;
  /** The version as it stood when the answer was dispatched, and that revision. */
  readonly version: ConfiguredVersion;
  readonly revision: number;
  readonly text: string;
}

/**
 * What an entry learns about versions: has answers rated, and reports ratings and attempts to
 * control, which pools them.
 *
 * @public
 */
export class VersionFeedback {
  readonly quality = new QualityTable();
  private readonly ratings: RatingClient | undefined;
  private readonly reporter: EvidenceReporter | undefined;

  constructor(private readonly parts: VersionFeedbackOptions) {
    const {entry, sink, ratings} = parts;
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

  /** Begins to report. */
  start(): void {
    this.reporter?.start();
  }

  /** Sends what is queued, as far as control takes it, and stops. */
  async stop(): Promise<void> {
    await this.ratings?.stop();
    this.reporter?.stop();
  }

  /** Learns from a finished attempt. */
  observeAttempt(outcome: AttemptOutcome): void {
    const {result, request, server, firstTokenMs} = outcome;
    if (result === 'cancelled') return;
    const {configuration} = this.parts;
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

  /** Has an answer rated, where its rating is wanted. */
  observeAnswer(answer: DeliveredAnswer): void {
    const priority = this.choosePriority(answer);
    if (!this.ratings || !priority) return;
    const {routed, version, text} = answer;
    const question = {
      requestId: routed.requestId,
      kind: routed.kind,
      model: version.model,
      version: version.version,
      answer: text.slice(0, MAX_RATED_CHARACTERS),
    };
    this.ratings.enqueue(question, priority, rating =>
      this.recordRating(answer, rating),
    );
  }

  /** Takes a rating of an answer. */
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

  /** Tells whether ratings are coming back. */
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
    const share = this.parts.ratings?.sampledShare ?? DEFAULT_SAMPLED_SHARE;
    const isSampled = sampleByHash(`rate\n${routed.requestId}`) < share;
    return isSampled ? 'sampled' : undefined;
  }
}
