import type {AddressInfo, Server} from 'node:net';

/**
 * Starts a server on an address and waits until it listens.
 *
 * @param port The port to listen on; 0 selects any free port.
 * @returns the port number.
 * @example
 * ```ts
 * const port = await startListening(createServer(), '127.0.0.1', 0);
 * ```
 * @public
 */
export async function startListening(
  server: Server,
  host: string,
  port: number,
): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
  return (server.address() as AddressInfo).port;
}
