import {evictOldest} from '@sycamorehead/schema';
import type {RoutedRequest} from './routingTypes.js';
import {SampleWindow} from './SampleWindow.js';

const WINDOW = 64;
const MIX_WINDOW = 256;
const MAX_KEYS = 4_096;
const MIN_SAMPLES = 3;
/** The output tokens assumed before anything is learned. */
const DEFAULT_OUTPUT_TOKENS = 16;
/** The number of prompt tokens that take as long as one generated token. */
const PROMPT_TOKENS_PER_UNIT = 250;
/** Work is long above this multiple of the median of the observed mix. */
const LONG_FACTOR = 5;
const MIN_LONG_UNITS = 32;
/**
 * The growth assumed for an answer longer than any observed one, relative to its current length.
 */
const OVERRUN_SHARE = 0.5;

/** Expected work of a request, in units of one generated token. @public */
export interface WorkEstimate {
  readonly outputTokens: number;
  /** The work of prompt and answer together. */
  readonly units: number;
  readonly isLong: boolean;
}

/**
 * Learns the length of answers by customer, kind of work and prompt size. The token limit of the
 * caller only caps the estimate, because the engine enforces it.
 *
 * @public
 */
export class WorkEstimator {
  private readonly windows = new Map<string, SampleWindow>();
  private readonly mix = new SampleWindow(MIX_WINDOW);
  private longUnits = MIN_LONG_UNITS;

  // Commands.

  /** Learns from a complete answer. */
  record(request: RoutedRequest, outputTokens: number): void {
    for (const key of listKeys(request)) {
      const window = this.windows.get(key) ?? new SampleWindow(WINDOW);
      // The key is inserted again, so that the least recently used key is evicted first.
      this.windows.delete(key);
      this.windows.set(key, window);
      window.add(outputTokens);
    }
    evictOldest(this.windows, MAX_KEYS);
    this.mix.add(outputTokens + computePromptUnits(request));
    const median = this.mix.computeQuantile(0.5) ?? 0;
    this.longUnits = Math.max(MIN_LONG_UNITS, LONG_FACTOR * median);
  }

  // Queries.

  /** Estimates a request before it runs. */
  estimate(request: RoutedRequest): WorkEstimate {
    const expected =
      this.findWindow(request)?.computeMeanAbove(-1) ?? DEFAULT_OUTPUT_TOKENS;
    const outputTokens = limitTokens(request, expected);
    const units = outputTokens + computePromptUnits(request);
    return {outputTokens, units, isLong: this.isLong(units)};
  }

  /** Estimates the tokens still to come once some have arrived. */
  estimateRemaining(request: RoutedRequest, generated: number): number {
    if (generated === 0) return this.estimate(request).units;
    const longer = this.findWindow(request)?.computeMeanAbove(generated);
    const total = longer ?? generated * (1 + OVERRUN_SHARE);
    return Math.max(1, limitTokens(request, total) - generated);
  }

  /** Returns whether work of this size is long compared with the observed mix. */
  isLong(units: number): boolean {
    return units > this.longUnits;
  }

  private findWindow(request: RoutedRequest): SampleWindow | undefined {
    return listKeys(request)
      .map(key => this.windows.get(key))
      .find(window => window !== undefined && window.count >= MIN_SAMPLES);
  }
}

/** Lists the keys under which a request is learned, the most specific first. */
function listKeys({customer, kind, promptTokens}: RoutedRequest): string[] {
  const size = Math.floor(Math.log2(Math.max(promptTokens, 1)) / 2);
  return [`${customer.customer}|${kind}|${size}`, `*|${kind}|${size}`];
}

function computePromptUnits({promptTokens}: RoutedRequest): number {
  return promptTokens / PROMPT_TOKENS_PER_UNIT;
}

function limitTokens({maxTokens}: RoutedRequest, tokens: number): number {
  return maxTokens === undefined ? tokens : Math.min(tokens, maxTokens);
}
