import {RolloutGuard} from '@sycamorehead/control';
import {
  Configuration,
  EMPTY_CONFIGURATION,
  EvidenceItem,
  applyReleaseNote,
} from '@sycamorehead/schema';
import {SeededRandom} from '../load/arrivals.js';
import {
  SCENARIO_CUSTOMERS,
  SCENARIO_KINDS,
  buildRolloutNote,
  buildScenarioNote,
} from './versionScenario.js';

/** Answers of the old version for each answer of the new one, in a roll-out step of 5%. */
const OLD_ANSWERS_PER_NEW_ANSWER = 19;
const OLD_VERSION = 'm/v1';
const NEW_VERSION = 'm/v2';
const WARM_UP_ANSWERS = 400;
const SERVERS = 8;
const FIRST_TOKEN_MS = 30;
const FIRST_TOKEN_SIGMA = 0.5;
const ENTRIES = 8;

const MEAN_RATINGS: Readonly<Record<string, number>> = {
  proof: 0.95,
  note: 0.9,
  label: 0.92,
  brief: 0.84,
};

/** Distribution of ratings around their mean. @internal */
export type RatingSpread = 'narrow' | 'wide' | 'two_valued';

/** Settings of one simulated roll-out. @internal */
export interface GuardSimulation {
  readonly seed: number;
  /** Decrease of the new version's mean rating by kind of work; none if absent. */
  readonly qualityLoss?: Readonly<Record<string, number>>;
  readonly spread: RatingSpread;
  readonly errorRate: number;
  /** Fraction of answers that are rated. */
  readonly ratedShare: number;
  /** Delay of ratings, as a number of answers of the new version. */
  readonly delayAnswers: number;
  /** Number of answers of the new version after which the simulation ends. */
  readonly maxAnswers: number;
  /** Whether one guard uses the evidence of all entries; otherwise each entry has its own guard. */
  readonly isPooled?: boolean;
  /** Whether evidence is reported per kind of work. Default: true. */
  readonly isPerKind?: boolean;
}

/** Result of a simulated roll-out. @internal */
export interface GuardSimulationResult {
  /** Whether the guard quarantined the version. */
  readonly isQuarantined: boolean;
  /** Answers of the new version, in kinds with decreased quality, before the quarantine. */
  readonly badAnswers: number;
  readonly reason?: string;
}

const CONFIGURATION = buildConfiguration();

function buildConfiguration(): Configuration {
  const first = buildScenarioNote([
    '{model: m, version: v1, inputPrice: 1, outputPrice: 1, contextTokens: 8192, qualityPrior: 0.9}',
  ]);
  const second = buildRolloutNote({
    share: 0.05,
    soakSeconds: 0,
    minRatings: 100_000,
  });
  return applyReleaseNote(applyReleaseNote(EMPTY_CONFIGURATION, first), second);
}

/** A guard that records the reason of its first quarantine. */
class SimulatedGuard {
  reason: string | undefined;
  private sequence = 0;
  private readonly guard = new RolloutGuard({
    getConfiguration: () => CONFIGURATION,
    isLeader: () => true,
    quarantine: async (version, reason) => {
      this.reason ??= reason;
    },
    advance: async () => undefined,
  });

  accept(items: readonly EvidenceItem[]): void {
    this.sequence += 1;
    const {sequence} = this;
    this.guard.accept({entry: 'e', epoch: 'p', sequence, items});
  }
}

/**
 * Runs the production guard on simulated evidence of one roll-out in a step of 5%.
 *
 * @example
 * ```ts
 * simulateGuard({seed: 1, spread: 'narrow', errorRate: 0.01, ratedShare: 1, delayAnswers: 0, maxAnswers: 500});
 * ```
 * @internal
 */
export function simulateGuard(plan: GuardSimulation): GuardSimulationResult {
  const random = new SeededRandom(plan.seed);
  const count = plan.isPooled === false ? ENTRIES : 1;
  const guards = Array.from({length: count}, () => new SimulatedGuard());
  const delayedEvidence: Array<{guard: SimulatedGuard; items: EvidenceItem[]}> =
    [];
  let badAnswers = 0;
  for (let answer = 0; answer < WARM_UP_ANSWERS; answer++) {
    const guard = guards[answer % count]!;
    guard.accept(sampleEvidence(random, plan, OLD_VERSION).items);
  }
  for (let answer = 0; answer < plan.maxAnswers; answer++) {
    const guard = guards[answer % count]!;
    // Without pooled evidence, a guard quarantines the version on its own entry only.
    if (guard.reason) continue;
    const sampled = sampleEvidence(random, plan, NEW_VERSION);
    if (plan.qualityLoss?.[sampled.kind]) badAnswers += 1;
    delayedEvidence.push({guard, items: sampled.items});
    guard.accept(sampleOldEvidence(random, plan));
    if (delayedEvidence.length <= plan.delayAnswers) continue;
    const due = delayedEvidence.shift()!;
    due.guard.accept(due.items);
    if (guards.every(({reason}) => reason)) break;
  }
  const isQuarantined = guards.every(({reason}) => reason !== undefined);
  return {isQuarantined, badAnswers, reason: guards[0]?.reason};
}

function sampleOldEvidence(
  random: SeededRandom,
  plan: GuardSimulation,
): EvidenceItem[] {
  return Array.from(
    {length: OLD_ANSWERS_PER_NEW_ANSWER},
    () => sampleEvidence(random, plan, OLD_VERSION).items,
  ).flat();
}

function sampleEvidence(
  random: SeededRandom,
  plan: GuardSimulation,
  version: string,
): {kind: string; items: EvidenceItem[]} {
  const {kind} = random.pickWeighted(SCENARIO_KINDS);
  const {customer} = random.pickWeighted(SCENARIO_CUSTOMERS);
  const server = `s${Math.floor(random.sampleUniform() * SERVERS)}`;
  const reportedKind = plan.isPerKind === false ? 'all' : kind;
  const origin = {version, kind: reportedKind, customer, revision: 2, step: 0};
  const hasFailed = random.sampleUniform() < plan.errorRate;
  const firstTokenMs = random.sampleLogNormal(
    FIRST_TOKEN_MS,
    FIRST_TOKEN_SIGMA,
  );
  const items: EvidenceItem[] = [
    {
      ...origin,
      type: 'attempt',
      result: hasFailed ? 'failed' : 'answered',
      server,
      firstTokenMs,
    },
  ];
  const loss = version === NEW_VERSION ? (plan.qualityLoss?.[kind] ?? 0) : 0;
  const rating = sampleRating(random, plan.spread, MEAN_RATINGS[kind]! - loss);
  const isRated = random.sampleUniform() < plan.ratedShare;
  if (isRated) items.push({...origin, type: 'rating', rating});
  return {kind, items};
}

const SPREADS: Readonly<
  Record<RatingSpread, (draw: number, mean: number) => number>
> = {
  narrow: (draw, mean) => mean + 0.1 * (2 * draw - 1),
  wide: (draw, mean) => mean + (1 - mean) * (draw < 0.5 ? 1 : -1),
  two_valued: (draw, mean) => (draw < mean ? 1 : 0),
};

function sampleRating(
  random: SeededRandom,
  spread: RatingSpread,
  mean: number,
): number {
  const rating = SPREADS[spread](random.sampleUniform(), mean);
  return Math.min(1, Math.max(0, rating));
}
