import {SycamoreheadError} from '@sycamorehead/schema';
import type {AnswerFrame} from './AnswerFrame.js';
import type {ChatTask, PlannedAnswer} from './answerTypes.js';
import {
  formatChunk,
  formatCompletion,
  formatEventStream,
} from './formatAnswer.js';
import {sleepUnlessAborted} from './sleepUnlessAborted.js';

/** Commits the bill of a whole answer. @public */
export type BillCommit = (text: string, last: AnswerFrame) => Promise<void>;

/**
 * Sends one planned answer to its caller, streamed or whole. The bill is committed before the
 * terminal frame is released. No more frames are taken than the caller's connection takes, so a
 * slow caller holds at most one socket buffer of its answer.
 *
 * @public
 */
export class AnswerDelivery {
  private text = '';
  private firstTokenListener: (() => void) | undefined;

  constructor(
    private readonly task: ChatTask,
    private readonly answer: PlannedAnswer,
    /** Time for which a caller may take nothing, in milliseconds. */
    private readonly stallMs: number,
  ) {}

  /** Calls the listener once, before the first frame is sent. */
  observeFirstToken(listener: () => void): void {
    this.firstTokenListener = listener;
  }

  /** Sends the whole answer. */
  async send(commitBill: BillCommit): Promise<void> {
    let last: AnswerFrame | undefined;
    for await (const frame of this.answer.stream()) {
      this.noteFirstFrame(last === undefined);
      this.text += frame.text;
      last = frame;
      if (frame.finishReason) break;
      if (this.task.chat.stream) await this.sendFrame(frame);
    }
    if (!last?.finishReason) {
      throw new SycamoreheadError('incomplete_answer', 'no terminal frame');
    }
    await commitBill(this.text, last);
    await this.finish(last);
  }

  private noteFirstFrame(isFirst: boolean): void {
    if (!isFirst) return;
    const {version, revision} = this.answer;
    this.task.exchange.setOrigin(version, revision);
    this.firstTokenListener?.();
  }

  private async finish(last: AnswerFrame): Promise<void> {
    const {exchange, chat} = this.task;
    if (!chat.stream) {
      const completion = formatCompletion(
        this.task.routed.requestId,
        this.answer.version.model,
        this.text,
        last,
      );
      exchange.sendJson(200, completion);
      return;
    }
    this.ensureHead();
    const {requestId} = this.task.routed;
    const chunk = formatChunk(requestId, this.answer.version.model, last);
    exchange.response.end(formatEventStream([chunk]));
  }

  private async sendFrame(frame: AnswerFrame): Promise<void> {
    const {response, callerDisconnected: callerGone} = this.task.exchange;
    if (callerGone.aborted) return;
    this.ensureHead();
    const {requestId} = this.task.routed;
    const chunk = formatChunk(requestId, this.answer.version.model, frame);
    if (response.write(`data: ${JSON.stringify(chunk)}\n\n`)) return;
    await this.waitUntilDrained();
  }

  private ensureHead(): void {
    const {response} = this.task.exchange;
    if (response.headersSent) return;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
    });
  }

  /** Waits until the caller has taken what was sent; a caller that takes nothing is cut off. */
  private async waitUntilDrained(): Promise<void> {
    const {response, callerDisconnected: callerGone} = this.task.exchange;
    const drained = new AbortController();
    const finish = () => drained.abort();
    response.once('drain', finish);
    callerGone.addEventListener('abort', finish, {once: true});
    await sleepUnlessAborted(this.stallMs, drained.signal);
    response.off('drain', finish);
    callerGone.removeEventListener('abort', finish);
    if (!drained.signal.aborted) response.destroy();
  }
}
