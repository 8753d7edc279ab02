import http from 'node:http';
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';

/** Idle timeout of a connection whose backend server declares none, in milliseconds. */
const DEFAULT_IDLE_MS = 4_000;
/**
 * Time before the backend server's own idle timeout at which a connection is closed, in
 * milliseconds.
 */
const IDLE_MARGIN_MS = 600;
/** Time after which the kernel probes a silent connection, in milliseconds. */
const KEEP_ALIVE_PROBE_MS = 2_000;

/** One use of a connection for a request. @public */
export interface ConnectionUse {
  /** Number of the connection among those to its backend server, from 1. */
  readonly connection: number;
  /** Number of the use among those of the connection, from 1. */
  readonly use: number;
}

interface IdleGuard {
  readonly onData: () => void;
  readonly timer: NodeJS.Timeout;
}

/**
 * Pools the connections to one backend server. A connection on which anything arrives between
 * requests is closed and never used again.
 *
 * @public
 */
export class ServerAgent extends http.Agent {
  private readonly guards = new WeakMap<Duplex, IdleGuard>();
  private readonly lastUses = new WeakMap<Duplex, ConnectionUse>();
  private connectionCount = 0;

  constructor(maxIdle: number) {
    super({keepAlive: true, maxFreeSockets: maxIdle, noDelay: true});
  }

  /** Records that a request uses a connection. */
  recordUse(socket: Duplex): ConnectionUse {
    const last = this.lastUses.get(socket);
    const connection = last?.connection ?? (this.connectionCount += 1);
    const use = {connection, use: (last?.use ?? 0) + 1};
    this.lastUses.set(socket, use);
    return use;
  }

  /** Called by node:http once an answer is complete; decides whether to keep the connection. */
  override keepSocketAlive(stream: Duplex): boolean {
    const socket = stream as Socket & {_httpMessage?: {res?: IncomingMessage}};
    const idleMs = readIdleLimit(socket._httpMessage?.res);
    if (idleMs <= 0 || socket.destroyed) return false;
    const close = () => socket.destroy();
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MS);
    socket.unref();
    const timer = setTimeout(close, idleMs);
    timer.unref();
    socket.on('data', close);
    this.guards.set(socket, {onData: close, timer});
    return true;
  }

  /** Called by node:http before an idle connection is used again. */
  // eslint-disable-next-line sycamorehead/function-verb -- named by node:http
  override reuseSocket(stream: Duplex, request: ClientRequest): void {
    const socket = stream as Socket;
    const guard = this.guards.get(socket);
    if (guard) {
      clearTimeout(guard.timer);
      socket.removeListener('data', guard.onData);
      this.guards.delete(socket);
    }
    super.reuseSocket(socket, request);
  }
}

function readIdleLimit(response: IncomingMessage | undefined): number {
  const hint = response?.headers['keep-alive'];
  const seconds = /(?:^|[,;\s])timeout=(\d+)/i.exec(String(hint ?? ''))?.[1];
  if (seconds === undefined) return DEFAULT_IDLE_MS;
  return Number(seconds) * 1_000 - IDLE_MARGIN_MS;
}
