import {Server, Socket, createServer} from 'node:net';
import {createServer as createTlsServer} from 'node:tls';
import {TlsMaterial, createLogger} from '@sycamorehead/telemetry';
import {SycamoreheadError, isSameKey} from '@sycamorehead/schema';
import {startListening} from './startListening.js';
import {FrameDecoder, MAX_FRAME_BYTES} from './FrameDecoder.js';
import {MAX_UNSENT_BYTES, createSocketChannel} from './MessageChannel.js';
import {
  DEFAULT_LINK_TIMEOUTS,
  LinkTimeouts,
  MethodTable,
  PeerLink,
} from './PeerLink.js';

const log = createLogger('wire');

/** Maximum number of links unless the options name one. */
const MAX_LINKS = 4_096;
/** Time for which `stop` waits for requests that are being served, in milliseconds. */
const DRAIN_LIMIT_MS = 1_000;
const DRAIN_POLL_MS = 5;
/** Maximum size of a frame of a peer that has not sent the peer key, in bytes. */
const MAX_HELLO_BYTES = 16 * 1024;
/** Maximum number of buffered bytes for a peer that has not sent the peer key. */
const MAX_STRANGER_UNSENT_BYTES = 16 * 1024;
/** Time within which a peer has to send the peer key, in milliseconds. */
const HELLO_TIMEOUT_MS = 5_000;
/** Links whose peers have not sent the peer key; the oldest gives way to a new one. */
const MAX_STRANGERS = 256;

/** The method with which a connecting peer sends its name and the peer key. @public */
export const HELLO_METHOD = 'wire.hello';

/** Parameters of HELLO_METHOD. @public */
export interface Hello {
  readonly name: string;
  readonly key: string;
}

/** Options of a WireServer. @public */
export interface WireServerOptions {
  readonly host: string;
  /** Port to listen on; 0 selects any free port. */
  readonly port: number;
  /** Shared key that peers must send. */
  readonly peerKey: string;
  readonly methods: MethodTable;
  readonly timeouts?: LinkTimeouts;
  /** Maximum number of links. */
  readonly maxLinks?: number;
  /** Enables TLS. If it has a CA, peers must present a certificate signed by that CA. */
  readonly tls?: TlsMaterial;
}

/**
 * Accepts links from peers. Until a peer has sent the peer key with HELLO_METHOD, its link serves
 * no other method.
 *
 * @public
 */
export class WireServer {
  private readonly server: Server;
  private readonly links = new Set<PeerLink>();
  /** Links whose peers have not sent the peer key, the oldest first. */
  private readonly strangers = new Set<PeerLink>();

  constructor(private readonly options: WireServerOptions) {
    const accept = (socket: Socket) => this.acceptSocket(socket);
    const {tls} = options;
    this.server = tls
      ? createTlsServer(
          {...tls, requestCert: tls.ca !== undefined, rejectUnauthorized: true},
          accept,
        )
      : createServer(accept);
    this.server.maxConnections = options.maxLinks ?? MAX_LINKS;
  }

  /**
   * Starts to listen and returns the port number.
   *
   * @example
   * ```ts
   * const port = await server.start();
   * ```
   */
  start(): Promise<number> {
    const {host, port} = this.options;
    return startListening(this.server, host, port);
  }

  /** Stops listening, waits for the requests that are being served, and closes all links. */
  async stop(): Promise<void> {
    const closed = new Promise<void>(resolve => {
      this.server.close(() => resolve());
    });
    const deadline = performance.now() + DRAIN_LIMIT_MS;
    while (this.isServing() && performance.now() < deadline) {
      await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS));
    }
    for (const link of this.links) link.close('server stops');
    await closed;
  }

  private isServing(): boolean {
    return [...this.links].some(link => link.servingCount > 0);
  }

  private acceptSocket(socket: Socket): void {
    let isAuthenticated = false;
    const decoder = new FrameDecoder(MAX_HELLO_BYTES);
    const channel = {decoder, maxUnsentBytes: MAX_STRANGER_UNSENT_BYTES};
    const guardedMethods = Object.fromEntries(
      Object.entries(this.options.methods).map(([name, handler]) => [
        name,
        (params: never, link: PeerLink) => {
          if (isAuthenticated) return handler(params, link);
          throw new SycamoreheadError('unauthenticated', 'hello comes first');
        },
      ]),
    );
    const link = new PeerLink(
      createSocketChannel(socket, channel),
      {
        ...guardedMethods,
        [HELLO_METHOD]: (hello: Hello) => {
          if (!isSameKey(String(hello.key), this.options.peerKey)) {
            throw new SycamoreheadError('unauthenticated', 'wrong peer key');
          }
          isAuthenticated = true;
          decoder.setMaxBytes(MAX_FRAME_BYTES);
          channel.maxUnsentBytes = MAX_UNSENT_BYTES;
          this.strangers.delete(link);
          link.peerName = String(hello.name);
          log('link_accepted', {peer: link.peerName});
          return {};
        },
      },
      this.options.timeouts ?? DEFAULT_LINK_TIMEOUTS,
    );
    this.links.add(link);
    this.addStranger(link);
    link.addCloseListener(() => this.links.delete(link));
  }

  private addStranger(link: PeerLink): void {
    this.strangers.add(link);
    const timer = setTimeout(() => {
      if (this.strangers.has(link)) link.close('no hello in time');
    }, HELLO_TIMEOUT_MS);
    timer.unref();
    link.addCloseListener(() => {
      clearTimeout(timer);
      this.strangers.delete(link);
    });
    if (this.strangers.size <= MAX_STRANGERS) return;
    const [oldest] = this.strangers;
    oldest?.close('too many links without a hello');
  }
}
