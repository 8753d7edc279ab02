import type {QualitySummary} from '@sycamorehead/schema';

/** An estimate of the quality of one kind of request on one version. @public */
export interface QualityEstimate {
  readonly mean: number;
  /** One-sided 90% bounds. */
  readonly lower: number;
  readonly upper: number;
  /** Effective number of ratings of this kind. */
  readonly count: number;
}

/** Weight of the quality prior of a release note, in ratings. */
const PRIOR_RATINGS = 4;
/** Standard deviation of the quality of a version's kinds around the version's mean. */
const KIND_DEVIATION = 0.1;
/** Standard deviation assumed for single ratings before any is known. */
const RATING_DEVIATION = 0.15;
/** Weight of RATING_DEVIATION, in ratings. */
const DEVIATION_RATINGS = 2;
/** One-sided 90% quantile of the normal distribution. */
const BOUND_QUANTILE = 1.282;
/**
 * The factor by which each new rating reduces the weight of the earlier ones; the effective number
 * of ratings is at most about 700.
 */
const DECAY = 0.9986;
const MAX_KINDS = 64;

interface Cell {
  count: number;
  mean: number;
  /** Sum of squared deviations. */
  squares: number;
}

/**
 * Learns the quality of versions by kind of request. An estimate is the posterior of a two-level
 * normal model: the mean of a kind is shrunk towards the mean of its version, which is shrunk
 * towards the prior of the release note.
 *
 * The control instances pool the ratings of all entries; this entry's own ratings are used while
 * the pool has fewer.
 *
 * @public
 */
export class QualityTable {
  private readonly own = new Map<string, Map<string, Cell>>();
  private pooled = new Map<string, Map<string, Cell>>();

  // Commands.

  /** Learns from one rating. */
  record(version: string, kind: string, rating: number): void {
    const cell = ensureCell(this.own, version, kind);
    if (!cell) return;
    cell.count = cell.count * DECAY + 1;
    const difference = rating - cell.mean;
    cell.mean += difference / cell.count;
    cell.squares = cell.squares * DECAY + difference * (rating - cell.mean);
  }

  /** Replaces the summaries that the control instances have pooled. */
  replacePooled(summaries: readonly QualitySummary[]): void {
    this.pooled = new Map();
    for (const {version, kind, count, mean, variance} of summaries) {
      const cell = ensureCell(this.pooled, version, kind);
      if (cell) Object.assign(cell, {count, mean, squares: count * variance});
    }
  }

  /** Drops the ratings of a version, for example when its roll-out restarts. */
  drop(version: string): void {
    this.own.delete(version);
    this.pooled.delete(version);
  }

  // Queries.

  /** Estimates the expected rating of a kind of request on a version. */
  estimate(version: string, kind: string, prior: number): QualityEstimate {
    const cells = this.getCells(version);
    const versionMean = computeVersionMean(cells, prior);
    const cell = cells?.get(kind) ?? {count: 0, mean: 0, squares: 0};
    const ratingVariance =
      (DEVIATION_RATINGS * RATING_DEVIATION ** 2 + cell.squares) /
      (DEVIATION_RATINGS + cell.count);
    const priorPrecision = 1 / KIND_DEVIATION ** 2;
    const dataPrecision = cell.count / ratingVariance;
    const precision = priorPrecision + dataPrecision;
    const mean =
      (priorPrecision * versionMean + dataPrecision * cell.mean) / precision;
    const margin = BOUND_QUANTILE / Math.sqrt(precision);
    return {
      mean,
      lower: mean - margin,
      upper: mean + margin,
      count: cell.count,
    };
  }

  /** Lists summaries of this entry's own ratings. */
  listOwn(): QualitySummary[] {
    return [...this.own].flatMap(([version, cells]) =>
      [...cells].map(([kind, {count, mean, squares}]) => ({
        version,
        kind,
        count,
        mean,
        variance: count > 0 ? squares / count : 0,
      })),
    );
  }

  private getCells(version: string): Map<string, Cell> | undefined {
    const own = this.own.get(version);
    const pooled = this.pooled.get(version);
    return sumCounts(pooled) >= sumCounts(own) ? pooled : own;
  }
}

function sumCounts(cells?: Map<string, Cell>): number {
  let sum = 0;
  for (const {count} of cells?.values() ?? []) sum += count;
  return sum;
}

function computeVersionMean(
  cells: Map<string, Cell> | undefined,
  prior: number,
): number {
  let sum = PRIOR_RATINGS * prior;
  let count = PRIOR_RATINGS;
  for (const cell of cells?.values() ?? []) {
    sum += cell.count * cell.mean;
    count += cell.count;
  }
  return sum / count;
}

function ensureCell(
  table: Map<string, Map<string, Cell>>,
  version: string,
  kind: string,
): Cell | undefined {
  const cells = table.get(version) ?? new Map<string, Cell>();
  table.set(version, cells);
  const known = cells.get(kind);
  if (known) return known;
  if (cells.size >= MAX_KINDS) return undefined;
  const cell = {count: 0, mean: 0, squares: 0};
  cells.set(kind, cell);
  return cell;
}
