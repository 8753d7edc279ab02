import {
  JSONRPCClient,
  JSONRPCErrorException,
  JSONRPCRequest,
  JSONRPCServer,
  isJSONRPCRequest,
  isJSONRPCResponse,
} from 'json-rpc-2.0';
import {
  SycamoreheadError,
  readErrorBody,
  toSycamoreheadError,
} from '@sycamorehead/schema';
import {createLogger} from '@sycamorehead/telemetry';
import type {MessageChannel} from './MessageChannel.js';

const log = createLogger('wire');

/** JSON-RPC's code for errors of the application; the data holds the ErrorBody. */
const APPLICATION_ERROR = -32000;
/** The library's code for requests that were still waiting when the link closed. */
const REJECTED_HERE = 0;
const HEARTBEAT_METHOD = 'wire.heartbeat';

/** How a link watches its other end. @public */
export interface LinkTimeouts {
  /** Time between heartbeats, in milliseconds. */
  readonly heartbeatMs: number;
  /** Silence after which the link is closed, in milliseconds. */
  readonly silenceTimeoutMs: number;
  /** Time allowed for a request without its own limit, in milliseconds. */
  readonly requestTimeoutMs: number;
}

/** Timeouts for links within a region. @public */
export const DEFAULT_LINK_TIMEOUTS: LinkTimeouts = {
  heartbeatMs: 500,
  silenceTimeoutMs: 2_000,
  requestTimeoutMs: 5_000,
};

/** Serves one method; what it throws travels as an ErrorBody. @public */
export type MethodHandler = (params: never, link: PeerLink) => unknown;

/** Lookup table from method name to handler. @public */
export type MethodTable = Readonly<Record<string, MethodHandler>>;

/**
 * One JSON-RPC link to a peer, both ways over one channel, with heartbeats. A link that hears
 * nothing for `silenceMs` closes itself and fails what was waiting on it.
 *
 * @public
 */
export class PeerLink {
  /** Set by the owner once the other end has named itself. */
  peerName = '';
  private readonly client: JSONRPCClient;
  // Errors travel to the caller, which decides what to log.
  private readonly server = new JSONRPCServer({errorListener: () => {}});
  private readonly closeListeners: Array<() => void> = [];
  private readonly heartbeat: NodeJS.Timeout;
  private lastHeardAt = performance.now();
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
    );
    this.heartbeat = setInterval(
      () => this.sendHeartbeat(),
      timeouts.heartbeatMs,
    );
    this.heartbeat.unref();
  }

  /** Requests of the other end that are being served here. */
  get servingCount(): number {
    return this.serving;
  }

  /** Whether the link has been closed by either end. */
  get isClosed(): boolean {
    return this.closed;
  }

  /**
   * Calls a method of the other end.
   *
   * @throws SycamoreheadError what the other end threw, `timeout`, or `link_closed`.
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
   * Sends a message that expects no answer; it is lost where the link is closed.
   *
   * @example
   * ```ts
   * link.notify('gossip.announce', announcement);
   * ```
   */
  notify(method: string, params: unknown): void {
    if (!this.closed) this.client.notify(method, params as object);
  }

  /** Calls the listener once the link closes, at once where it already has. */
  addCloseListener(listener: () => void): void {
    if (this.closed) {
      listener();
      return;
    }
    this.closeListeners.push(listener);
  }

  /** Closes the link; waiting requests fail with `link_closed`. */
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
    const silentMs = performance.now() - this.lastHeardAt;
    if (silentMs >= this.timeouts.silenceTimeoutMs) {
      this.close(`silent for ${Math.round(silentMs)} ms`);
      return;
    }
    this.notify(HEARTBEAT_METHOD, {});
  }

  private receive(message: unknown): void {
    if (this.closed) return;
    this.lastHeardAt = performance.now();
    // The library's type guards throw on null, and batches are not part of the protocol.
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
      if (answer && !this.closed) this.channel.send(answer);
    } finally {
      this.serving -= 1;
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
    if (error.code === REJECTED_HERE) {
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
