import type {Socket} from 'node:net';

/**
 * Reports a connection from which more bytes are read than a limit allows. A server that sends
 * without end would otherwise occupy the process, even if none of its bytes is kept.
 *
 * @internal
 */
export class ReadLimit {
  private startBytes: number;
  private isStopped = false;

  constructor(
    private readonly socket: Socket,
    private readonly maxBytes: number,
    private readonly onExceeded: () => void,
  ) {
    this.startBytes = socket.bytesRead;
    socket.on('data', this.check);
  }

  /** Starts to count anew. */
  restart(): void {
    this.startBytes = this.socket.bytesRead;
  }

  /** Stops counting. */
  stop(): void {
    this.isStopped = true;
    this.socket.off('data', this.check);
  }

  private readonly check = (): void => {
    // A listener that is removed while an event is emitted is still called for it.
    if (this.isStopped) return;
    if (this.socket.bytesRead - this.startBytes <= this.maxBytes) return;
    this.stop();
    this.onExceeded();
  };
}
