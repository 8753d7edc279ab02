import {evictOldest} from '@sycamorehead/schema';
import {DecayingSum} from './DecayingSum.js';

/** Time after its last use for which a prompt segment counts as kept, in milliseconds. */
const KEPT_MS = 30_000;
/** Maximum number of prompt segments that are tracked for one server. */
const MAX_SEGMENTS = 4_000;
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
const MS_PER_SECOND = 1_000;

/** A segment of a prompt with its length. @public */
export interface SegmentTokens {
  readonly id: string;
  readonly tokens: number;
}

/** A prompt as an engine keeps it. @public */
export interface KeptPrompt {
  readonly model: string;
  readonly segments: readonly SegmentTokens[];
}

interface KeptSegment {
  readonly usedAt: number;
  /** Tokens that the server had been given to read by then. */
  readonly readBefore: number;
}

/**
 * What one server is believed to keep of the prompts that it has read: exactly for the sends of this
 * entry, by their total for those of the others. The least recently used segments give way.
 *
 * @public
 */
export class KeptPrompts {
  /** The newest last. */
  private readonly segments = new Map<string, KeptSegment>();
  private readonly recentRead = new DecayingSum(READ_LIFETIME_MS);
  /** Tokens that the server was given to read until `countedAt`, by all entries. */
  private readTokens = 0;
  private countedAt = performance.now();
  private othersPerSecond = 0;
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
  recordPrompt({model, segments}: KeptPrompt, readTokens: number): void {
    const now = performance.now();
    this.readTokens = this.countRead(now) + readTokens;
    this.countedAt = now;
    this.recentRead.add(readTokens);
    this.updateRate();
    const kept = {usedAt: now, readBefore: this.readTokens};
    // The last segment gives way first.
    for (const {id} of [...segments].reverse()) {
      const key = buildKey(model, id);
      this.segments.delete(key);
      this.segments.set(key, kept);
    }
    this.expireSegments(now);
  }

  /** Sets what the other entries have recently given the server to read, as `describeRead` describes it. */
  setOthersRead(tokens: number): void {
    const now = performance.now();
    this.readTokens = this.countRead(now);
    this.countedAt = now;
    const bounded = Number.isFinite(tokens) ? Math.max(0, tokens) : 0;
    this.othersPerSecond = (bounded * MS_PER_SECOND) / READ_LIFETIME_MS;
    this.updateRate();
  }

  /** Records that the server has lost its memory. */
  clear(): void {
    this.segments.clear();
    this.emptySince = performance.now();
  }

  // Queries.

  /** Describes what this entry has recently given the server to read, in tokens. */
  describeRead(): number {
    return Math.round(this.recentRead.value);
  }

  /** Tokens that the server is given to read in a second, by all entries. */
  get tokensPerSecond(): number {
    return this.readPerSecond;
  }

  /**
   * Estimates how many tokens of a prompt the server keeps: those of the leading segments that this
   * entry sent, and a fraction of those of the other shared segments, which other entries send.
   *
   * @param room - Tokens that the running requests leave to kept prompts; Infinity if unknown.
   */
  countKept(
    {model, segments}: KeptPrompt,
    othersFraction: number,
    room: number,
    now: number,
  ): number {
    const read = this.countRead(now);
    const othersShare = othersFraction * this.estimateConfidence(room, now);
    let tokens = 0;
    let isSent = true;
    segments.forEach((segment, index) => {
      const kept = isSent
        ? this.segments.get(buildKey(model, segment.id))
        : undefined;
      isSent =
        kept !== undefined &&
        now - kept.usedAt < KEPT_MS &&
        read - kept.readBefore <= room;
      const isShared = index < segments.length - 1;
      if (isSent) tokens += segment.tokens;
      else if (isShared) tokens += segment.tokens * othersShare;
    });
    return tokens;
  }

  /**
   * Estimates the fraction of the tokens read now that pushes out segments which would still have been
   * used.
   */
  estimateDisplacement(room: number): number {
    if (room === Infinity || this.readPerSecond <= 0) return 0;
    const lifetimeMs = (Math.max(0, room) * MS_PER_SECOND) / this.readPerSecond;
    return Math.max(0, 1 - lifetimeMs / REUSE_MS);
  }

  /** Estimates how far what other entries sent is still kept, between 0 and 1. */
  private estimateConfidence(room: number, now: number): number {
    if (room === Infinity) return 1;
    if (room <= 0) return 0;
    const filled = Math.min(1, (now - this.emptySince) / FILL_MS);
    return filled * (1 - this.estimateDisplacement(room));
  }

  private countRead(now: number): number {
    const sinceMs = now - this.countedAt;
    return this.readTokens + (this.othersPerSecond * sinceMs) / MS_PER_SECOND;
  }

  private updateRate(): void {
    const ownPerSecond =
      (this.recentRead.value * MS_PER_SECOND) / READ_LIFETIME_MS;
    this.readPerSecond = ownPerSecond + this.othersPerSecond;
  }

  private expireSegments(now: number): void {
    for (const [key, {usedAt}] of this.segments) {
      if (now - usedAt < KEPT_MS) break;
      this.segments.delete(key);
    }
    evictOldest(this.segments, MAX_SEGMENTS);
  }
}

function buildKey(model: string, id: string): string {
  return `${model} ${id}`;
}
