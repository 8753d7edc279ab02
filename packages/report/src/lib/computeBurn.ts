import {Increases, listIncreases} from './computeIncreases.js';
import {Objectives, classifyOutcome} from './objectives.js';

/** Burn of one customer's requests of one kind within one window. @public */
export interface BurnRow {
  readonly customer: string;
  readonly kind: string;
  readonly window: string;
  readonly answered: number;
  readonly failed: number;
  /**
   * Failures relative to the number that the objective allows: 1 spends the error budget exactly.
   * Absent if there are no requests.
   */
  readonly availabilityBurn?: number;
  /** Slow first tokens relative to the number that the objective allows. */
  readonly firstTokenBurn?: number;
  readonly isAlerting: boolean;
}

interface Tally {
  readonly customer: string;
  readonly kind: string;
  answered: number;
  failed: number;
  fastFirstTokens: number;
  firstTokens: number;
}

function countWindow(
  increases: Increases,
  objectives: Objectives,
): Map<string, Tally> {
  const tallies = new Map<string, Tally>();
  const getTally = (labels: Readonly<Record<string, string>>): Tally => {
    const {customer = '', kind = ''} = labels;
    const key = `${customer}\n${kind}`;
    const known = tallies.get(key);
    if (known) return known;
    const created: Tally = {
      customer,
      kind,
      answered: 0,
      failed: 0,
      fastFirstTokens: 0,
      firstTokens: 0,
    };
    tallies.set(key, created);
    return created;
  };
  for (const {labels, value} of listIncreases(
    increases,
    'sycamorehead_answers_total',
  )) {
    const outcome = classifyOutcome(labels.outcome ?? '');
    if (outcome === 'excluded') continue;
    getTally(labels)[outcome] += value;
  }
  for (const {labels, value} of listIncreases(
    increases,
    'sycamorehead_first_token_seconds_count',
  )) {
    getTally(labels).firstTokens += value;
  }
  for (const {labels, value} of listIncreases(
    increases,
    'sycamorehead_first_token_seconds_bucket',
  )) {
    if (Number(labels.le) !== objectives.firstTokenSeconds) continue;
    getTally(labels).fastFirstTokens += value;
  }
  return tallies;
}

function computeBurnRate(
  badCount: number,
  totalCount: number,
  objective: number,
): number | undefined {
  return totalCount > 0 ? badCount / totalCount / (1 - objective) : undefined;
}

/**
 * Computes the burn of each customer and kind of request from the counter increases in a window.
 *
 * @example
 * ```ts
 * computeBurn(increases, {name: '1h', alertAbove: 14.4}, DEFAULT_OBJECTIVES);
 * ```
 * @public
 */
export function computeBurn(
  increases: Increases,
  window: {readonly name: string; readonly alertAbove: number},
  objectives: Objectives,
): BurnRow[] {
  const rows = [...countWindow(increases, objectives).values()].map(tally => {
    const {customer, kind, answered, failed} = tally;
    const availabilityBurn = computeBurnRate(
      failed,
      answered + failed,
      objectives.availability,
    );
    const firstTokenBurn = computeBurnRate(
      tally.firstTokens - tally.fastFirstTokens,
      tally.firstTokens,
      objectives.firstTokenShare,
    );
    const worst = Math.max(availabilityBurn ?? 0, firstTokenBurn ?? 0);
    return {
      customer,
      kind,
      window: window.name,
      answered,
      failed,
      availabilityBurn,
      firstTokenBurn,
      isAlerting: worst > window.alertAbove,
    };
  });
  return rows.sort((left, right) =>
    `${left.customer}\n${left.kind}` < `${right.customer}\n${right.kind}`
      ? -1
      : 1,
  );
}
