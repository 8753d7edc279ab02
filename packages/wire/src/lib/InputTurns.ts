import type {IncomingMessage} from 'node:http';
import {getBodyFlow} from './BodyFlow.js';

/**
 * Lets one of the bodies that are costly to parse be read on in each turn of the event loop. It answers many
 * bodies in very small chunks: each costs a call whatever its size, and the other connections have to be
 * read between them.
 *
 * @internal
 */
export class InputTurns {
  /** The one that has waited longest first. */
  private readonly waiting = new Set<IncomingMessage>();
  private isScheduled = false;

  /** Pauses a body until its turn. */
  wait(message: IncomingMessage): void {
    getBodyFlow(message).pause('turn');
    this.waiting.add(message);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.startTurn());
  }

  private startTurn(): void {
    this.isScheduled = false;
    for (const message of this.waiting) {
      this.waiting.delete(message);
      if (message.socket.destroyed) continue;
      getBodyFlow(message).resume('turn');
      break;
    }
    if (this.waiting.size > 0) this.schedule();
  }
}
