import {
  JSONRPCClient,
  JSONRPCErrorException,
  JSONRPCRequest,
  JSONRPCResponse,
  JSONRPCServer,
  createJSONRPCErrorResponse,
  isJSONRPCRequest,
  isJSONRPCResponse,
} from 'json-rpc-2.0';
import {
  SycamoreheadError,
  readErrorBody,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import {createLogger, writeDecision} from '@sycamorehead/telemetry';
import type {MessageChannel} from './MessageChannel.js';

const log = createLogger('wire');

/**
 * Bytes of a message that count as a sign of life before it is complete. A large message may take longer
 * than a link may be silent; a peer that sends single bytes must not keep a link open.
 */
const PROGRESS_BYTES = 4 * 1024;
/** JSON-RPC code of application errors. The error data is an ErrorBody. */
const APPLICATION_ERROR = -32000;
/** The library's code for requests that were pending when the link closed. */
const REJECTED_LOCALLY = 0;
const HEARTBEAT_METHOD = 'wire.heartbeat';

/** Intervals and timeouts of a link. @public */
export interface LinkTimeouts {
  /** Interval between heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  /** Time without a received message after which the link is closed, in milliseconds. */
  readonly silenceTimeoutMs: number;
  /** Default timeout of a request, in milliseconds. */
  readonly requestTimeoutMs: number;
}

/** Timeouts for links within a region. @public */
export const DEFAULT_LINK_TIMEOUTS: LinkTimeouts = {
  heartbeatMs: 500,
  silenceTimeoutMs: 2_000,
  requestTimeoutMs: 5_000,
};

/** Serves one method. Errors that it throws are sent to the caller as an ErrorBody. @public */
export type MethodHandler = (params: never, link: PeerLink) => unknown;

/** Lookup table from method name to handler. @public */
export type MethodTable = Readonly<Record<string, MethodHandler>>;

/**
 * A bidirectional JSON-RPC link to a peer over one channel, with heartbeats. A link that receives
 * neither a message nor much of one for `silenceTimeoutMs` closes itself and fails its pending requests.
 *
 * @public
 */
export class PeerLink {
  /** Name of the peer, set by the owner of the link once the peer has sent it. */
  peerName = '';
  private readonly client: JSONRPCClient;
  // Errors are sent to the caller, which decides whether to log them.
  private readonly server = new JSONRPCServer({errorListener: () => {}});
  private readonly closeListeners: Array<() => void> = [];
  private readonly heartbeat: NodeJS.Timeout;
  private lastReceivedAt = performance.now();
  private bytesSinceProgress = 0;
  private totalBytes = 0;
  private closed = false;
  private serving = 0;

  constructor(
    private readonly channel: MessageChannel,
    methods: MethodTable,
    private readonly timeouts: LinkTimeouts = DEFAULT_LINK_TIMEOUTS,
  ) {
    this.client = new JSONRPCClient(message => channel.send(message));
    this.server.addMethod(HEARTBEAT_METHOD, () => null);
    for (const [name, handler] of Object.entries(methods)) {
      this.server.addMethod(name, params => this.runHandler(handler, params));
    }
    channel.open(
      message => this.receive(message),
      () => this.close('closed by the other end'),
      bytes => this.recordBytes(bytes),
    );
    this.heartbeat = setInterval(
      () => this.sendHeartbeat(),
      timeouts.heartbeatMs,
    );
    this.heartbeat.unref();
  }

  /** Number of the peer's requests that are being served. */
  get servingCount(): number {
    return this.serving;
  }

  /** Number of bytes received, including those of a message that is not complete yet. */
  get receivedBytes(): number {
    return this.totalBytes;
  }

  /** Whether the link has been closed by either end. */
  get isClosed(): boolean {
    return this.closed;
  }

  /**
   * Calls a method of the peer.
   *
   * @throws SycamoreheadError the error of the peer, `timeout` or `link_closed`.
   * @example
   * ```ts
   * const grant = await link.request('control.renewLease', {entry: 'e1'});
   * ```
   */
  async request<Result>(
    method: string,
    params: unknown,
    timeoutMs = this.timeouts.requestTimeoutMs,
  ): Promise<Result> {
    if (this.closed) throw new SycamoreheadError('link_closed', method);
    let timer: NodeJS.Timeout | undefined;
    const expired = new Promise<never>((unused, reject) => {
      timer = setTimeout(
        () => reject(new SycamoreheadError('timeout', `${method} timed out`)),
        timeoutMs,
      );
    });
    try {
      const answer = this.client.request(method, params as object);
      return (await Promise.race([answer, expired])) as Result;
    } catch (error) {
      throw readRemoteError(error, method);
    } finally {
      clearTimeout(timer);
    }
  }

  /**
   * Sends a message that expects no reply. It is dropped if the link is closed.
   *
   * @example
   * ```ts
   * link.notify('membership.facts', deltas);
   * ```
   */
  notify(method: string, params: unknown): void {
    if (!this.closed) this.client.notify(method, params as object);
  }

  /** Calls the listener when the link closes, or at once if it is already closed. */
  addCloseListener(listener: () => void): void {
    if (this.closed) {
      listener();
      return;
    }
    this.closeListeners.push(listener);
  }

  /** Closes the link. Pending requests fail with `link_closed`. */
  close(reason = 'closed here'): void {
    if (this.closed) return;
    this.closed = true;
    clearInterval(this.heartbeat);
    log('link_closed', {peer: this.peerName, reason});
    this.channel.close();
    this.client.rejectAllPendingRequests(`link_closed: ${reason}`);
    for (const listener of this.closeListeners) listener();
  }

  private sendHeartbeat(): void {
    const silentMs = performance.now() - this.lastReceivedAt;
    if (silentMs >= this.timeouts.silenceTimeoutMs) {
      this.close(`silent for ${Math.round(silentMs)} ms`);
      return;
    }
    this.notify(HEARTBEAT_METHOD, {});
  }

  private recordBytes(bytes: number): void {
    this.totalBytes += bytes;
    this.bytesSinceProgress += bytes;
    if (this.bytesSinceProgress >= PROGRESS_BYTES) this.recordProgress();
  }

  private recordProgress(): void {
    this.bytesSinceProgress = 0;
    this.lastReceivedAt = performance.now();
  }

  private receive(message: unknown): void {
    if (this.closed) return;
    this.recordProgress();
    // The library's type guards throw on null, and the protocol has no batches.
    if (!isPlainObject(message)) {
      this.close('frame is not a JSON object');
      return;
    }
    if (isJSONRPCResponse(message)) {
      this.client.receive(message);
      return;
    }
    if (isJSONRPCRequest(message)) {
      void this.serve(message);
      return;
    }
    this.close('frame is not JSON-RPC 2.0');
  }

  private async serve(message: JSONRPCRequest): Promise<void> {
    this.serving += 1;
    try {
      const answer = await this.server.receive(message);
      if (answer && !this.closed) this.sendAnswer(answer);
    } finally {
      this.serving -= 1;
    }
  }

  /** Sends an answer, or why it cannot be sent: the caller would wait, and nobody here handles the error. */
  private sendAnswer(answer: JSONRPCResponse): void {
    try {
      this.channel.send(answer);
    } catch (error) {
      const body = toSycamoreheadError(error).toBody();
      writeDecision('answer_unsent', {
        peer: this.peerName,
        reason: body.message,
      });
      this.channel.send(
        createJSONRPCErrorResponse(
          answer.id,
          APPLICATION_ERROR,
          body.message,
          body,
        ),
      );
    }
  }

  private async runHandler(
    handler: MethodHandler,
    params: unknown,
  ): Promise<unknown> {
    try {
      return (await handler(params as never, this)) ?? null;
    } catch (error) {
      const {kind, ...rest} = toSycamoreheadError(error).toBody();
      throw new JSONRPCErrorException(rest.message, APPLICATION_ERROR, {
        kind,
        ...rest,
      });
    }
  }
}

function isPlainObject(message: unknown): message is object {
  return (
    typeof message === 'object' && message !== null && !Array.isArray(message)
  );
}

function readRemoteError(error: unknown, method: string): SycamoreheadError {
  if (error instanceof SycamoreheadError) return error;
  if (error instanceof JSONRPCErrorException) {
    if (error.code === APPLICATION_ERROR) return readErrorBody(error.data);
    if (error.code === REJECTED_LOCALLY) {
      return new SycamoreheadError(
        'link_closed',
        `${method}: ${error.message}`,
      );
    }
    return new SycamoreheadError('internal', `${method}: ${error.message}`);
  }
  const message = error instanceof Error ? error.message : String(error);
  return new SycamoreheadError('link_closed', `${method}: ${message}`);
}
