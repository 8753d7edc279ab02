import type {AddressInfo, Server} from 'node:net';

/**
 * Lets a server listen on an address.
 *
 * @param port 0 takes any free port.
 * @returns the port.
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
