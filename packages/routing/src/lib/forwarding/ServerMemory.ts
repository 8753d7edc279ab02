import type {RequestSize} from './AnswerValues.js';
import {KeptPrompts, OTHERS_EXPIRY_MS} from './KeptPrompts.js';

/** Age of what is known of the other entries' sends, in milliseconds. */
const REPORT_AGE_MS = 400;
const MS_PER_SECOND = 1_000;

/**
 * Counts the tokens that a request needs in the memory of its server until its end.
 *
 * @example
 * ```ts
 * countNeededTokens({promptTokens: 1_460, answerTokens: 80}); // 1_540
 * ```
 * @public
 */
export function countNeededTokens(size: RequestSize): number {
  return size.promptTokens + size.answerTokens;
}

/**
 * The memory of one server: what its running requests need to their end, and what it is believed to
 * keep of prompts in the rest. A capacity of 0 is unknown.
 *
 * @public
 */
export class ServerMemory {
  readonly kept: KeptPrompts;
  private ownHeld = 0;
  private othersHeld = 0;
  private othersAt = -Infinity;

  /**
   * @param ageMs - Time since the server started, in milliseconds.
   */
  constructor(ageMs: number) {
    this.kept = new KeptPrompts(ageMs);
  }

  // Commands.

  /** Records a request of this entry that needs so many tokens to its end. */
  reserve(tokens: number): void {
    this.ownHeld += tokens;
  }

  /** Records the end of a request of this entry. */
  release(tokens: number): void {
    this.ownHeld = Math.max(0, this.ownHeld - tokens);
  }

  /** Sets the tokens that requests of other entries need. */
  setOthersHeld(tokens: number, now = performance.now()): void {
    this.othersHeld = Number.isFinite(tokens) ? Math.max(0, tokens) : 0;
    this.othersAt = now;
  }

  // Queries.

  /** Tokens that the requests of this entry need to their end. */
  get ownTokens(): number {
    return this.ownHeld;
  }

  /** Counts the tokens that running requests need to their end, of all entries. */
  countHeld(now: number): number {
    const isFresh = now - this.othersAt < OTHERS_EXPIRY_MS;
    return this.ownHeld + (isFresh ? this.othersHeld : 0);
  }

  /** Counts the tokens that running requests leave of a capacity; Infinity if it is unknown. */
  countRoom(capacity: number, now: number): number {
    return capacity > 0 ? capacity - this.countHeld(now) : Infinity;
  }

  /**
   * Returns whether a request fits beside the running ones and those that other entries may have sent
   * meanwhile, so that the engine need not preempt any.
   */
  hasRoom(capacity: number, tokens: number, now: number): boolean {
    const rate = this.kept.computeReadRate(now);
    const unseen = (rate * REPORT_AGE_MS) / MS_PER_SECOND;
    return tokens + unseen <= this.countRoom(capacity, now);
  }
}
