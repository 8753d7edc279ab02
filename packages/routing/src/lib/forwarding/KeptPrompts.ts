import {evictOldest} from '@sycamorehead/schema';
import {hashText} from './choosePreferredServers.js';
import {DecayingSum} from './DecayingSum.js';

/** Time after its last use for which a prompt segment counts as kept, in milliseconds. */
const KEPT_MS = 30_000;
/** Maximum number of prompt segments that are tracked for one server. */
const MAX_SEGMENTS = 1_000;
/** Time in which the tokens that a server was given to read decay to 1/e, in milliseconds. */
const READ_LIFETIME_MS = 2_000;
/**
 * Time for which shared segments have to live to be found by the next request that has them, in
 * milliseconds.
 */
const REUSE_MS = 10_000;
/** Time after its start until a server has read what other entries send it, in milliseconds. */
const FILL_MS = 5_000;
/** Time after a server's start beyond which it makes no difference, in milliseconds. */
const MAX_AGE_MS = 60_000;
/** Time after which what other entries have reported of a server is not believed any more, in milliseconds. @internal */
export const OTHERS_EXPIRY_MS = 2_000;
/** Time after which the use of a segment is news to the other entries again, in milliseconds. */
const NEWS_INTERVAL_MS = 3_000;
/** Maximum number of segments that are news. */
const MAX_NEWS = 64;
const MS_PER_SECOND = 1_000;
const NO_NEWS: readonly number[] = [];

/** A segment of a prompt; the number stands for its id and model. @public */
export interface KeptSegmentId {
  readonly hash: number;
  readonly tokens: number;
}

/** A prompt as an engine keeps it; all segments but the last may be shared. @public */
export interface KeptPrompt {
  readonly segments: readonly KeptSegmentId[];
}

/**
 * Builds the description of a prompt by which its segments are found again, at any entry.
 *
 * @example
 * ```ts
 * kept.recordPrompt(buildKeptPrompt('small', [{id: '5c1e07a2', tokens: 800}]), 800);
 * ```
 * @public
 */
export function buildKeptPrompt(
  model: string,
  segments: ReadonlyArray<{readonly id: string; readonly tokens: number}>,
): KeptPrompt {
  return {
    segments: segments.map(({id, tokens}) => ({
      hash: hashText(`${model} ${id}`),
      tokens,
    })),
  };
}

interface KeptSegment {
  readonly usedAt: number;
  /** Tokens that the server had been given to read by then. */
  readonly readBefore: number;
}

/**
 * What one server is believed to keep of the prompts that it has read, by the sends of this entry and
 * what the others tell of theirs. The least recently used segments give way.
 *
 * @public
 */
export class KeptPrompts {
  /** The newest last. */
  private readonly segments = new Map<number, KeptSegment>();
  /** Shared segments of this entry's sends that the other entries do not know to be here. */
  private readonly news = new Set<number>();
  private readonly recentRead = new DecayingSum(READ_LIFETIME_MS);
  /** Tokens that the server was given to read until `countedAt`, by all entries. */
  private readTokens = 0;
  private countedAt = performance.now();
  private othersPerSecond = 0;
  private othersAt = -Infinity;
  /** As of the last change, which reports bring often. */
  private readPerSecond = 0;
  private emptySince: number;

  /**
   * @param ageMs - Time since the server started, in milliseconds.
   */
  constructor(ageMs: number) {
    this.emptySince = performance.now() - Math.min(MAX_AGE_MS, ageMs);
  }

  // Commands.

  /** Records that the server has read a prompt, of which `readTokens` were new to it. */
  recordPrompt({segments}: KeptPrompt, readTokens: number): void {
    const now = performance.now();
    this.readTokens = this.countRead(now) + readTokens;
    this.countedAt = now;
    this.recentRead.add(readTokens);
    this.updateRate(now);
    for (const {hash} of segments.slice(0, -1)) {
      const known = this.segments.get(hash);
      const isNews = !known || now - known.usedAt >= NEWS_INTERVAL_MS;
      if (isNews && this.news.size < MAX_NEWS) this.news.add(hash);
    }
    this.markUsed(segments.map(({hash}) => hash));
  }

  /** Records the shared segments that other entries have sent, as taken from their news. */
  recordNews(hashes: readonly number[]): void {
    this.markUsed(hashes);
  }

  /** Takes up to so many shared segments of this entry's sends that are news to the others. */
  takeNews(count: number): readonly number[] {
    if (this.news.size === 0) return NO_NEWS;
    const taken = [...this.news].slice(0, count);
    for (const hash of taken) this.news.delete(hash);
    return taken;
  }

