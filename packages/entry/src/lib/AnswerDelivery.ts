import {SycamoreheadError} from '@sycamorehead/schema';
import type {AnswerFrame} from './AnswerFrame.js';
import type {ChatTask, PlannedAnswer} from './answerTypes.js';
import {
  formatChunk,
  formatCompletion,
  formatEventStream,
} from './formatAnswer.js';
import {sleepUnlessAborted} from './sleepUnlessAborted.js';

/** Commits the bill of a complete answer. @public */
export type BillCommit = (text: string, last: AnswerFrame) => Promise<void>;

/**
 * Sends one planned answer to its caller, as a stream or as one response. The bill is committed
 * before the terminal frame is sent. Frames are read only as fast as the caller's connection
 * accepts them, so that a slow caller occupies at most one socket buffer.
 *
 * @public
 */
export class AnswerDelivery {
  private text = '';
  private firstTokenListener: (() => void) | undefined;

  constructor(
    private readonly task: ChatTask,
    private readonly answer: PlannedAnswer,
    /** Time after which a caller that reads nothing is disconnected, in milliseconds. */
    private readonly stallTimeoutMs: number,
  ) {}

  /** Calls the listener once, before the first frame is sent. */
  observeFirstToken(listener: () => void): void {
    this.firstTokenListener = listener;
  }

  /** Sends the whole answer. */
  async send(commitBill: BillCommit): Promise<void> {
    let last: AnswerFrame | undefined;
    for await (const frame of this.answer.stream()) {
      this.handleFirstFrame(last === undefined);
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

  private handleFirstFrame(isFirst: boolean): void {
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
    this.ensureHeadersSent();
    const {requestId} = this.task.routed;
    const chunk = formatChunk(requestId, this.answer.version.model, last);
    exchange.response.end(formatEventStream([chunk]));
  }

  private async sendFrame(frame: AnswerFrame): Promise<void> {
    const {response, callerDisconnected} = this.task.exchange;
    if (callerDisconnected.aborted) return;
    this.ensureHeadersSent();
    const {requestId} = this.task.routed;
    const chunk = formatChunk(requestId, this.answer.version.model, frame);
    if (response.write(`data: ${JSON.stringify(chunk)}\n\n`)) return;
    await this.waitUntilDrained();
  }

  private ensureHeadersSent(): void {
    const {response} = this.task.exchange;
    if (response.headersSent) return;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
    });
  }

  /** Waits until the caller has read the sent data. A caller that reads nothing is disconnected. */
  private async waitUntilDrained(): Promise<void> {
    const {response, callerDisconnected} = this.task.exchange;
    const drained = new AbortController();
    const finish = () => drained.abort();
    response.once('drain', finish);
    callerDisconnected.addEventListener('abort', finish, {once: true});
    await sleepUnlessAborted(this.stallTimeoutMs, drained.signal);
    response.off('drain', finish);
    callerDisconnected.removeEventListener('abort', finish);
    if (!drained.signal.aborted) response.destroy();
  }
}
