import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {CallerAnswer} from './CallerAnswer.js';

/** Bytes of one connection that count as waiting for the link; a caller that does not read has more. */
const MAX_QUEUED_BYTES = 64 * 1024;

/**
 * The answers that are still owed to callers: those to requests being served, and those whose last
 * bytes the operating system has not taken yet because the caller reads slowly.
 *
 * @internal
 */
export class OpenAnswers {
  private readonly bySocket = new Map<Socket, Set<CallerAnswer>>();
  /** The bytes of each connection that had been taken at the last count. */
  private readonly sentBytes = new WeakMap<Socket, number>();

  /** Number of owed answers. */
  get count(): number {
    let count = 0;
    for (const answers of this.bySocket.values()) count += answers.size;
    return count;
  }

  /** Adds an answer until it has been handed over completely or its connection is closed. */
  add(response: ServerResponse, answer: CallerAnswer): void {
    const {socket} = response.req;
    if (socket.destroyed) return;
    const answers = this.ensureSocket(socket);
    answers.add(answer);
    response.once('finish', () => answers.delete(answer));
  }

  /**
   * Counts the bytes that wait to be sent to callers who read: connections of which nothing was taken
   * since the last count are left out.
   */
  countQueuedBytes(): number {
    let bytes = 0;
    for (const socket of this.bySocket.keys()) {
      const {writableLength} = socket;
      const sentBytes = socket.bytesWritten - writableLength;
      const isRead = sentBytes !== this.sentBytes.get(socket);
      this.sentBytes.set(socket, sentBytes);
      if (isRead) bytes += Math.min(MAX_QUEUED_BYTES, writableLength);
    }
    return bytes;
  }

  /** Lists the owed answers. */
  list(): CallerAnswer[] {
    return [...this.bySocket.values()].flatMap(answers => [...answers]);
  }

  private ensureSocket(socket: Socket): Set<CallerAnswer> {
    const known = this.bySocket.get(socket);
    if (known) return known;
    const answers = new Set<CallerAnswer>();
    this.bySocket.set(socket, answers);
    socket.once('close', () => this.bySocket.delete(socket));
    return answers;
  }
}
