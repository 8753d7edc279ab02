import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {ClientLimits, startListening} from '@sycamorehead/wire';
import {SycamoreheadError, toSycamoreheadError} from '@sycamorehead/schema';
import {TlsMaterial, createLogger} from '@sycamorehead/telemetry';
import {HttpExchange, TARGET_BASE} from './HttpExchange.js';

const log = createLogger('http');

const MAX_HEADER_BYTES = 16 * 1024;
const HEAD_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const IDLE_SWEEP_INTERVAL_MS = 50;

/** Serves one exchange. A thrown error is sent as the response. @public */
export type RouteHandler = (exchange: HttpExchange) => Promise<void> | void;

/** One row of the route table. The first row that matches handles the request. @public */
export interface Route {
  /** Absent if the route accepts any method. */
  readonly method?: string;
  readonly path: RegExp;
  readonly handler: RouteHandler;
}

/** The HTTP server of an entry, which dispatches requests according to a route table. @public */
export class EntryServer {
  private readonly server: Server;

  constructor(
    private readonly routes: readonly Route[],
    private readonly clientLimits: ClientLimits,
    tls?: TlsMaterial,
  ) {
    const limits = {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEAD_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
    };
    const handle = (request: IncomingMessage, response: ServerResponse) =>
      void this.serveRequest(request, response);
    this.server = tls
      ? createTlsServer(
          {...limits, ...tls, handshakeTimeout: HEAD_TIMEOUT_MS},
          handle,
        )
      : createServer(limits, handle);
    // Otherwise node:http drops headers beyond a number without an error.
    this.server.maxHeadersCount = 0;
    clientLimits.limitServer(this.server);
  }

  /** Starts to listen and returns the port. */
  start(host: string, port: number): Promise<number> {
    return startListening(this.server, host, port);
  }

  /** Waits until open exchanges have finished and stops. */
  async stop(): Promise<void> {
    // A connection that becomes idle after the server was closed would otherwise stay open.
    const sweep = setInterval(
      () => this.server.closeIdleConnections(),
      IDLE_SWEEP_INTERVAL_MS,
    );
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
    clearInterval(sweep);
  }

  private async serveRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.socket.destroyed) return;
    if (!URL.canParse(request.url ?? '/', TARGET_BASE)) {
      response.writeHead(400, {'content-length': 0}).end();
      return;
    }
    const exchange = new HttpExchange(request, response, this.clientLimits);
    try {
      this.clientLimits.heads.check(request);
      await this.findHandler(exchange)(exchange);
    } catch (thrown) {
      const error = toSycamoreheadError(thrown);
      log('request_failed', {
        request: exchange.requestId,
        kind: error.kind,
        ran: error.ran,
        message: error.message,
      });
      exchange.sendError(error);
    }
  }

  private findHandler({request, url}: HttpExchange): RouteHandler {
    const matching = this.routes.filter(({path}) => path.test(url.pathname));
    if (matching.length === 0) {
      throw new SycamoreheadError('not_found', `${url.pathname} is not served`);
    }
    const route = matching.find(
      ({method}) => !method || method === request.method,
    );
    if (route) return route.handler;
    throw new SycamoreheadError(
      'method_not_allowed',
      `${url.pathname}: expected ${matching.map(({method}) => method).join(' or ')}`,
    );
  }
}
