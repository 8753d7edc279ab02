import {VersionAssessment, evaluateRollout} from './evaluateRollout.js';
import {
  RouteEvidence,
  computeNewEvidence,
  sumCounts,
} from './rolloutEvidence.js';

/** Length of the period that is evaluated on its own, in milliseconds. */
const RECENT_MS = 4_000;
/** Interval between two kept states of the evidence, in milliseconds. */
const SAMPLE_INTERVAL_MS = 500;

/** What is known of a roll-out at one moment. @public */
export interface RolloutFindings {
  /** By all evidence since the order. */
  readonly assessment: VersionAssessment;
  /** By the evidence of the last seconds, which shows a version that has just turned bad. */
  readonly recent: VersionAssessment;
  /** Answers of the new version since the share was last raised. */
  readonly answersSinceStep: number;
  /** Time since the share was last raised, in milliseconds. */
  readonly sinceStepMs: number;
}

interface Sample {
  readonly takenAt: number;
  readonly evidence: readonly RouteEvidence[];
}

/**
 * Follows the evidence on one roll-out over time.
 *
 * @public
 */
export class RolloutJudge {
  private samples: Sample[] = [];
  private step = {share: -1, startedAt: 0, answers: 0};

  /** Adds the evidence so far and evaluates it. */
  evaluate(
    evidence: readonly RouteEvidence[],
    share: number,
    freshServers: number,
  ): RolloutFindings {
    const now = performance.now();
    const answers = countNewAnswers(evidence);
    if (share !== this.step.share) {
      this.step = {share, startedAt: now, answers};
    }
    const recentEvidence = computeNewEvidence(
      evidence,
      this.findSample(now)?.evidence ?? [],
    );
    this.addSample({takenAt: now, evidence});
    const input = {sinceOrder: evidence, freshServers, isSplit: share < 1};
    return {
      assessment: evaluateRollout({...input, routes: evidence}),
      recent: evaluateRollout({...input, routes: recentEvidence}),
      answersSinceStep: Math.max(0, answers - this.step.answers),
      sinceStepMs: now - this.step.startedAt,
    };
  }

  private addSample(sample: Sample): void {
    const last = this.samples.at(-1);
    const isDue = !last || sample.takenAt - last.takenAt >= SAMPLE_INTERVAL_MS;
    if (isDue) this.samples.push(sample);
    const oldest = sample.takenAt - RECENT_MS - SAMPLE_INTERVAL_MS;
    while (this.samples[0] && this.samples[0].takenAt < oldest) {
      this.samples.shift();
    }
  }

  /** Finds the newest sample from before the recent period. */
  private findSample(now: number): Sample | undefined {
    return this.samples
      .filter(({takenAt}) => now - takenAt >= RECENT_MS)
      .at(-1);
  }
}

function countNewAnswers(evidence: readonly RouteEvidence[]): number {
  return sumCounts(evidence.flatMap(({servers}) => [...servers.values()]))
    .answers;
}
