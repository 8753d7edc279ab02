/** The prefill time assumed before the first measurement, in milliseconds per token. */
const DEFAULT_MS_PER_TOKEN = 0.015;
/** The part of that time that does not depend on the prompt, assumed before, in milliseconds. */
const DEFAULT_FIXED_MS = 50;
/** Prompt length of the assumed measurement, in tokens. */
const ASSUMED_TOKENS = 5_000;
/** Weight of the assumed measurements; that of a real one is 1. */
const ASSUMED_WEIGHT = 0.5;
/** Fraction of their weight that earlier measurements lose with each new one. */
const DECAY = 0.03;
/** Measurements above this multiple of the expected time are cut off: something else delayed them. */
const MAX_RATIO = 2;
/** Minimum of a plausible rate, in milliseconds per token. */
const MIN_MS_PER_TOKEN = 0.0005;
/** Maximum of a plausible rate, in milliseconds per token. */
const MAX_MS_PER_TOKEN = 0.5;
/** Maximum number of models that are tracked. */
const MAX_MODELS = 1_000;

/**
 * Sums of a weighted linear regression of time on tokens. Those of several entries may be added.
 *
 * @public
 */
export interface PrefillSums {
  weight: number;
  tokens: number;
  timeMs: number;
  tokensSquared: number;
  product: number;
}

/** Sums by model. @public */
export type PrefillSumTable = Readonly<Record<string, Readonly<PrefillSums>>>;

interface Line {
  readonly fixedMs: number;
  readonly msPerToken: number;
}

/**
 * Learns the prefill time per prompt token of each model from the time to the first event of
 * requests that did not compete for prefill on their server. A regression separates it from the
 * time that every request takes, which keeps no other request waiting.
 *
 * @public
 */
export class PrefillRates {
  private readonly sums = new Map<string, PrefillSums>();
  private others: PrefillSumTable = {};

  // Commands.

  /** Records the time to the first event of a prompt that no other prefill delayed. */
  recordPrefill(model: string, tokens: number, timeMs: number): void {
    if (tokens <= 0 || timeMs <= 0) return;
    const known = this.sums.get(model);
    if (!known && this.sums.size >= MAX_MODELS) return;
    const {fixedMs, msPerToken} = this.estimateLine(model);
    const expectedMs = fixedMs + msPerToken * tokens;
    const sums = known ?? buildPrefillSums();
    for (const key of SUM_KEYS) sums[key] *= 1 - DECAY;
    addPoint(sums, tokens, Math.min(timeMs, expectedMs * MAX_RATIO), 1);
    this.sums.set(model, sums);
  }

  /** Sets the sums of the other entries, without which a single one of many learns too slowly. */
  setOthers(others: PrefillSumTable): void {
    this.others = others;
  }

  // Queries.

  /** Estimates the time for which the prefill of prompt tokens occupies a server, in milliseconds. */
  estimateMs(model: string, tokens: number): number {
    return tokens * this.estimateLine(model).msPerToken;
  }

  /** Estimates the part of the time to the first event that does not depend on the prompt. */
  estimateFixedMs(model: string): number {
    return this.estimateLine(model).fixedMs;
  }

  /** Lists this entry's sums by model. */
  listSums(): PrefillSumTable {
    return Object.fromEntries(this.sums);
  }

  private estimateLine(model: string): Line {
    const sums = buildPrefillSums();
    for (const part of [this.sums.get(model), this.others[model]]) {
      if (part) addPrefillSums(sums, part);
    }
    return computeLine(sums);
  }
}

const SUM_KEYS = [
  'weight',
  'tokens',
  'timeMs',
  'tokensSquared',
  'product',
] as const;

/**
 * Builds the sums of no measurement.
 *
 * @example
 * ```ts
 * addPrefillSums(buildPrefillSums(), sums);
 * ```
 * @public
 */
export function buildPrefillSums(): PrefillSums {
  return {weight: 0, tokens: 0, timeMs: 0, tokensSquared: 0, product: 0};
}

/**
 * Adds the sums of another entry.
 *
 * @example
 * ```ts
 * addPrefillSums(total, sums);
 * ```
 * @public
 */
export function addPrefillSums(
  total: PrefillSums,
  part: Readonly<PrefillSums>,
): void {
  for (const key of SUM_KEYS) total[key] += part[key];
}

function addPoint(
  sums: PrefillSums,
  tokens: number,
  timeMs: number,
  weight: number,
): void {
  sums.weight += weight;
  sums.tokens += weight * tokens;
  sums.timeMs += weight * timeMs;
  sums.tokensSquared += weight * tokens * tokens;
  sums.product += weight * tokens * timeMs;
}

/** Fits a line to the measurements and two assumed ones, which always count. */
function computeLine(sums: PrefillSums): Line {
  const assumedMs = DEFAULT_FIXED_MS + ASSUMED_TOKENS * DEFAULT_MS_PER_TOKEN;
  addPoint(sums, 0, DEFAULT_FIXED_MS, ASSUMED_WEIGHT);
  addPoint(sums, ASSUMED_TOKENS, assumedMs, ASSUMED_WEIGHT);
  const {weight, tokens, timeMs, tokensSquared, product} = sums;
  const spread = weight * tokensSquared - tokens * tokens;
  const slope = (weight * product - tokens * timeMs) / spread;
  const msPerToken = Math.min(
    MAX_MS_PER_TOKEN,
    Math.max(MIN_MS_PER_TOKEN, slope),
  );
  const fixedMs = Math.max(0, (timeMs - msPerToken * tokens) / weight);
  return {fixedMs, msPerToken};
}
