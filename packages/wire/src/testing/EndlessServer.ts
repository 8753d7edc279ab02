import {subscribe} from 'node:diagnostics_channel';
import {EventEmitter, once} from 'node:events';
import type {Socket} from 'node:net';
import {Worker} from 'node:worker_threads';

/** How fast bytes are sent: as fast as they are read, or a byte every few milliseconds. */
export type EndlessPace = 'fast' | 'slow';

/** An answer that never ends. */
export interface EndlessAnswer {
  readonly pace: EndlessPace;
  /** Sent once; `{id}` stands for the id of the request. */
  readonly opening: string;
  /** Repeated until the connection is closed. */
  readonly filler: string;
  /** Whether it goes on after the other end has half closed the connection. */
  readonly keepsHalfOpen?: boolean;
}

/** An order to the thread of the servers. */
export type EndlessOrder =
  | {
      readonly type: 'listen';
      readonly server: number;
      readonly answer: EndlessAnswer;
    }
  | {readonly type: 'stop'; readonly server: number};

/** What the thread reports of a server or of one of its connections. */
export interface EndlessEvent {
  readonly type: 'listening' | 'received' | 'closed' | 'stopped';
  readonly server: number;
  readonly port?: number;
}

/** Published by node:net for each connection that this process opens. */
const CLIENT_SOCKET_CHANNEL = 'net.client.socket';

/** The connections of this process to the servers that run, by port. */
const connectionsByPort = new Map<number, Socket[]>();

subscribe(CLIENT_SOCKET_CHANNEL, message => {
  const {socket} = message as {socket: Socket};
  socket.once('connect', () => {
    connectionsByPort.get(socket.remotePort ?? 0)?.push(socket);
  });
});

const events = new EventEmitter().setMaxListeners(0);
let worker: Worker | undefined;
let startedServers = 0;
let runningServers = 0;

/** Returns the thread of all servers. */
function ensureWorker(): Worker {
  if (worker) return worker;
  worker = new Worker(new URL('./endlessServerWorker.js', import.meta.url));
  worker.on('message', (event: EndlessEvent) => {
    events.emit(String(event.server), event);
  });
  return worker;
}

/**
 * A server whose answers never end. It runs in a thread of its own, so that what it sends delays only
 * those who read it.
 *
 * @example
 * ```ts
 * const server = new EndlessServer({pace: 'fast', opening: 'HTTP/1.1 200 ', filler: 'O'});
 * const address = await server.start(); // 'IP:PORT'
 * ```
 */
export class EndlessServer {
  /** Requests received. */
  received = 0;
  /** Connections that brought a request and that the other end has closed. */
  closed = 0;
  private readonly server = ++startedServers;
  private readonly changes = new EventEmitter();
  private port = 0;

  constructor(private readonly answer: EndlessAnswer) {}

  /** Listens and returns the address. */
  async start(): Promise<string> {
    events.on(String(this.server), event => this.record(event as EndlessEvent));
    this.countRunning(1);
    this.sendOrder({type: 'listen', server: this.server, answer: this.answer});
    await once(this.changes, 'listening');
    return this.address;
  }

  /** Stops listening and closes the connections. */
  async stop(): Promise<void> {
    this.sendOrder({type: 'stop', server: this.server});
    await once(this.changes, 'stopped');
    this.countRunning(-1);
    events.removeAllListeners(String(this.server));
    connectionsByPort.delete(this.port);
  }

  /** `IP:PORT`. */
  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Bytes that this process has read from the server, on all connections. */
  get bytesRead(): number {
    const connections = connectionsByPort.get(this.port) ?? [];
    return connections.reduce((sum, {bytesRead}) => sum + bytesRead, 0);
  }

  /** Resolves once a request has been received. */
  async waitUntilReceived(): Promise<void> {
    while (this.received === 0) await once(this.changes, 'received');
  }

  /** Resolves once each connection that brought a request has been closed by the other end. */
  async waitUntilClosed(): Promise<void> {
    while (this.closed < this.received) await once(this.changes, 'closed');
  }

  private sendOrder(order: EndlessOrder): void {
    ensureWorker().postMessage(order);
  }

  /** Keeps the process running while a server does. */
  private countRunning(change: number): void {
    runningServers += change;
    if (runningServers > 0) ensureWorker().ref();
    else ensureWorker().unref();
  }

  private record({type, port}: EndlessEvent): void {
    if (type === 'received') this.received += 1;
    if (type === 'closed') this.closed += 1;
    if (port !== undefined) {
      this.port = port;
      connectionsByPort.set(port, []);
    }
    this.changes.emit(type);
  }
}
