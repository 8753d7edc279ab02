import {AddressInfo, Server, Socket, connect, createServer} from 'node:net';

/** Forwards TCP connections to a local port and counts the bytes in both directions. @internal */
export class CountingRelay {
  bytes = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(private readonly targetPort: () => number) {
    this.server = createServer(socket => this.forward(socket));
  }

  /** Starts listening on the loopback address and returns the port. */
  async start(): Promise<number> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Closes every connection and stops listening. */
  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private forward(inbound: Socket): void {
    const outbound = connect(this.targetPort(), '127.0.0.1');
    for (const [from, to] of [
      [inbound, outbound],
      [outbound, inbound],
    ] as const) {
      this.sockets.add(from);
      from.setNoDelay(true);
      from.on('data', (chunk: Buffer) => {
        this.bytes += chunk.length;
        to.write(chunk);
      });
      from.on('error', () => {});
      from.on('close', () => {
        this.sockets.delete(from);
        to.destroy();
      });
    }
  }
}
