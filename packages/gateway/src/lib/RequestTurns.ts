import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

interface Turn {
  readonly response: ServerResponse;
  start(mayServe: boolean): void;
}

/**
 * Lets the requests that a client sends one behind the other on one connection be served in turn. It
 * answers clients that send many and do not read: one connection has one answer under way.
 *
 * @internal
 */
export class RequestTurns {
  private readonly turns = new WeakMap<Socket, Turn[]>();

  /**
   * Waits until the answers before this one have been handed over.
   *
   * @returns whether the request is to be served; its connection may have been closed.
   * @example
   * ```ts
   * if (await turns.wait(response)) serve(request);
   * ```
   */
  wait(response: ServerResponse): Promise<boolean> {
    const {socket} = response.req;
    const turns = this.ensureTurns(socket);
    return new Promise(resolve => {
      turns.push({response, start: resolve});
      response.once('close', () => finishTurn(turns, response));
      if (turns.length === 1) resolve(!socket.destroyed);
    });
  }

  private ensureTurns(socket: Socket): Turn[] {
    const known = this.turns.get(socket);
    if (known) return known;
    const turns: Turn[] = [];
    this.turns.set(socket, turns);
    socket.once('close', () => {
      for (const turn of turns.splice(0)) turn.start(false);
    });
    return turns;
  }
}

/** Ends the turn of an answer, and starts the next one if it was the first. */
function finishTurn(turns: Turn[], response: ServerResponse): void {
  const index = turns.findIndex(turn => turn.response === response);
  if (index < 0) return;
  turns.splice(index, 1);
  if (index === 0) turns[0]?.start(true);
}
