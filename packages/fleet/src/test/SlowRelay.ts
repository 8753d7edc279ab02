import {Server, Socket, connect, createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

const PIECE_BYTES = 8 * 1024;
/** Lateness of timers that is made up for, in milliseconds. */
const MAX_LATE_MS = 100;

/** Relays connections to a port, and passes what the port sends on at a limited rate. */
export class SlowRelay {
  /** While set, nothing that the port sends is passed on. */
  isStalled = false;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(
    private readonly targetPort: number,
    private readonly bytesPerMs: number,
  ) {
    this.server = createServer(socket => this.accept(socket));
  }

  /** Starts to listen and returns the address. */
  async start(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const address = this.server.address();
    if (address === null || typeof address === 'string') {
      throw new Error('the relay has no port');
    }
    return `127.0.0.1:${address.port}`;
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(near: Socket): void {
    const far = connect(this.targetPort, '127.0.0.1');
    for (const socket of [near, far]) {
      this.sockets.add(socket);
      socket.on('error', () => socket.destroy());
      socket.on('close', () => {
        near.destroy();
        far.destroy();
      });
    }
    near.on('data', chunk => far.write(chunk));
    this.forward(far, near).catch(() => near.destroy());
  }

  private async forward(from: Socket, to: Socket): Promise<void> {
    let freeAt = 0;
    for await (const chunk of from as AsyncIterable<Buffer>) {
      for (let offset = 0; offset < chunk.length; offset += PIECE_BYTES) {
        while (this.isStalled && !to.destroyed) await sleep(10);
        const piece = chunk.subarray(offset, offset + PIECE_BYTES);
        to.write(piece);
        // Counted from when the link was free, so that late timers don't make it slower.
        const now = performance.now();
        freeAt =
          Math.max(freeAt, now - MAX_LATE_MS) + piece.length / this.bytesPerMs;
        if (freeAt > now) await sleep(freeAt - now);
      }
    }
    to.end();
  }
}
