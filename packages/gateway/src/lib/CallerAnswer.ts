import type {ServerResponse} from 'node:http';
import {SycamoreheadError, getErrorResponse} from '@sycamorehead/schema';
import type {UnreadAnswers} from '@sycamorehead/wire';

const MS_PER_SECOND = 1_000;

/**
 * The answer to one caller's request; at most one answer is sent.
 *
 * @public
 */
export class CallerAnswer {
  /** Aborted if the caller disconnects before its answer is complete. */
  readonly disconnected: AbortSignal;
  private readonly controller = new AbortController();
  private readonly stopController = new AbortController();
  private status = 0;
  /** When the first and the last bytes were written, on the monotonic clock. */
  private firstWriteAt: number | undefined;
  private lastWriteAt = 0;
  private longestGapMs = 0;

  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: {name: string; value: string},
    /** Returns whether the connection is to be closed after this answer. */
    private readonly shouldClose: () => boolean,
    private readonly unread?: UnreadAnswers,
  ) {
    this.disconnected = this.controller.signal;
    response.sendDate = false;
    response.on('close', () => {
      if (!response.writableFinished) this.controller.abort();
    });
    // A reset by the caller is also reported as 'close'.
    response.on('error', () => this.controller.abort());
  }

  /** Whether the head has been sent; after that only the body can follow. */
  get isBegun(): boolean {
    return this.status !== 0;
  }

  /** The status sent, or 0. */
  get sentStatus(): number {
    return this.status;
  }

  /** When the first bytes of the body were written, on the monotonic clock. */
  get firstBytesAt(): number | undefined {
    return this.firstWriteAt;
  }

  /** The longest pause between two writes of the body, in milliseconds. */
  get longestPauseMs(): number {
    return this.longestGapMs;
  }

  /** Whether the entry has stopped to wait for the answer. */
  get isStopped(): boolean {
    return this.stopController.signal.aborted;
  }

  /** Calls the listener when the caller disconnects or the entry stops to wait for the answer. */
  addAbortListener(listener: () => void): void {
    for (const {signal} of [this.controller, this.stopController]) {
      signal.addEventListener('abort', listener, {once: true});
    }
  }

  /** Stops the work on the answer, which is then failed. */
  stop(): void {
    this.stopController.abort();
  }

  /** Sends a complete answer. */
  sendComplete(status: number, headers: readonly string[], body: Buffer): void {
    if (this.isBegun || this.disconnected.aborted) return;
    const length = ['Content-Length', String(body.length)];
    this.writeHead(status, [...headers, ...length]);
    this.recordWrite();
    this.unread?.add(this.response, body.length);
    this.response.end(body);
  }

  /** Begins an answer of unknown length. */
  begin(status: number, headers: readonly string[]): void {
    if (this.isBegun || this.disconnected.aborted) return;
    this.writeHead(status, headers);
  }

  /** Sends a chunk of the body and resolves once the caller can receive more. */
  async write(bytes: Buffer): Promise<void> {
    this.recordWrite();
    if (this.disconnected.aborted || this.response.write(bytes)) return;
    this.unread?.add(this.response, bytes.length);
    await new Promise<void>(resolve => {
      const finish = () => {
        this.response.off('drain', finish);
        this.disconnected.removeEventListener('abort', finish);
        resolve();
      };
      this.response.on('drain', finish);
      this.disconnected.addEventListener('abort', finish);
    });
  }

  /** Ends an answer whose whole body has been written. */
  finish(): void {
    if (!this.disconnected.aborted) this.response.end();
  }

  /** Sends an error, or aborts an answer that has begun so that it does not look complete. */
  fail(error: SycamoreheadError): void {
    if (this.disconnected.aborted) return;
    if (this.isBegun) {
      this.abortBody();
      return;
    }
    const {status} = getErrorResponse(error.kind);
    const body = Buffer.from(JSON.stringify({error: error.toBody()}));
    const headers = [
      this.requestId.name,
      this.requestId.value,
      'Content-Type',
      'application/json',
    ];
    const promisesNotRun = status === 503 || status === 429;
    if (promisesNotRun && error.retryAfterMs !== undefined) {
      const seconds = (error.retryAfterMs / MS_PER_SECOND).toFixed(3);
      headers.push('Retry-After', seconds);
    }
    this.sendComplete(status, headers, body);
  }

  private abortBody(): void {
    const {response} = this;
    const {socket} = response;
    // A body without chunks ends with its connection, so a close in order would look complete.
    if (response.chunkedEncoding || !socket) response.destroy();
    else socket.resetAndDestroy();
  }

  private recordWrite(): void {
    const now = performance.now();
    if (this.firstWriteAt !== undefined) {
      this.longestGapMs = Math.max(this.longestGapMs, now - this.lastWriteAt);
    }
    this.firstWriteAt ??= now;
    this.lastWriteAt = now;
  }

  private writeHead(status: number, headers: readonly string[]): void {
    if (this.shouldClose()) this.response.shouldKeepAlive = false;
    // Throws on a head that cannot be sent; the answer has then not begun.
    this.response.writeHead(status, headers as string[]);
    this.status = status;
  }
}
