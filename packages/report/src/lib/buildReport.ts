import type {ConfiguredVersion} from '@sycamorehead/schema';
import {BurnRow, computeBurn} from './computeBurn.js';
import {
  Increases,
  computeIncreases,
  listIncreases,
} from './computeIncreases.js';
import {BURN_WINDOWS, Objectives, classifyOutcome} from './objectives.js';
import type {Sample} from './SampleStore.js';

/** Cost of one customer's requests to one version or service. @public */
export interface CostRow {
  readonly customer: string;
  readonly item: string;
  readonly amountMicros: number;
}

/** Number of refusals and failures of one customer's requests by outcome. @public */
export interface RefusalRow {
  readonly customer: string;
  readonly outcome: string;
  readonly count: number;
}

/** Number of answers by a version that is now quarantined. @public */
export interface ExposureRow {
  readonly version: string;
  readonly reason: string;
  readonly answers: number;
}

/** Progress of one version's roll-out. @public */
export interface RolloutRow {
  readonly version: string;
  readonly state: ConfiguredVersion['state'];
  /** Current step, counted from 1, and number of steps, as `1/3`; empty without a roll-out. */
  readonly step: string;
  /** Revision that started the current roll-out. */
  readonly since?: number;
  readonly reason: string;
}

/** A saved result of an experiment. @public */
export interface SavedExperiment {
  readonly experiment: string;
  readonly seed: number;
  readonly targets: ReadonlyArray<{
    readonly name: string;
    readonly target: string;
    readonly value: number | null;
    readonly met: boolean;
  }>;
}

/** A point of the burn over time. @public */
export interface BurnPoint {
  readonly at: number;
  /** Burn over all customers and kinds in the interval that ends at this point. */
  readonly availabilityBurn: number;
  readonly firstTokenBurn: number;
}

/** The content of a report. @public */
export interface ServiceReport {
  readonly at: number;
  readonly objectives: Objectives;
  readonly entries: readonly string[];
  readonly firstSampleAt: number;
  readonly burn: readonly BurnRow[];
  readonly history: readonly BurnPoint[];
  readonly cost: readonly CostRow[];
  readonly refusals: readonly RefusalRow[];
  readonly exposure: readonly ExposureRow[];
  readonly rollouts: readonly RolloutRow[];
  readonly experiments: readonly SavedExperiment[];
}

/** The data that a report is built from. @public */
export interface ReportSources {
  readonly samples: readonly Sample[];
  readonly objectives: Objectives;
  readonly versions?: Readonly<Record<string, ConfiguredVersion>>;
  readonly experiments?: readonly SavedExperiment[];
}

const HISTORY_POINTS = 40;

function sumBy(
  increases: Increases,
  name: string,
  labelNames: readonly string[],
): Array<{labels: string[]; value: number}> {
  const sums = new Map<string, {labels: string[]; value: number}>();
  for (const {labels, value} of listIncreases(increases, name)) {
    const picked = labelNames.map(label => labels[label] ?? '');
    const key = picked.join('\n');
    const sum = sums.get(key) ?? {labels: picked, value: 0};
    sum.value += value;
    sums.set(key, sum);
  }
  return [...sums.entries()]
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([, sum]) => sum);
}

function buildExposure(
  increases: Increases,
  versions: ReportSources['versions'] = {},
): ExposureRow[] {
  const answers = sumBy(increases, 'sycamorehead_answers_total', [
    'version',
    'outcome',
  ]);
  return Object.entries(versions)
    .filter(([, {state}]) => state === 'quarantined')
    .map(([version, {reason}]) => {
      const okAnswers = answers.find(
        ({labels}) => labels[0] === version && labels[1] === 'ok',
      );
      return {version, reason: reason ?? '', answers: okAnswers?.value ?? 0};
    });
}

function buildRollouts(versions: ReportSources['versions'] = {}): RolloutRow[] {
  return Object.entries(versions).map(([version, configured]) => {
    const {state, step, rollout, since, reason} = configured;
    return {
      version,
      state,
      step: rollout ? `${step + 1}/${rollout.steps.length}` : '',
      since,
      reason: reason ?? '',
    };
  });
}

function buildHistory(
  samples: readonly Sample[],
  objectives: Objectives,
): BurnPoint[] {
  const first = samples[0]?.at ?? 0;
  const last = samples.at(-1)?.at ?? 0;
  const stepMs = (last - first) / HISTORY_POINTS;
  if (stepMs <= 0) return [];
  return Array.from({length: HISTORY_POINTS}, (unused, index) => {
    const from = first + index * stepMs;
    const rows = computeBurn(
      computeIncreases(samples, from, from + stepMs),
      {name: '', alertAbove: Infinity},
      objectives,
    );
    return {
      at: from + stepMs,
      availabilityBurn: computeWeightedMean(rows, row => row.availabilityBurn),
      firstTokenBurn: computeWeightedMean(rows, row => row.firstTokenBurn),
    };
  });
}

/** Computes the mean burn of the rows that have one, weighted by their number of requests. */
function computeWeightedMean(
  rows: readonly BurnRow[],
  getBurn: (row: BurnRow) => number | undefined,
): number {
  let weight = 0;
  let sum = 0;
  for (const row of rows) {
    const burn = getBurn(row);
    if (burn === undefined) continue;
    weight += row.answered + row.failed;
    sum += burn * (row.answered + row.failed);
  }
  return weight > 0 ? sum / weight : 0;
}

/**
 * Builds a report from samples, control's records and saved experiments.
 *
 * @example
 * ```ts
 * const report = buildReport({samples: store.read(), objectives: DEFAULT_OBJECTIVES});
 * ```
 * @public
 */
export function buildReport(sources: ReportSources): ServiceReport {
  const {samples, objectives} = sources;
  const at = samples.at(-1)?.at ?? 0;
  const increases = computeIncreases(samples, -Infinity, at);
  const refusals = sumBy(increases, 'sycamorehead_answers_total', [
    'customer',
    'outcome',
  ]).filter(({labels}) => classifyOutcome(labels[1] ?? '') !== 'answered');
  return {
    at,
    objectives,
    entries: [...new Set(samples.map(({entry}) => entry))],
    firstSampleAt: samples[0]?.at ?? 0,
    burn: BURN_WINDOWS.flatMap(window =>
      computeBurn(
        computeIncreases(samples, at - window.lengthMs, at),
        window,
        objectives,
      ),
    ),
    history: buildHistory(samples, objectives),
    cost: sumBy(increases, 'sycamorehead_billed_micros_total', [
      'customer',
      'version',
    ]).map(({labels: [customer = '', item = ''], value}) => ({
      customer,
      item,
      amountMicros: value,
    })),
    refusals: refusals.map(
      ({labels: [customer = '', outcome = ''], value}) => ({
        customer,
        outcome,
        count: value,
      }),
    ),
    exposure: buildExposure(increases, sources.versions),
    rollouts: buildRollouts(sources.versions),
    experiments: sources.experiments ?? [],
  };
}
