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
import {ClientLimits, readHeldBody} from '@sycamorehead/wire';
import {CallerAnswer} from './CallerAnswer.js';
import {CallerRequest, decodeRequest} from './CallerRequest.js';
import type {HeaderNames} from './headerNames.js';
import {OpenAnswers} from './OpenAnswers.js';
import {RequestTurns} from './RequestTurns.js';

const log = createLogger('gateway');

/** The largest head that the parser accepts, in bytes; the configured limit may be lower. */
const MAX_HEADER_BYTES = 64 * 1024;
/** What each field adds to the size of a head at least: one character and two separators of two bytes. */
const MIN_FIELD_BYTES = 5;
/** Fields of a head from which on it is certainly too large; node:http drops further ones without an error. */
const MAX_FIELDS = Math.ceil(MAX_HEADER_BYTES / MIN_FIELD_BYTES);
/** Request line and white space that the size of a head leaves out, in bytes. */
const HEAD_MARGIN_BYTES = 1024;
/** Time between checks for slow callers, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Time allowed for reading bytes that have already arrived, in milliseconds. */
const READ_GRACE_MS = 20;
/** The error code of node:http for a head that was not complete in time. */
const HEAD_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';
/** The error code of node:http for a head that is too large. */
const HEAD_OVERFLOW = 'HPE_HEADER_OVERFLOW';
const MAX_BACKLOG = 1_024;
const IDLE_POLL_MS = 50;
/** Time allowed for telling the callers of requests that are given up in a stop, in milliseconds. */
const STOP_ANSWERS_MS = 100;
const STOP_POLL_MS = 5;
/**
 * Time after a stop begins during which new requests are still served, in milliseconds. The load
 * balancer checks readiness once a second and redirects callers after the second failed check.
 */
const DRAIN_MS = 2_600;
/** Time without a request after which a stopping server counts as idle, in milliseconds. */
const IDLE_MS = 3_000;
/** Retry delay for callers on persistent connections that outlive DRAIN_MS, in milliseconds. */
const STOPPING_RETRY_MS = 20;

/** Settings of a GatewayServer. @public */
export interface GatewayServerOptions {
  readonly names: HeaderNames;
  /** What callers may cost this process; by default what its machine allows. */
  readonly clientLimits?: ClientLimits;
  serve(request: CallerRequest, answer: CallerAnswer): Promise<void>;
}

/** A request of a connection; its answer is forgotten once it is closed. */
interface LastAnswer {
  response: ServerResponse | undefined;
}

/**
 * Accepts callers' requests, refuses ambiguous ones, and stops without interrupting a request.
 *
 * @public
 */
export class GatewayServer {
  private readonly server: Server;
  private readonly clientLimits: ClientLimits;
  private limits: CallerLimits = DEFAULT_CALLER_LIMITS;
  private stoppedAt = Infinity;
  private readonly openAnswers = new OpenAnswers();
  private readonly turns = new RequestTurns();
  private lastRequestAt = performance.now();
  /** The last request that was accepted from each connection. */
  private readonly lastAnswers = new WeakMap<Socket, LastAnswer>();
  /** Connections on which unparsed input was refused; no further request is accepted from them. */
  private readonly refusedSockets = new WeakSet<Socket>();

