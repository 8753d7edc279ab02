import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {CallerAnswer} from './CallerAnswer.js';

/**
 * The answers that are still owed to callers: those to requests being served, and those whose last
 * bytes the operating system has not taken yet because the caller reads slowly.
 *
 * @internal
 */
export class OpenAnswers {
  private readonly bySocket = new Map<Socket, Set<CallerAnswer>>();

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
