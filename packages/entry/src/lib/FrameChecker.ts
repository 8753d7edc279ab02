import {ChatChunk, SycamoreheadError} from '@sycamorehead/schema';
import type {AnswerFrame} from './AnswerFrame.js';

/**
 * Checks that the frames of one attempt are its own and continue the answer: what repeats tokens
 * or belongs to another attempt is dropped, a gap ends the attempt.
 *
 * @public
 */
export class FrameChecker {
  /** Frames dropped so far. */
  dropped = 0;
  private streamId: string | undefined;
  private readonly isResumed: boolean;

  /**
   * @param attemptId Name of the attempt, `request.number`.
   * @param offset Tokens of the answer that earlier attempts delivered.
   */
  constructor(
    private readonly attemptId: string,
    private offset: number,
  ) {
    this.isResumed = offset > 0;
  }

  /** Tokens of the answer delivered by this attempt and the earlier ones. */
  getOffset(): number {
    return this.offset;
  }

  /**
   * Returns the frame that a chunk adds to the answer, or nothing where it is dropped.
   *
   * @throws SycamoreheadError `incomplete_answer` where tokens are missing before the chunk.
   */
  check(chunk: ChatChunk): AnswerFrame | undefined {
    if (!this.isOwn(chunk)) return this.drop();
    const choice = chunk.choices[0];
    const text = choice?.delta.content ?? '';
    const finishReason = choice?.finish_reason ?? null;
    const tokens = chunk.tokens ?? (text === '' && !chunk.offset ? 0 : 1);
    const end = this.readEnd(chunk, tokens);
    const start = end - tokens;
    const isRepeat = end < this.offset || (end === this.offset && tokens > 0);
    if (isRepeat) return this.drop();
    if (start !== this.offset) {
      throw new SycamoreheadError(
        'incomplete_answer',
        `expected the frame at offset ${this.offset}, found ${start}`,
      );
    }
    this.offset = end;
    return {text, finishReason, usage: chunk.usage};
  }

  /** A stream's id is that of its attempt, or the engine's own, the same in every frame. */
  private isOwn({id}: ChatChunk): boolean {
    const [request = ''] = this.attemptId.split('.');
    const isNamedByUs = id.startsWith(`${request}.`);
    if (isNamedByUs) return id === this.attemptId;
    this.streamId ??= id;
    return id === this.streamId;
  }

  private readEnd(chunk: ChatChunk, tokens: number): number {
    if (typeof chunk.offset === 'number') return chunk.offset;
    if (!this.isResumed) return this.offset + tokens;
    throw new SycamoreheadError(
      'incomplete_answer',
      'the resumed stream does not number its frames',
    );
  }

  private drop(): undefined {
    this.dropped += 1;
    return undefined;
  }
}
