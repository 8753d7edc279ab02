import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Server as TlsServer} from 'node:tls';
import {getBodyFlow} from './BodyFlow.js';
import type {ClientRefusal} from './HeldBytes.js';
import {HeldHeads} from './HeldHeads.js';
import type {InputTurns} from './InputTurns.js';
import {UnfinishedFields} from './UnfinishedFields.js';

/** Bytes that a connection may send without beginning a request that is accepted. */
const MAX_BYTES_WITHOUT_REQUEST = 256 * 1024;
/** Bytes of a body that a connection may send without any data. */
const MAX_BYTES_WITHOUT_DATA = 256 * 1024;
/** Bytes of what the server reads at once that may carry no data before the body waits for its turn. */
const MAX_FRAMING_BYTES = 4 * 1024;
/** Requests that each connection may have open, however many there are in all. */
const MIN_OPEN_REQUESTS = 8;
/** Time between checks of all connections, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** Connections of a server with TLS, with those whose handshake is not over, as a multiple of the maximum. */
const HANDSHAKE_FACTOR = 1.1;
/** Allowance beyond the server's own timeouts for a connection without a request, in milliseconds. */
const IDLE_MARGIN_MS = 1_000;

/** The limit of a single head that a server states itself. @public */
export interface HeadLimit {
  /** Returns the bytes from which on a head that is not complete is refused. */
  getMaxHeadBytes(): number;
  /** Answers a head that is too long, and ends its connection. */
  refuse(socket: Socket): void;
}

/** Limits of a ConnectionGuard. @public */
export interface ConnectionLimits {
  readonly maxConnections: number;
  /** Maximum number of open requests of all connections that have more than a few. */
  readonly maxRequests: number;
  /** The account of heads of all ports. */
  readonly heads: HeldHeads;
  /** The turns of bodies that are costly to parse, of all ports. */
  readonly turns: InputTurns;
  /** Absent where the parser's own limit is the only one. */
  readonly headLimit?: HeadLimit;
}

interface Connection {
  readonly open: Set<ServerResponse>;
  /** Bytes that had been read when the last request or its body was complete. */
  readBytes: number;
  /** When it last had no request left, on the monotonic clock. */
  idleSince: number;
  /** Whether the last bytes were those of a body that was not complete then. */
  isInBody: boolean;
  readonly fields: UnfinishedFields;
}

/**
 * Bounds the connections of one HTTP server: their number, the requests of each one, and the bytes, the
 * heap and the time that each may take without a request. It answers many connections that stay open
 * without a request, heads, trailers and empty lines without end, bodies that cost much to parse, and
 * requests sent one behind the other. Above the maximum, the connection without a request for the longest
 * time gives way to a new one.
 *
 * @public
 */
export class ConnectionGuard {
  /** Those without a request for the longest time first. */
  private readonly connections = new Map<Socket, Connection>();
  /** Open requests of all connections. */
  private openCount = 0;

  constructor(
    private readonly server: Server,
    private readonly limits: ConnectionLimits,
    private readonly onRefusal: (refusal: ClientRefusal) => void,
  ) {
    const {maxConnections} = limits;
    const isTls = server instanceof TlsServer;
    // A server with TLS reports its connections once their handshake is over.
    if (isTls && Number.isFinite(maxConnections)) {
      server.maxConnections = Math.ceil(maxConnections * HANDSHAKE_FACTOR);
    }
    const event = isTls ? 'secureConnection' : 'connection';
    server.on(event, (socket: Socket) => this.addConnection(socket));
    server.prependListener('request', (message, response) =>
      this.addRequest(message, response),
    );
    const timer = setInterval(() => this.checkConnections(), CHECK_INTERVAL_MS);
    timer.unref();
    server.on('close', () => clearInterval(timer));
  }

  /** Number of connections. */
  get count(): number {
    return this.connections.size;
  }

  private addConnection(socket: Socket): void {
    this.connections.set(socket, {
      open: new Set(),
      readBytes: 0,
      idleSince: performance.now(),
      isInBody: false,
      fields: new UnfinishedFields(socket),
    });
    socket.once('close', () => this.release(socket));
    // The listener of the server comes first, so that its parser has read the bytes.
    socket.on('data', (bytes: Buffer) => this.countInput(socket, bytes));
    if (this.connections.size <= this.limits.maxConnections) return;
    this.close(this.findIdle() ?? socket, 'too_many_connections');
  }

