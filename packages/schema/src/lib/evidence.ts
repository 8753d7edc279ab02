/**
 * Evidence about versions, which entries report to control, and the statistics that control
 * computes from it.
 *
 * @public
 */

/** The properties of the answer from which a piece of evidence was obtained. @public */
interface EvidenceOrigin {
  /** `model/version`. */
  readonly version: string;
  /** Kind of request. */
  readonly kind: string;
  readonly customer: string;
  /** Revision and roll-out step under which the answer was dispatched. */
  readonly revision: number;
  readonly step: number;
}

/** A rating of one answer, 0 to 1. @public */
export interface RatingEvidence extends EvidenceOrigin {
  readonly type: 'rating';
  readonly rating: number;
}

/** The result of one attempt on an engine. @public */
export interface AttemptEvidence extends EvidenceOrigin {
  readonly type: 'attempt';
  readonly result: 'answered' | 'failed' | 'truncated';
  /** Backend server that ran it. */
  readonly server: string;
  readonly firstTokenMs?: number;
}

/** One piece of evidence. @public */
export type EvidenceItem = RatingEvidence | AttemptEvidence;

/**
 * A batch of evidence of one entry. `epoch` and `sequence` identify it, so that it is counted once.
 *
 * @public
 */
export interface EvidenceBatch {
  readonly entry: string;
  /** Identifies one run of the entry's process. */
  readonly epoch: string;
  /** Number of the batch within that run, from 1 without gaps. */
  readonly sequence: number;
  /**
   * Id of the pool that the sender knows. Any other pool ignores the batch and returns its own id.
   */
  readonly pool?: string;
  readonly items: readonly EvidenceItem[];
}

/**
 * Statistics of the ratings of one request kind on one version. Older ratings have less weight.
 *
 * @public
 */
export interface QualitySummary {
  readonly version: string;
  readonly kind: string;
  /** Effective number of ratings. */
  readonly count: number;
  readonly mean: number;
  readonly variance: number;
}

/** Response to a batch. @public */
export interface EvidenceReceipt {
  /** Id of the pool. A new leader has a new pool, which lacks the evidence sent before. */
  readonly pool: string;
  readonly quality: readonly QualitySummary[];
}

/** Receives evidence from entries. @public */
export interface EvidenceSink {
  /** Adds a batch to the pool; a duplicate has no effect. */
  reportEvidence(batch: EvidenceBatch): Promise<EvidenceReceipt>;
}
