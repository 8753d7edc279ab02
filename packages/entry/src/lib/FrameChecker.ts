import {ChatChunk, SycamoreheadError} from '@sycamorehead/schema';
import type {AnswerFrame} from './AnswerFrame.js';
import {isAttemptId} from './isAttemptId.js';

/**
 * Checks that the frames of one attempt belong to it and continue the answer. Frames that repeat
 * tokens or belong to another attempt are dropped; a gap fails the attempt.
 *
 * @public
 */
export class FrameChecker {
  /** Number of frames dropped so far. */
  dropped = 0;
  private streamId: string | undefined;
  private readonly isResumed: boolean;

  /**
   * @param attemptId Id of the attempt, `request.number`.
   * @param offset Number of tokens of the answer that earlier attempts delivered.
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
   * Returns the frame that a chunk adds to the answer, or undefined if the chunk is dropped.
   *
   * @throws SycamoreheadError `incomplete_answer` if tokens are missing before the chunk.
   */
  check(chunk: ChatChunk): AnswerFrame | undefined {
    if (!this.isFromAttempt(chunk)) return this.drop();
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

  /**
   * Returns whether a chunk belongs to this attempt: its id is either that of the attempt, or one
   * that the engine has assigned. The first frame decides which of them is the same in every frame.
   */
  private isFromAttempt({id}: ChatChunk): boolean {
    const [request = ''] = this.attemptId.split('.');
    const isOurs = id.startsWith(`${request}.`) || isAttemptId(id);
    if (isOurs && id !== this.attemptId) return false;
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