  constructor(private readonly options: GatewayServerOptions) {
    this.clientLimits = options.clientLimits ?? new ClientLimits();
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
    this.server.maxHeadersCount = MAX_FIELDS;
    this.clientLimits.limitServer(this.server, {
      getMaxHeadBytes: () => this.limits.maxHeaderBytes + HEAD_MARGIN_BYTES,
      refuse: socket => this.handleUnparsed(buildOverflow(), socket),
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.handleUnparsed(error, socket as Socket),
    );
  }

  // Commands.

  /** Listens for callers and returns the port; port 0 selects a free one. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({host, port, backlog: MAX_BACKLOG}, () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Applies the limits of a configuration. */
  setLimits(limits: CallerLimits): void {
    this.limits = limits;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  /**
   * Continues to serve until no answer is owed and no request has arrived for a while, or until the
   * grace period ends. Then closes; a caller who has received nothing yet is told whether the request
   * may have run.
   */
  async stop(graceMs: number): Promise<void> {
    const stoppedAt = performance.now();
    this.stoppedAt = stoppedAt;
    const isIdle = () =>
      this.openAnswers.count === 0 &&
      performance.now() - Math.max(this.lastRequestAt, stoppedAt) > IDLE_MS;
    while (performance.now() - stoppedAt < graceMs && !isIdle()) {
      await new Promise(resolve => setTimeout(resolve, IDLE_POLL_MS));
    }
    writeDecision('gateway_closes', {open: this.openAnswers.count});
    await this.stopAnswers();
    const error = new SycamoreheadError('outcome_unknown', 'this entry stops');
    for (const answer of this.openAnswers.list()) answer.fail(error);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Stops the work on all requests and waits for a moment until their callers have been told. */
  private async stopAnswers(): Promise<void> {
    const startedAt = performance.now();
    for (const answer of this.openAnswers.list()) answer.stop();
    while (
      this.openAnswers.count > 0 &&
      performance.now() - startedAt < STOP_ANSWERS_MS
    ) {
      await new Promise(resolve => setTimeout(resolve, STOP_POLL_MS));
    }
  }

  // Queries.

  /** Counts the bytes that wait to be sent to callers. */
  countQueuedBytes(): number {
    return this.openAnswers.countQueuedBytes();
  }

  private async accept(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {socket} = message;
    if (socket.destroyed || this.refusedSockets.has(socket)) return;
    const last: LastAnswer = {response};
    this.lastAnswers.set(socket, last);
    // An idle connection must not keep the body of its last request.
    response.once('close', () => (last.response = undefined));
    const {clientLimits} = this;
    const {names} = this.options;
    this.lastRequestAt = performance.now();
    const value = message.headers[names.requestId];
    const answer = new CallerAnswer(
      response,
      {name: names.requestId, value: String(value ?? '')},
      () => this.stoppedAt !== Infinity,
      clientLimits.answers,
    );
    this.openAnswers.add(response, answer);
    const turn = this.turns.wait(response);
    try {
      clientLimits.heads.check(message);
      this.checkHeaderSize(message);
      const request = decodeRequest(message, names);
      if (!(await turn)) return;
      this.checkStopping();
      request.body = await readHeldBody(message, response, {
        held: clientLimits.bodies,
        maxBytes: this.limits.maxBodyBytes,
      });
      // The body may have taken until late in the grace period.
      this.checkStopping();
      await this.options.serve(request, answer);
    } catch (thrown) {
      const error = toSycamoreheadError(thrown);
      writeDecision('request_refused', {
        request: String(value ?? ''),
        kind: error.kind,
        reason: error.message,
      });
      // The rest of the body cannot be distinguished from the next request.
      response.shouldKeepAlive = false;
      answer.fail(error);
    }
  }

  /** Handles input that is not a request and heads that arrive too slowly. */
  private handleUnparsed(error: NodeJS.ErrnoException, socket: Socket): void {
    const last = this.lastAnswers.get(socket);
    const response = last?.response;
    if (response && !response.closed && response.req.complete) {
      // The answer to the complete request before this input is sent first.
      response.shouldKeepAlive = false;
      response.once('close', () => socket.destroySoon());
      return;
    }
    const refuse = () => {
      // No request that is still read from this connection may run.
      this.refusedSockets.add(socket);
      refuseUnparsed(error, socket);
    };
    if (error.code !== HEAD_TIMEOUT) {
      refuse();
      return;
    }
    // After a freeze of the process the head may have arrived in time and still be unread.
    setTimeout(() => {
      if (this.lastAnswers.get(socket) === last) refuse();
    }, READ_GRACE_MS);
  }

  /**
   * Refuses requests that arrive later than DRAIN_MS after a stop has begun, since they might not
   * finish in time.
   */
  private checkStopping(): void {
    if (performance.now() - this.stoppedAt < DRAIN_MS) return;
    throw new SycamoreheadError('stopping', 'this entry stops', {
      retryAfterMs: STOPPING_RETRY_MS,
    });
  }

  private checkHeaderSize({rawHeaders, url = ''}: IncomingMessage): void {
    const bytes = rawHeaders.reduce(
      (sum, text) => sum + text.length + 2,
      url.length,
    );
    const isWhole = rawHeaders.length < 2 * MAX_FIELDS;
    if (isWhole && bytes <= this.limits.maxHeaderBytes) return;
    throw new SycamoreheadError(
      'header_too_large',
      `the head exceeds ${this.limits.maxHeaderBytes} bytes`,
    );
  }
}

/** Builds the error of node:http for a head that is too large. */
function buildOverflow(): NodeJS.ErrnoException {
  return Object.assign(new Error('Header overflow'), {code: HEAD_OVERFLOW});
}

const PARSER_STATUSES: Readonly<Record<string, number>> = {
  [HEAD_OVERFLOW]: getErrorResponse('header_too_large').status,
  [HEAD_TIMEOUT]: 408,
};

/** Answers input that the parser rejected; none of it was forwarded. */
function refuseUnparsed(error: NodeJS.ErrnoException, socket: Socket): void {
  const {code = ''} = error;
  const isDisconnected = code === 'ECONNRESET' || !socket.writable;
  log('unread_request', {code});
  if (isDisconnected) {
    socket.destroy();
    return;
  }
  const status = PARSER_STATUSES[code] ?? 400;
  const reason = http.STATUS_CODES[status] ?? '';
  socket.end(
    `HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
}
