/**
 * Evidence about versions: what entries report to control, and what control pools from it.
 *
 * @public
 */

/** What every piece of evidence tells about the answer that it comes from. @public */
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

/** What became of one attempt at an engine. @public */
export interface AttemptEvidence extends EvidenceOrigin {
  readonly type: 'attempt';
  readonly result: 'answered' | 'failed' | 'truncated';
  /** Backend server that ran it. */
  readonly server: string;
  readonly firstTokenMs?: number;
}

/** One piece of evidence. @public */
export type EvidenceItem = RatingEvidence | AttemptEvidence;

/** Evidence of one entry. Idempotent: `epoch` and `sequence` name it for good. @public */
export interface EvidenceBatch {
  readonly entry: string;
  /** Names one run of the entry's process. */
  readonly epoch: string;
  /** Counts the batches of that run, from 1 without gaps. */
  readonly sequence: number;
  /** Pool that the sender knows; another one takes nothing and answers with its own name. */
  readonly pool?: string;
  readonly items: readonly EvidenceItem[];
}

/** Ratings of one kind of request on one version, older ones weighing less. @public */
export interface QualitySummary {
  readonly version: string;
  readonly kind: string;
  /** Effective number of ratings. */
  readonly count: number;
  readonly mean: number;
  readonly variance: number;
}

/** Answer to a batch. @public */
export interface EvidenceReceipt {
  /** Names the pool; a new one, after a change of leader, has lost what was sent before. */
  readonly pool: string;
  readonly quality: readonly QualitySummary[];
}

/** Takes evidence from entries. @public */
export interface EvidenceSink {
  /** Adds a batch to the pool; one that it holds already changes nothing. */
  reportEvidence(batch: EvidenceBatch): Promise<EvidenceReceipt>;
}