  /** Sets what the other entries have recently given the server to read, as `describeRead` describes it. */
  setOthersRead(tokens: number, now = performance.now()): void {
    this.readTokens = this.countRead(now);
    this.countedAt = now;
    const bounded = Number.isFinite(tokens) ? Math.max(0, tokens) : 0;
    this.othersPerSecond = (bounded * MS_PER_SECOND) / READ_LIFETIME_MS;
    this.othersAt = now;
    this.updateRate(now);
  }

  /** Records that the server has lost its memory. */
  clear(): void {
    this.segments.clear();
    this.news.clear();
    this.emptySince = performance.now();
  }

  // Queries.

  /** Describes what this entry has recently given the server to read, in tokens. */
  describeRead(now = performance.now()): number {
    return Math.round(this.recentRead.readAt(now));
  }

  /** Computes the tokens that the server is given to read in a second, by all entries that are heard of. */
  computeReadRate(now: number): number {
    const isFresh = now - this.othersAt < OTHERS_EXPIRY_MS;
    return isFresh ? this.readPerSecond : this.recentRead.perSecond;
  }

  /**
   * Estimates how many tokens of a prompt the server keeps: those of the leading segments that are
   * known to have been sent there, and a fraction of those of the other shared segments.
   *
   * @param othersFraction - Expectation that other entries have sent segments of which nothing is known.
   * @param room - Tokens that the running requests leave to kept prompts; Infinity if unknown.
   */
  countKept(
    {segments}: KeptPrompt,
    othersFraction: number,
    room: number,
    now: number,
  ): number {
    const known = this.countKnown(segments, room, now);
    const othersShare = othersFraction * this.estimateConfidence(room, now);
    let tokens = 0;
    let index = 0;
    for (const segment of segments) {
      const isShared = index < segments.length - 1;
      if (index < known) tokens += segment.tokens;
      else if (isShared) tokens += segment.tokens * othersShare;
      index += 1;
    }
    return tokens;
  }

  /**
   * Estimates the fraction of the tokens read now that pushes out segments which would still have been
   * used.
   */
  estimateDisplacement(room: number): number {
    if (room === Infinity) return 0;
    const rate = this.computeReadRate(performance.now());
    if (rate <= 0) return 0;
    const lifetimeMs = (Math.max(0, room) * MS_PER_SECOND) / rate;
    return Math.max(0, 1 - lifetimeMs / REUSE_MS);
  }

  /**
   * Estimates how far the server has read what other entries send it, between 0 and 1. How soon it is
   * pushed out does not count: shared segments live for as long as their requests go to the same server.
   */
  private estimateConfidence(room: number, now: number): number {
    if (room === Infinity) return 1;
    if (room <= 0) return 0;
    return Math.min(1, (now - this.emptySince) / FILL_MS);
  }

  /** Counts the leading segments up to the last one that is known to be kept. */
  private countKnown(
    segments: readonly KeptSegmentId[],
    room: number,
    now: number,
  ): number {
    const read = this.countRead(now);
    for (let index = segments.length - 1; index >= 0; index -= 1) {
      const hash = segments[index]?.hash;
      const kept = hash === undefined ? undefined : this.segments.get(hash);
      const isKept =
        kept !== undefined &&
        now - kept.usedAt < KEPT_MS &&
        read - kept.readBefore <= room;
      if (isKept) return index + 1;
    }
    return 0;
  }

  /** Marks segments as used now, the last of a prompt as the first to give way. */
  private markUsed(hashes: readonly number[]): void {
    const now = performance.now();
    const kept = {usedAt: now, readBefore: this.countRead(now)};
    for (let index = hashes.length - 1; index >= 0; index -= 1) {
      const hash = hashes[index];
      if (hash === undefined) continue;
      this.segments.delete(hash);
      this.segments.set(hash, kept);
    }
    this.expireSegments(now);
  }

  private countRead(now: number): number {
    const until = Math.min(now, this.othersAt + OTHERS_EXPIRY_MS);
    const sinceMs = Math.max(0, until - this.countedAt);
    return this.readTokens + (this.othersPerSecond * sinceMs) / MS_PER_SECOND;
  }

  private updateRate(now: number): void {
    const isFresh = now - this.othersAt < OTHERS_EXPIRY_MS;
    const othersPerSecond = isFresh ? this.othersPerSecond : 0;
    const own = this.recentRead.readAt(now) / READ_LIFETIME_MS;
    this.readPerSecond = own * MS_PER_SECOND + othersPerSecond;
  }

  private expireSegments(now: number): void {
    for (const [hash, {usedAt}] of this.segments) {
      if (now - usedAt < KEPT_MS) break;
      this.segments.delete(hash);
    }
    evictOldest(this.segments, MAX_SEGMENTS);
  }
}
