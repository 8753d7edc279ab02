import {IncomingMessage, Server, ServerResponse, createServer} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {startListening} from '@sycamorehead/wire';
import {SycamoreheadError, toSycamoreheadError} from '@sycamorehead/schema';
import {TlsMaterial, createLogger} from '@sycamorehead/telemetry';
import {HttpExchange} from './HttpExchange.js';

const log = createLogger('http');

const MAX_HEADER_BYTES = 16 * 1024;
const HEAD_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const IDLE_SWEEP_MS = 50;

/** Serves one exchange; what it throws is sent as the answer. @public */
export type RouteHandler = (exchange: HttpExchange) => Promise<void> | void;

/** One row of the route table; the first row that matches serves. @public */
export interface Route {
  /** Absent for any method. */
  readonly method?: string;
  readonly path: RegExp;
  readonly handler: RouteHandler;
}

/** The HTTP side of an entry: a route table over Node's server. @public */
export class EntryServer {
  private readonly server: Server;

  constructor(
    private readonly routes: readonly Route[],
    tls?: TlsMaterial,
  ) {
    const limits = {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEAD_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
    };
    const handle = (request: IncomingMessage, response: ServerResponse) =>
      void this.answer(request, response);
    this.server = tls
      ? createTlsServer({...limits, ...tls}, handle)
      : createServer(limits, handle);
  }

  /** Starts to listen and returns the port. */
  start(host: string, port: number): Promise<number> {
    return startListening(this.server, host, port);
  }

  /** Lets open exchanges finish and stops. */
  async stop(): Promise<void> {
    // A connection whose last answer ends after this call would otherwise stay open while idle.
    const sweep = setInterval(
      () => this.server.closeIdleConnections(),
      IDLE_SWEEP_MS,
    );
    await new Promise<void>(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
    clearInterval(sweep);
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const exchange = new HttpExchange(request, response);
    try {
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
