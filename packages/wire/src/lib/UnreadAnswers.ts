import type {ServerResponse} from 'node:http';
import type {ClientRefusal} from './HeldBytes.js';

/**
 * The account of answers that the operating system has not taken yet because their clients read slowly. It
 * answers many clients that ask for long answers and do not read them: above the limit, the connection of
 * the answer that has waited longest is closed.
 *
 * @public
 */
export class UnreadAnswers {
  /** Bytes of each answer, the one that has waited longest first. */
  private readonly answers = new Map<ServerResponse, number>();
  private readonly watched = new WeakSet<ServerResponse>();
  private total = 0;

  constructor(
    private readonly maxBytes: number,
    private readonly onRefusal: (refusal: ClientRefusal) => void,
  ) {}

  // Commands.

  /** Counts bytes that are about to be written, until the operating system has taken them. */
  add(response: ServerResponse, bytes: number): void {
    if (response.destroyed || response.req.socket.destroyed) return;
    this.watch(response);
    this.answers.set(response, (this.answers.get(response) ?? 0) + bytes);
    this.total += bytes;
    for (const oldest of this.answers.keys()) {
      // A single answer may be larger than the limit.
      if (this.total <= this.maxBytes || this.answers.size === 1) return;
      this.onRefusal('answers_unread');
      this.release(oldest);
      oldest.req.socket.destroy();
    }
  }

  // Queries.

  /** Bytes of all answers. */
  get totalBytes(): number {
    return this.total;
  }

  private watch(response: ServerResponse): void {
    if (this.watched.has(response)) return;
    this.watched.add(response);
    const release = () => this.release(response);
    for (const event of ['drain', 'finish', 'close']) {
      response.on(event, release);
    }
    // A response that waits for an earlier one has no event of its own when its connection is closed.
    const {socket} = response.req;
    socket.once('close', release);
    response.once('close', () => socket.off('close', release));
  }

  private release(response: ServerResponse): void {
    this.total -= this.answers.get(response) ?? 0;
    this.answers.delete(response);
  }
}