  private addRequest(message: IncomingMessage, response: ServerResponse): void {
    const {socket} = message;
    const connection = this.connections.get(socket);
    if (!connection) return;
    const markRead = () => (connection.readBytes = socket.bytesRead);
    markRead();
    connection.open.add(response);
    response.once('close', () => {
      markRead();
      if (connection.open.delete(response)) this.openCount -= 1;
      this.limits.heads.release(response);
      connection.idleSince = performance.now();
      // Moves it behind those that have been idle for longer.
      if (this.connections.delete(socket)) {
        this.connections.set(socket, connection);
      }
    });
    this.openCount += 1;
    const hasRoom = this.limits.heads.add(response);
    if (!hasRoom && connection.open.size > 1) {
      // Its refusal would wait behind the other answers, and its head with it.
      this.close(socket, 'too_many_requests');
      return;
    }
    if (connection.open.size <= MIN_OPEN_REQUESTS) return;
    if (this.openCount <= this.limits.maxRequests) return;
    this.close(socket, 'too_many_requests');
  }

  /** Counts bytes that the server has just read. */
  private countInput(socket: Socket, {length}: Buffer): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    const message = findUnreadBody(connection);
    if (message) {
      this.countBody(socket, connection, message, length);
    } else {
      // The body has ended with these bytes.
      if (connection.isInBody) connection.readBytes = socket.bytesRead;
      this.countHead(socket, connection);
    }
    connection.isInBody = message !== undefined;
    dropTrailers(connection);
  }

  /** Counts what the server keeps of a head that is not complete. */
  private countHead(socket: Socket, connection: Connection): void {
    const {heads, headLimit} = this.limits;
    const bytes = socket.bytesRead - connection.readBytes;
    if (bytes > MAX_BYTES_WITHOUT_REQUEST) {
      this.close(socket, 'bytes_without_request');
      return;
    }
    const fieldBytes = connection.fields.measure();
    heads.setUnfinished(connection.fields, bytes + fieldBytes);
    if (!headLimit || bytes <= headLimit.getMaxHeadBytes()) return;
    if (!socket.destroyed && socket.writable) headLimit.refuse(socket);
  }

  /** Counts the bytes of a body in chunks that carry no data, and its trailers. */
  private countBody(
    socket: Socket,
    connection: Connection,
    message: IncomingMessage,
    length: number,
  ): void {
    const flow = getBodyFlow(message);
    // The server may have resumed the connection.
    flow.applyPause();
    connection.readBytes = socket.bytesRead;
    if (message.headers['transfer-encoding'] === undefined) return;
    const framingBytes = flow.countInput(length);
    if (flow.silentBytes > MAX_BYTES_WITHOUT_DATA) {
      this.close(socket, 'bytes_without_data');
      return;
    }
    const fieldBytes = connection.fields.measure();
    this.limits.heads.setUnfinished(connection.fields, fieldBytes);
    if (framingBytes > MAX_FRAMING_BYTES) this.limits.turns.wait(message);
  }

  private findIdle(): Socket | undefined {
    for (const [socket, {open}] of this.connections) {
      if (open.size === 0) return socket;
    }
    // Of those with a request, one whose body has not arrived costs its client the least.
    for (const [socket, connection] of this.connections) {
      if (findUnreadBody(connection)) return socket;
    }
    return undefined;
  }

  private checkConnections(): void {
    const idleBefore = performance.now() - this.idleLimitMs;
    for (const [socket, {open, idleSince}] of this.connections) {
      if (open.size === 0 && idleSince < idleBefore) this.close(socket, 'idle');
    }
  }

  /**
   * Time that the server's own timeouts allow between two requests, in milliseconds. The server restarts them
   * with each byte that it reads.
   */
  private get idleLimitMs(): number {
    const {keepAliveTimeout, headersTimeout} = this.server;
    if (keepAliveTimeout === 0 || headersTimeout === 0) return Infinity;
    return keepAliveTimeout + headersTimeout + IDLE_MARGIN_MS;
  }

  private release(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (!connection) return;
    this.connections.delete(socket);
    const {heads} = this.limits;
    this.openCount -= connection.open.size;
    for (const response of connection.open) heads.release(response);
    connection.open.clear();
    heads.setUnfinished(connection.fields, 0);
  }

  private close(socket: Socket, refusal: ClientRefusal): void {
    const connection = this.connections.get(socket);
    if (!connection || socket.destroyed) return;
    this.onRefusal(refusal);
    this.release(socket);
    connection.fields.close();
  }
}

/** Finds the request of a connection whose body is still to come. */
function findUnreadBody({open}: Connection): IncomingMessage | undefined {
  for (const {req} of open) if (!req.complete) return req;
  return undefined;
}

/** Drops the trailers of open requests, which nothing reads. */
function dropTrailers({open}: Connection): void {
  for (const {req} of open)
    if (req.rawTrailers.length > 0) req.rawTrailers = [];
}
