import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import type {AddressInfo} from 'node:net';

const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** Answers one HTTP request of a stand-in. @public */
export type StandInHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => void | Promise<void>;

/** The HTTP server of a stand-in, which listens on the loopback address. @public */
export class StandInServer {
  private readonly server: Server;

  constructor(handler: StandInHandler) {
    this.server = createServer(async (request, response) => {
      try {
        await handler(request, response, await readText(request));
      } catch (error) {
        if (!response.headersSent) response.writeHead(500);
        response.end(String(error));
      }
    });
    this.server.keepAliveTimeout = 60_000;
  }

  /** Starts to listen and returns the base URL. */
  async start(port = 0): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, '127.0.0.1', resolve);
    });
    const address = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${address.port}`;
  }

  /** Closes every connection and stops. */
  async stop(): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += chunk.length;
    if (size > MAX_BODY_BYTES) throw new Error('body too large');
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Sends a JSON answer. @public */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}
