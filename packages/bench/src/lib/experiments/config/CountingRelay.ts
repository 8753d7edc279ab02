import {AddressInfo, Server, Socket, connect, createServer} from 'node:net';
import type {PeerAddress} from '@sycamorehead/wire';

const HOST = '127.0.0.1';

/**
 * Forwards TCP connections to one address and counts the bytes in both directions.
 *
 * @internal
 */
export class CountingRelay {
  bytes = 0;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(target: PeerAddress) {
    this.server = createServer(caller => {
      const callee = connect(target);
      this.forward(caller, callee);
      this.forward(callee, caller);
    });
  }

  /** Starts to listen and returns the address of the relay. */
  async start(): Promise<PeerAddress> {
    await new Promise<void>(resolve => this.server.listen(0, HOST, resolve));
    return {host: HOST, port: (this.server.address() as AddressInfo).port};
  }

  /** Closes every connection and stops listening. */
  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private forward(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    from.on('data', chunk => {
      this.bytes += chunk.length;
      to.write(chunk);
    });
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
