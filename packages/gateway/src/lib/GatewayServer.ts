import http from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {CallerLimits} from '@sycamorehead/schema';
import {
  DEFAULT_CALLER_LIMITS,
  SycamoreheadError,
  getErrorResponse,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import {CallerAnswer} from './CallerAnswer.js';
import {CallerRequest, decodeRequest} from './CallerRequest.js';
import type {HeaderNames} from './headerNames.js';
import {readBody} from './readBody.js';

const log = createLogger('gateway');

/** Largest head that the parser takes; the configured limit may be lower. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Time between looks for slow callers, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Time in which bytes that have arrived are read, in milliseconds. */
const UNREAD_GRACE_MS = 20;
/** What node:http calls a head that was not complete in time. */
const HEAD_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';
const MAX_BACKLOG = 1_024;
const IDLE_POLL_MS = 50;
/** Time after a stop begins in which new requests are still served, in milliseconds: until the
 * balancer, which asks once a second and believes the second refusal, has sent callers elsewhere. */
const STILL_SERVED_MS = 2_600;
/** Time without a request after which a stopping server counts as idle, in milliseconds. */
const QUIET_MS = 3_000;
/** Advice to callers whose kept connection outlives that, in milliseconds. */
const STOPPING_RETRY_MS = 20;

/** Settings of a GatewayServer. @public */
export interface GatewayServerOptions {
  readonly names: HeaderNames;
  serve(request: CallerRequest, answer: CallerAnswer): Promise<void>;
}

/**
 * Accepts callers' requests, refuses what could be read in two ways, and stops without cutting
 * off a request.
 *
 * @public
 */
export class GatewayServer {
  private readonly server: Server;
  private limits: CallerLimits = DEFAULT_CALLER_LIMITS;
  private stoppedAt = Infinity;
  private open = 0;
  private lastRequestAt = performance.now();
  /** The answer to the last request that was taken from each connection. */
  private readonly lastAnswers = new WeakMap<Socket, ServerResponse>();
  /** Connections on which something unread was refused; nothing more is taken from them. */
  private readonly refused = new WeakSet<Socket>();

  constructor(private readonly options: GatewayServerOptions) {
    this.server = http.createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        keepAliveTimeout: DEFAULT_CALLER_LIMITS.idleTimeoutMs,
        headersTimeout: DEFAULT_CALLER_LIMITS.headerTimeoutMs,
        requestTimeout: 0,
        noDelay: true,
      },
      (message, response) => void this.accept(message, response),
    );
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.handleUnread(error, socket as Socket),
    );
  }

  // Commands.

  /** Listens for callers and returns the port; 0 takes any. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({host, port, backlog: MAX_BACKLOG}, () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Takes the limits of a configuration. */
  setLimits(limits: CallerLimits): void {
    this.limits = limits;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  /**
   * Goes on serving until callers have stayed away for a while and nothing is under way, or until
   * the time is up, then closes.
   */
  async stop(graceMs: number): Promise<void> {
    const stoppedAt = performance.now();
    this.stoppedAt = stoppedAt;
    const isQuiet = () =>
      this.open === 0 &&
      performance.now() - Math.max(this.lastRequestAt, stoppedAt) > QUIET_MS;
    while (performance.now() - stoppedAt < graceMs && !isQuiet()) {
      await new Promise(resolve => setTimeout(resolve, IDLE_POLL_MS));
    }
    writeDecision('gateway_closes', {open: this.open});
    this.server.close();
    this.server.closeAllConnections();
  }

  private async accept(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {socket} = message;
    if (this.refused.has(socket)) return;
    this.lastAnswers.set(socket, response);
    const {names} = this.options;
    this.open += 1;
    this.lastRequestAt = performance.now();
    const value = message.headers[names.requestId];
    const answer = new CallerAnswer(
      response,
      {name: names.requestId, value: String(value ?? '')},
      () => this.stoppedAt !== Infinity,
    );
    try {
      const request = decodeRequest(message, names);
      this.checkStopping();
      this.checkHeaderSize(message);
      request.body = await readBody(message, this.limits.maxBodyBytes);
      await this.options.serve(request, answer);
    } catch (thrown) {
      const error = toSycamoreheadError(thrown);
      writeDecision('request_refused', {
        request: String(value ?? ''),
        kind: error.kind,
        reason: error.message,
      });
      // What is left of the body cannot be told from a next request.
      response.shouldKeepAlive = false;
      answer.fail(error);
    } finally {
      this.open -= 1;
    }
  }

  /** Handles bytes that are no request, and heads that come too slowly. */
  private handleUnread(error: NodeJS.ErrnoException, socket: Socket): void {
    const last = this.lastAnswers.get(socket);
    if (last && !last.closed && last.req.complete) {
      // The answer to the whole request before these bytes goes first.
      last.shouldKeepAlive = false;
      last.once('close', () => socket.destroySoon());
      return;
    }
    const refuse = () => {
      // Nothing that is still read from here may run.
      this.refused.add(socket);
      refuseUnread(error, socket);
    };
    if (error.code !== HEAD_TIMEOUT) {
      refuse();
      return;
    }
    // After a freeze the head may have arrived in time, and wait to be read.
    setTimeout(() => {
      if (this.lastAnswers.get(socket) === last) refuse();
    }, UNREAD_GRACE_MS);
  }

  /** What is taken late in a stop could not be finished. */
  private checkStopping(): void {
    if (performance.now() - this.stoppedAt < STILL_SERVED_MS) return;
    throw new SycamoreheadError('stopping', 'this entry stops', {
      retryAfterMs: STOPPING_RETRY_MS,
    });
  }

  private checkHeaderSize({rawHeaders, url = ''}: IncomingMessage): void {
    const bytes = rawHeaders.reduce(
      (sum, text) => sum + text.length + 2,
      url.length,
    );
    if (bytes <= this.limits.maxHeaderBytes) return;
    throw new SycamoreheadError(
      'header_too_large',
      `the head exceeds ${this.limits.maxHeaderBytes} bytes`,
    );
  }
}

const PARSER_STATUSES: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: getErrorResponse('header_too_large').status,
  [HEAD_TIMEOUT]: 408,
};

/** Answers what the parser did not take; nothing of it was forwarded. */
function refuseUnread(error: NodeJS.ErrnoException, socket: Socket): void {
  const {code = ''} = error;
  const isGone = code === 'ECONNRESET' || !socket.writable;
  log('unread_request', {code});
  if (isGone) {
    socket.destroy();
    return;
  }
  const status = PARSER_STATUSES[code] ?? 400;
  const reason = http.STATUS_CODES[status] ?? '';
  socket.end(
    `HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
}
